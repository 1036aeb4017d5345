package replay

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings are those of one replay.
type Settings struct {
	// Trace is the file of records.
	Trace string `yaml:"trace"`
	// Speed multiplies the pace of the trace; default 1.
	Speed float64 `yaml:"speed"`
	// Repeat plays the trace again and again until this has passed; 0 plays it once.
	Repeat time.Duration `yaml:"repeat"`
	// Routers lists the entry VMs as the platform's balancer knows them.
	Routers []Router `yaml:"routers"`
	// Ledgers lists URLs of stand-ins' ledgers.
	Ledgers []string `yaml:"ledgers"`
	// Events is a file to which whoever disturbs the fleet appends JSON lines.
	Events string `yaml:"events"`
	// Seed drives the balancer's choices; default 1.
	Seed uint64 `yaml:"seed"`
	// Patience is how long a caller keeps trying; default 20s.
	Patience time.Duration `yaml:"patience"`
	// SkewFactor, SkewFloor and ColdRamp are those of the declared policy; default
	// 1.25, 2 and 30s.
	SkewFactor float64       `yaml:"skewFactor"`
	SkewFloor  float64       `yaml:"skewFloor"`
	ColdRamp   time.Duration `yaml:"coldRamp"`
}

// Router is one entry VM.
type Router struct {
	Name string `yaml:"name"`
	// Address is where callers connect.
	Address string `yaml:"address"`
	// Admin is the address of its readiness, metrics and status.
	Admin      string `yaml:"admin"`
	DataCentre string `yaml:"dataCentre"`
}

const defaultPatience = 20 * time.Second

// LoadSettings reads a settings file and fills in the defaults.
func LoadSettings(path string) (Settings, error) {
	s := Settings{Speed: 1, Seed: 1, Patience: defaultPatience}
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

// bounds returns the default bounds with the policy's own skew.
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
