package standin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings are those of one kqstandin process.
type Settings struct {
	// Admin is the address of the process's own HTTP endpoint, with the whole ledger.
	Admin string `yaml:"admin"`
	// LedgerFile, if set, gets every ledger entry as a JSON line.
	LedgerFile string `yaml:"ledgerFile"`
	// Seed drives the faults; default 1.
	Seed uint64 `yaml:"seed"`
	// Announce lists the routers' announce addresses.
	Announce []string `yaml:"announce"`
	// AnnounceKey is shown to the routers, if set.
	AnnounceKey string `yaml:"announceKey"`
	// Heartbeat is the interval of announcements; default 500ms.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// LogLevel defaults to info.
	LogLevel string `yaml:"logLevel"`
	// Profiles holds what servers are like, by name.
	Profiles map[string]Profile `yaml:"profiles"`
	// Groups lists the servers to run.
	Groups []Group `yaml:"groups"`
}

// Group is a number of like servers in one data centre.
type Group struct {
	// Prefix and a two-digit number make a server's name.
	Prefix     string `yaml:"prefix"`
	Count      int    `yaml:"count"`
	Service    string `yaml:"service"`
	DataCentre string `yaml:"dataCentre"`
	// Address is that of the first server; the port rises by one per server.
	Address string `yaml:"address"`
	// Profile names the profile of the servers.
	Profile string `yaml:"profile"`
}

// Profile says what a server is like. EngineConfig explains the fields that it shares.
type Profile struct {
	// Type is model or plain.
	Type        string   `yaml:"type"`
	Models      []string `yaml:"models"`
	Adapters    []string `yaml:"adapters"`
	ChecksFence bool     `yaml:"checksFence"`

	Capacity        int           `yaml:"capacity"`
	ColdCapacity    int           `yaml:"coldCapacity"`
	ColdTime        time.Duration `yaml:"coldTime"`
	ColdSlowdown    float64       `yaml:"coldSlowdown"`
	FallTime        time.Duration `yaml:"fallTime"`
	BatchInterval   time.Duration `yaml:"batchInterval"`
	PrefillPerToken time.Duration `yaml:"prefillPerToken"`
	TokenInterval   time.Duration `yaml:"tokenInterval"`
	BatchSlowdown   float64       `yaml:"batchSlowdown"`
	CacheTokens     int           `yaml:"cacheTokens"`
	ReportLag       time.Duration `yaml:"reportLag"`
	EventDelay      time.Duration `yaml:"eventDelay"`
	EventLoss       float64       `yaml:"eventLoss"`
	// Retention is how long finished streams and attempts are kept; default 5m.
	Retention time.Duration `yaml:"retention"`
	Faults    Faults        `yaml:"faults"`
}

// Defaults of the settings.
const (
	defaultHeartbeat = 500 * time.Millisecond
	defaultRetention = 5 * time.Minute
)

// The types of servers.
const (
	TypeModel = "model"
	TypePlain = "plain"
)

// ServerConfig describes one server.
type ServerConfig struct {
	Name    string
	Address string
	Group   Group
	Profile Profile
	Seed    uint64
}

// Servers expands the groups and refuses settings that make no sense.
func (s Settings) Servers() ([]ServerConfig, error) {
	var out []ServerConfig
	seen := map[string]bool{}
	for i, g := range s.Groups {
		host, portText, err := net.SplitHostPort(g.Address)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidSettings, "groups[%d].address", i)
		}
		port, err := strconv.Atoi(portText)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidSettings, "groups[%d].address", i)
		}
		profile, err := s.profile(g.Profile)
		if err != nil {
			return nil, err
		}
		if g.Count < 1 {
			return nil, errkind.New(errkind.InvalidSettings, "groups[%d].count must be at least 1", i)
		}
		for n := range g.Count {
			c := ServerConfig{
				Name:    fmt.Sprintf("%s-%02d", g.Prefix, n+1),
				Address: net.JoinHostPort(host, strconv.Itoa(portOf(port, n))),
				Group:   g,
				Profile: profile,
				Seed:    s.Seed + uint64(len(out)) + 1,
			}
			if seen[c.Name] {
				return nil, errkind.New(errkind.InvalidSettings, "groups[%d]: the name %s stands twice", i, c.Name)
			}
			seen[c.Name] = true
			out = append(out, c)
		}
	}
	return out, nil
}

func (s Settings) profile(name string) (Profile, error) {
	p, ok := s.Profiles[name]
	if !ok {
		return p, errkind.New(errkind.InvalidSettings, "no profile is named %q", name)
	}
	if p.Capacity < 1 || (p.Type != TypeModel && p.Type != TypePlain) {
		return p, errkind.New(errkind.InvalidSettings, "profiles.%s: capacity must be at least 1 and type model or plain", name)
	}
	if p.Retention == 0 {
		p.Retention = defaultRetention
	}
	return p, nil
}

// portOf keeps port 0, which lets the system choose.
func portOf(first, n int) int {
	if first == 0 {
		return 0
	}
	return first + n
}

func (p Profile) engine(seed uint64) EngineConfig {
	return EngineConfig{
		Capacity:        p.Capacity,
		ColdCapacity:    p.ColdCapacity,
		ColdTime:        p.ColdTime,
		ColdSlowdown:    p.ColdSlowdown,
		FallTime:        p.FallTime,
		BatchInterval:   p.BatchInterval,
		PrefillPerToken: p.PrefillPerToken,
		TokenInterval:   p.TokenInterval,
		BatchSlowdown:   p.BatchSlowdown,
		CacheTokens:     p.CacheTokens,
		ReportLag:       p.ReportLag,
		EventDelay:      p.EventDelay,
		EventLoss:       p.EventLoss,
		Seed:            seed,
	}
}

// LoadSettings reads a settings file and refuses fields that it does not know.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if path == "" {
		return s, errkind.New(errkind.Usage, "name the settings file with -c")
	}
	if err := settings.Load(path, &s); err != nil {
		return s, err
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	return s, nil
}
