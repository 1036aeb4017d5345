package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings is the YAML settings file of a directory process.
type Settings struct {
	// Name identifies the process in logs.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the process runs in.
	DataCentre string `yaml:"dataCentre"`
	// Operations is the HTTP listen address for operators and backend servers.
	Operations string `yaml:"operations"`
	// Fleet is the listen address, host:port, for routers and other directory processes.
	// All directory processes use the same port.
	Fleet string `yaml:"fleet"`
	// FleetAddress is the address at which other processes reach the fleet listener, if
	// it differs from Fleet. All directory processes use the same port in it.
	FleetAddress string `yaml:"fleetAddress,omitempty"`
	// Admin is the HTTP address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin"`
	// Data is the folder that holds the replicated state.
	Data string `yaml:"data"`
	// Seeds are addresses of directory processes; only their hosts are used.
	Seeds []string `yaml:"seeds"`
	// ToleratedLosses is how many directory processes may lose their disks at the same time; 0
	// means 1. A silent voter is removed only while enough others are left to bear as many.
	ToleratedLosses int `yaml:"toleratedLosses,omitempty"`
	// Founding is true when the whole fleet starts for the first time.
	Founding bool `yaml:"founding"`
	// Memory is the limit of the Go heap in MiB; 0 means no limit.
	Memory int64        `yaml:"memory,omitempty"`
	Log    settings.Log `yaml:"log,omitempty"`
	// Rollouts limits what a version may get that is being rolled out.
	Rollouts RolloutBounds `yaml:"rollouts,omitempty"`
}

// RolloutBounds are the limits of a service's rollout. Fields that are not set have defaults.
type RolloutBounds struct {
	// Share is the part of a service's requests, from the order to the end of its duration, that
	// a version may get which turns out to be bad. Slack is a number of requests beyond it.
	Share float64 `yaml:"share,omitempty"`
	Slack int     `yaml:"slack,omitempty"`
}

func (b RolloutBounds) bounds() rollout.Bounds {
	out := rollout.DefaultBounds
	if b.Share > 0 {
		out.Share, out.Slack = b.Share, b.Slack
	}
	return out
}

// LoadSettings reads and validates a settings file. Errors have kind invalid-settings.
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
	if b := s.Rollouts; !(b.Share >= 0 && b.Share <= 1) || b.Slack < 0 {
		return errkind.New(errkind.InvalidSettings, "rollouts: share is %v and slack %d: share must be from 0 to 1, slack not negative", b.Share, b.Slack)
	}
	if s.ToleratedLosses < 0 {
		return errkind.New(errkind.InvalidSettings, "toleratedLosses is %d: it must not be negative", s.ToleratedLosses)
	}
	if len(s.Seeds) == 0 {
		return errkind.New(errkind.InvalidSettings, "seeds is empty: name at least one directory process")
	}
	return nil
}

// Timeouts of the process.
const (
	// changeTimeout limits one change. Operators try another process after 1 s.
	changeTimeout = 900 * time.Millisecond
	// statePollInterval is how often a read checks whether the revision that it waits
	// for has been applied.
	statePollInterval = 20 * time.Millisecond
	// barrierTimeout limits one confirmation by a quorum.
	barrierTimeout = 800 * time.Millisecond
	// handOverTimeout limits the transfer of leadership, at shutdown or from a slow
	// leader.
	handOverTimeout = 500 * time.Millisecond
	// relayTimeout limits the wait for other processes to acknowledge that a server
	// leaves. It covers several times a round trip between data centres and the
	// processing there.
	relayTimeout = 200 * time.Millisecond
	// operationsIdleTimeout closes idle connections at the operations address. Backend
	// servers spread their heartbeats over the processes, so with many servers idle
	// connections would exhaust the VM's memory and file descriptors.
	operationsIdleTimeout = 5 * time.Second
	// adminTimeout limits reading a request at the admin and operations addresses.
	adminTimeout = 5 * time.Second
	// maxHeaderBytes limits the header of a request at these addresses; net/http reads 4 KB more.
	// Calls have a few hundred bytes, and lines of a few bytes take 25 times as much memory.
	maxHeaderBytes = 4 << 10
)
