package replay

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings are the settings of a replay.
type Settings struct {
	// Trace is the path of the trace file.
	Trace string `yaml:"trace"`
	// Speed is the factor by which the replay is faster than the trace; default 1.
	Speed float64 `yaml:"speed"`
	// RepeatDuration is the time for which the trace is replayed repeatedly; 0 replays it once.
	RepeatDuration time.Duration `yaml:"repeat"`
	// Routers lists the entry VMs that the load balancer distributes requests over.
	Routers []Router `yaml:"routers"`
	// Ledgers lists the URLs of the stand-ins' ledgers.
	Ledgers []string `yaml:"ledgers"`
	// Events is the path of a file of JSON lines, to which operators and fault
	// injection scripts append their actions.
	Events string `yaml:"events"`
	// Seed is the seed of the balancer's random choices; default 1.
	Seed uint64 `yaml:"seed"`
	// CallerTimeout is how long a caller retries; default 20s.
	CallerTimeout time.Duration `yaml:"patience"`
	// SkewFactor, SkewFloor and ColdRamp are the values of the declared policy;
	// default 1.25, 2 and 30s.
	SkewFactor float64       `yaml:"skewFactor"`
	SkewFloor  float64       `yaml:"skewFloor"`
	ColdRamp   time.Duration `yaml:"coldRamp"`
}

// Router is one entry VM.
type Router struct {
	Name string `yaml:"name"`
	// Address is the address of the listener for callers.
	Address string `yaml:"address"`
	// Admin is the address of the listener for readiness, metrics and status.
	Admin      string `yaml:"admin"`
	DataCentre string `yaml:"dataCentre"`
}

const defaultCallerTimeout = 20 * time.Second

// LoadSettings reads a settings file and applies the defaults.
func LoadSettings(path string) (Settings, error) {
	s := Settings{Speed: 1, Seed: 1, CallerTimeout: defaultCallerTimeout}
	if path == "" {
		return s, errkind.New(errkind.Usage, "name the settings file with -c")
	}
	if err := settings.Load(path, &s); err != nil {
		return s, err
	}
	if len(s.Routers) == 0 || s.Trace == "" {
		return s, errkind.New(errkind.InvalidSettings, "%s: trace and routers are needed", path)
	}
	return s, nil
}

// bounds returns the default bounds, with the skew settings and the ramp of the
// policy where they are set.
func (s Settings) bounds() Bounds {
	b := DefaultBounds()
	if s.SkewFactor > 0 {
		b.SkewFactor = s.SkewFactor
	}
	if s.SkewFloor > 0 {
		b.SkewFloor = s.SkewFloor
	}
	if s.ColdRamp > 0 {
		b.ColdRamp = s.ColdRamp
	}
	return b
}
