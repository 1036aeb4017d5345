package edge

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings is the YAML file of an edge router.
type Settings struct {
	// Name is the process's name in logs.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the process runs in.
	DataCentre string `yaml:"dataCentre"`
	// Clients is the address for clients' requests.
	Clients string `yaml:"clients"`
	// Ready is the address on which the balancer asks for readiness.
	Ready string `yaml:"ready"`
	// Admin is the HTTP address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin"`
	// DirectoryPort is the port of the directory's processes for the fleet.
	DirectoryPort string `yaml:"directoryPort"`
	// Seeds are addresses of directory processes; only the hosts are used.
	Seeds  []string `yaml:"seeds"`
	Bounds Bounds   `yaml:"bounds"`
	// Grace is the time from the signal to stop until the process is killed.
	Grace config.Duration `yaml:"grace"`
	// Memory is the soft bound of the Go heap in MiB; 0 means no bound.
	Memory int64        `yaml:"memory,omitempty"`
	Log    settings.Log `yaml:"log,omitempty"`
}

// Bounds are the deployment's bounds that routers keep together.
type Bounds struct {
	// RetryRatio and RetrySlack bound repeated sends within RetryWindow.
	RetryRatio  float64         `yaml:"retryRatio"`
	RetrySlack  float64         `yaml:"retrySlack"`
	RetryWindow config.Duration `yaml:"retryWindow"`
	// ColdFactor and ColdSlack bound what a cold server gets in a second.
	ColdFactor float64 `yaml:"coldFactor"`
	ColdSlack  float64 `yaml:"coldSlack"`
	// KeyTime is how long after a key was taken away it may still be honoured.
	KeyTime config.Duration `yaml:"keyTime"`
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
		settings.Field{Name: "clients", Value: s.Clients},
		settings.Field{Name: "ready", Value: s.Ready},
		settings.Field{Name: "admin", Value: s.Admin},
		settings.Field{Name: "directoryPort", Value: s.DirectoryPort},
	)
	if err == nil {
		err = settings.CheckAddresses(append([]string{s.Clients, s.Ready, s.Admin}, s.Seeds...)...)
	}
	if err != nil {
		return err
	}
	switch {
	case len(s.Seeds) == 0:
		return errkind.New(errkind.InvalidSettings, "seeds is empty: name at least one directory process")
	case s.Grace.D() <= minGrace:
		return errkind.New(errkind.InvalidSettings, "grace must be over %s", minGrace)
	case s.Bounds.KeyTime.D() <= keyMargin:
		return errkind.New(errkind.InvalidSettings, "bounds.keyTime must be over %s", keyMargin)
	case s.Bounds.RetryWindow.D() <= 0:
		return errkind.New(errkind.InvalidSettings, "bounds.retryWindow must be positive")
	}
	return nil
}

const (
	minGrace = 3 * time.Second
	// keyMargin is the part of the key time that covers the passing on of a
	// request and the difference of clocks.
	keyMargin = 500 * time.Millisecond
)
