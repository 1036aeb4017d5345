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

// Settings is the content of a router's settings file.
type Settings struct {
	// Name is unique in the fleet; the data centre's lease voters refer to it.
	Name string `yaml:"name"`
	// DataCentre is the data centre of the router's VM.
	DataCentre string    `yaml:"dataCentre"`
	Listen     Addresses `yaml:"listen"`
	// FleetAddress is the address at which other processes reach the fleet listener;
	// the default is the address that it listens on.
	FleetAddress string `yaml:"fleetAddress,omitempty"`
	// Control lists the fleet addresses of the control processes.
	Control []string `yaml:"control"`
	// Relays lists the fleet addresses of routers to receive the configuration from.
	// If set, the control processes are used only when too few relays answer.
	Relays []string `yaml:"relays,omitempty"`
	// DataDir is the folder in which the last configuration is kept across restarts; if
	// empty, none is kept.
	DataDir string `yaml:"dataDir,omitempty"`
	// FleetTLS holds the certificate for connections with other processes of the fleet;
	// if not set, they use plain TCP.
	FleetTLS settings.TLS `yaml:"fleetTLS,omitempty"`
	// CallersTLS and AnnounceTLS hold the certificates of the callers and announce
	// listeners.
	CallersTLS  settings.TLS `yaml:"callersTLS,omitempty"`
	AnnounceTLS settings.TLS `yaml:"announceTLS,omitempty"`
	Log         settings.Log `yaml:"log,omitempty"`
	// IsolationBound is the time since the last confirmation of the configuration after
	// which the router uses only its own data centre; default 10s.
	IsolationBound config.Duration `yaml:"isolationBound,omitempty"`
	Shutdown       Shutdown        `yaml:"shutdown,omitempty"`
	Limits         CallerLimits    `yaml:"limits,omitempty"`
}

// Addresses holds the IP address and port of each listener.
type Addresses struct {
	Callers  string `yaml:"callers"`
	Announce string `yaml:"announce"`
	Fleet    string `yaml:"fleet"`
	Admin    string `yaml:"admin"`
}

// Shutdown holds the time limits for the steps of a graceful shutdown.
type Shutdown struct {
	// BalancerWait is how long new requests are accepted after the router has become
	// unready, so that the load balancer can notice; default 5s.
	BalancerWait config.Duration `yaml:"balancerWait,omitempty"`
	// Finish is how long requests in flight may then take to finish; default 120s.
	Finish config.Duration `yaml:"finish,omitempty"`
	// Settle is how long recording the outcomes of claims may take; default 5s.
	Settle config.Duration `yaml:"settle,omitempty"`
}

// CallerLimits limits the resources that clients can use.
type CallerLimits struct {
	// HeaderTime is the timeout for reading the headers of a request; default 5s.
	HeaderTime config.Duration `yaml:"headerTime,omitempty"`
	// HeaderBytes limits the size of a request's headers; default 32768.
	HeaderBytes int `yaml:"headerBytes,omitempty"`
	// IdleTime is the time after which an idle connection is closed; default 90s.
	IdleTime config.Duration `yaml:"idleTime,omitempty"`
	// BodyTime is the timeout for reading the body of a request; default 15s.
	BodyTime config.Duration `yaml:"bodyTime,omitempty"`
	// StallTime is the timeout for a write of response bytes to a client that does not
	// read; default 20s.
	StallTime config.Duration `yaml:"stallTime,omitempty"`
	// BodyBytes limits the total size of the request bodies in memory; default
	// 268435456.
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

// LoadSettings reads and validates a settings file and sets the defaults. Errors have
// the kind invalid-settings.
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

// check returns an error that lists every fault of the settings.
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
	bodyLimits := dispatch.Limits{BodyTimeout: s.Limits.BodyTime.AsDuration(), ClientWriteTimeout: s.Limits.StallTime.AsDuration(), TotalBodyBytes: s.Limits.BodyBytes}.WithDefaults()
	s.Limits.BodyTime, s.Limits.StallTime, s.Limits.BodyBytes = config.Duration(bodyLimits.BodyTimeout), config.Duration(bodyLimits.ClientWriteTimeout), bodyLimits.TotalBodyBytes
}

func setDuration(d *config.Duration, defaultValue time.Duration) {
	if *d <= 0 {
		*d = config.Duration(defaultValue)
	}
}
