package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings is the YAML file of a directory process.
type Settings struct {
	// Name is the process's name in logs.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the process runs in.
	DataCentre string `yaml:"dataCentre"`
	// Operations is the HTTP address for operators and backend servers.
	Operations string `yaml:"operations"`
	// Fleet is the address for the fleet's own processes, host:port. All directory
	// processes use the same port.
	Fleet string `yaml:"fleet"`
	// FleetAddress is where others reach the fleet listener, if not at Fleet. All
	// directory processes use the same port there.
	FleetAddress string `yaml:"fleetAddress,omitempty"`
	// Admin is the HTTP address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin"`
	// Data is the folder of the replicated state.
	Data string `yaml:"data"`
	// Seeds are addresses of directory processes; only the hosts are used.
	Seeds []string `yaml:"seeds"`
	// Founding is true when the whole fleet starts for the first time.
	Founding bool `yaml:"founding"`
	// Memory bounds the Go heap in MiB; 0 means no bound.
	Memory int64        `yaml:"memory,omitempty"`
	Log    settings.Log `yaml:"log,omitempty"`
}

// LoadSettings reads and checks a settings file. Errors have kind invalid-settings.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	err := settings.Require(
		settings.Field{Name: "name", Value: s.Name},
		settings.Field{Name: "dataCentre", Value: s.DataCentre},
		settings.Field{Name: "operations", Value: s.Operations},
		settings.Field{Name: "fleet", Value: s.Fleet},
		settings.Field{Name: "admin", Value: s.Admin},
		settings.Field{Name: "data", Value: s.Data},
	)
	if err == nil {
		err = settings.CheckAddresses(append([]string{s.Operations, s.Fleet, s.Admin}, s.Seeds...)...)
	}
	if err == nil && s.FleetAddress != "" {
		err = settings.CheckAddresses(s.FleetAddress)
	}
	if err != nil {
		return err
	}
	if len(s.Seeds) == 0 {
		return errkind.New(errkind.InvalidSettings, "seeds is empty: name at least one directory process")
	}
	return nil
}

// Time bounds of the process.
const (
	// changeTimeout bounds one change; operators try another process after a second.
	changeTimeout = 900 * time.Millisecond
	// statePoll is how often a read looks for a revision that is on its way.
	statePoll = 20 * time.Millisecond
	// barrierTimeout bounds one confirmation by a quorum.
	barrierTimeout = 800 * time.Millisecond
	// handOverTime bounds giving leadership away at the end.
	handOverTime = 500 * time.Millisecond
	// passTime bounds the wait for other processes to know of a server that leaves; a
	// round trip between data centres and their work fit in it several times.
	passTime = 200 * time.Millisecond
	// operationsIdle ends idle connections at the operations address: with many
	// backend servers, which spread their heartbeats over the processes, they would
	// take the VM's memory and file descriptors.
	operationsIdle = 5 * time.Second
	// adminTimeout bounds reading a request on the admin address.
	adminTimeout = 5 * time.Second
)
