package router

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/dispatch"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings are a router's own, from its settings file.
type Settings struct {
	// Name is unique in the fleet; the data centre's lease voters refer to it.
	Name string `yaml:"name"`
	// DataCentre is where the router's VM is.
	DataCentre string    `yaml:"dataCentre"`
	Listen     Addresses `yaml:"listen"`
	// FleetAddress is where other processes reach the fleet listener; default
	// listen.fleet.
	FleetAddress string `yaml:"fleetAddress,omitempty"`
	// Control lists the fleet addresses of the control processes.
	Control []string `yaml:"control"`
	// Relays lists routers to take the configuration from; the control processes
	// are then asked only when too few relays answer.
	Relays []string `yaml:"relays,omitempty"`
	// DataDir keeps the last configuration over a restart; empty for none.
	DataDir string `yaml:"dataDir,omitempty"`
	// FleetTLS is the identity towards the fleet's processes; none for plain TCP.
	FleetTLS settings.TLS `yaml:"fleetTLS,omitempty"`
	// CallersTLS and AnnounceTLS are the certificates of those listeners.
	CallersTLS  settings.TLS `yaml:"callersTLS,omitempty"`
	AnnounceTLS settings.TLS `yaml:"announceTLS,omitempty"`
	Log         settings.Log `yaml:"log,omitempty"`
	// IsolationBound is how old the configuration's news may be before the router
	// restricts itself to its own data centre; default 10s.
	IsolationBound config.Duration `yaml:"isolationBound,omitempty"`
	Shutdown       Shutdown        `yaml:"shutdown,omitempty"`
	Limits         CallerLimits    `yaml:"limits,omitempty"`
}

// Addresses are IP and port of each listener.
type Addresses struct {
	Callers  string `yaml:"callers"`
	Announce string `yaml:"announce"`
	Fleet    string `yaml:"fleet"`
	Admin    string `yaml:"admin"`
}

// Shutdown bounds the steps of a graceful shutdown.
type Shutdown struct {
	// BalancerWait is how long requests are still taken after readiness fails;
	// default 5s.
	BalancerWait config.Duration `yaml:"balancerWait,omitempty"`
	// Finish is how long requests may take to finish after that; default 120s.
	Finish config.Duration `yaml:"finish,omitempty"`
	// Settle is how long outcomes of claims may take to be recorded; default 5s.
	Settle config.Duration `yaml:"settle,omitempty"`
}

// CallerLimits bound what callers can take of the router.
type CallerLimits struct {
	// HeaderTime bounds the time in which a caller sends its headers; default 5s.
	HeaderTime config.Duration `yaml:"headerTime,omitempty"`
	// HeaderBytes bounds a request's headers; default 32768.
	HeaderBytes int `yaml:"headerBytes,omitempty"`
	// IdleTime ends idle connections; default 90s.
	IdleTime config.Duration `yaml:"idleTime,omitempty"`
	// BodyTime bounds the time in which a caller sends its body; default 15s.
	BodyTime config.Duration `yaml:"bodyTime,omitempty"`
	// StallTime bounds how long a caller may take no byte of its answer; default 20s.
	StallTime config.Duration `yaml:"stallTime,omitempty"`
	// BodyBytes bounds the bodies held at a time; default 268435456.
	BodyBytes int64 `yaml:"bodyBytes,omitempty"`
}

const (
	defaultBalancerWait = 5 * time.Second
	defaultFinish       = 120 * time.Second
	defaultSettle       = 5 * time.Second
	defaultHeaderTime   = 5 * time.Second
	defaultHeaderBytes  = 32 << 10
	defaultIdleTime     = 90 * time.Second
)

// LoadSettings reads and checks a settings file. The error's kind is
// invalid-settings.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "%s", path)
	}
	s.setDefaults()
	return &s, nil
}

// check lists all faults at once.
func (s *Settings) check() error {
	var faults []string
	if s.Name == "" {
		faults = append(faults, "name is missing")
	}
	if s.DataCentre == "" {
		faults = append(faults, "dataCentre is missing")
	}
	if len(s.Control) == 0 {
		faults = append(faults, "control must list the fleet addresses of the control processes")
	}
	for _, f := range s.addresses() {
		if _, err := netip.ParseAddrPort(f.address); err != nil {
			faults = append(faults, fmt.Sprintf("%s must be IP:port, not %q", f.field, f.address))
		}
	}
	if len(faults) > 0 {
		return errkind.New(errkind.InvalidSettings, "%s", strings.Join(faults, "; "))
	}
	return nil
}

type addressField struct{ field, address string }

func (s *Settings) addresses() []addressField {
	out := []addressField{
		{"listen.callers", s.Listen.Callers},
		{"listen.announce", s.Listen.Announce},
		{"listen.fleet", s.Listen.Fleet},
		{"listen.admin", s.Listen.Admin},
	}
	if s.FleetAddress != "" {
		out = append(out, addressField{"fleetAddress", s.FleetAddress})
	}
	for _, a := range s.Control {
		out = append(out, addressField{"control", a})
	}
	for _, a := range s.Relays {
		out = append(out, addressField{"relays", a})
	}
	return out
}

func (s *Settings) setDefaults() {
	setDuration(&s.Shutdown.BalancerWait, defaultBalancerWait)
	setDuration(&s.Shutdown.Finish, defaultFinish)
	setDuration(&s.Shutdown.Settle, defaultSettle)
	setDuration(&s.Limits.HeaderTime, defaultHeaderTime)
	setDuration(&s.Limits.IdleTime, defaultIdleTime)
	if s.Limits.HeaderBytes <= 0 {
		s.Limits.HeaderBytes = defaultHeaderBytes
	}
	setDuration(&s.IsolationBound, distribution.DefaultIsolationBound)
	body := dispatch.Limits{BodyTime: s.Limits.BodyTime.D(), StallTime: s.Limits.StallTime.D(), BodyBytes: s.Limits.BodyBytes}.WithDefaults()
	s.Limits.BodyTime, s.Limits.StallTime, s.Limits.BodyBytes = config.Duration(body.BodyTime), config.Duration(body.StallTime), body.BodyBytes
}

func setDuration(d *config.Duration, def time.Duration) {
	if *d <= 0 {
		*d = config.Duration(def)
	}
}
