package edge

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings is the YAML settings file of an edge router.
type Settings struct {
	// Name identifies the process in logs and to the directory.
	Name string `yaml:"name"`
	// DataCentre is the data centre that the process runs in.
	DataCentre string `yaml:"dataCentre"`
	// Clients is the listen address for client requests.
	Clients string `yaml:"clients"`
	// Ready is the listen address for the load balancer's readiness check.
	Ready string `yaml:"ready"`
	// Admin is the listen address for /metrics, /healthz and /readyz.
	Admin string `yaml:"admin"`
	// Handoff is the listen address for requests that other routers hand off, and the one at
	// which they reach it; empty if this router neither takes nor hands off requests.
	Handoff string `yaml:"handoff,omitempty"`
	// DirectoryPort is the port on which directory processes serve routers.
	DirectoryPort string `yaml:"directoryPort"`
	// Seeds are addresses of directory processes. Only their hosts are used, with
	// DirectoryPort.
	Seeds  []string `yaml:"seeds"`
	Bounds Bounds   `yaml:"bounds"`
	// Grace is the grace period: the time from the signal to stop until the process
	// is killed.
	Grace config.Duration `yaml:"grace"`
	// Memory is the soft memory limit of the Go runtime in MiB; 0 means no limit.
	Memory int64        `yaml:"memory,omitempty"`
	Log    settings.Log `yaml:"log,omitempty"`
}

// Bounds are limits of the deployment that apply to all routers together.
type Bounds struct {
	// RetryRatio and RetrySlack limit the retries within RetryWindow: at most
	// RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64         `yaml:"retryRatio"`
	RetrySlack  float64         `yaml:"retrySlack"`
	RetryWindow config.Duration `yaml:"retryWindow"`
	// ColdFactor and ColdSlack limit the requests per second to a cold backend server:
	// at most ColdFactor times the rate that it can take, plus ColdSlack.
	ColdFactor float64 `yaml:"coldFactor"`
	ColdSlack  float64 `yaml:"coldSlack"`
	// KeyTime is how long an API key may still be accepted after it was revoked.
	KeyTime config.Duration `yaml:"keyTime"`
}

// LoadSettings reads and validates a settings file. Its errors have kind
// invalid-settings.
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
		addresses := append([]string{s.Clients, s.Ready, s.Admin}, s.Seeds...)
		if s.Handoff != "" {
			addresses = append(addresses, s.Handoff)
		}
		err = settings.CheckAddresses(addresses...)
	}
	if err != nil {
		return err
	}
	switch {
	case len(s.Seeds) == 0:
		return errkind.New(errkind.InvalidSettings, "seeds is empty: name at least one directory process")
	case s.Grace.AsDuration() <= minGrace:
		return errkind.New(errkind.InvalidSettings, "grace must be more than %s", minGrace)
	case s.Bounds.KeyTime.AsDuration() <= keyTimeMargin:
		return errkind.New(errkind.InvalidSettings, "bounds.keyTime must be more than %s", keyTimeMargin)
	case s.Bounds.RetryWindow.AsDuration() <= 0:
		return errkind.New(errkind.InvalidSettings, "bounds.retryWindow must be positive")
	}
	return nil
}

const (
	minGrace = 3 * time.Second
	// keyTimeMargin is the part of keyTime that is reserved for forwarding a request
	// after its key was checked and for clock differences.
	keyTimeMargin = 500 * time.Millisecond
)
