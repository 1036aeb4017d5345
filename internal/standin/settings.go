package standin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings configures one kqstandin process.
type Settings struct {
	// Admin is the address of the admin HTTP endpoint, which serves the ledger of all servers.
	Admin string `yaml:"admin"`
	// LedgerFile, if set, is a file to which every ledger entry is written as a JSON line.
	LedgerFile string `yaml:"ledgerFile"`
	// Seed is the base of the servers' seeds for faults and lost cache events: the n-th
	// server uses Seed+n, so the first one uses 1 if Seed is not set.
	Seed uint64 `yaml:"seed"`
	// Announce lists the addresses at which the routers accept announcements.
	Announce []string `yaml:"announce"`
	// AnnounceKey, if set, is the key that authenticates announcements to the routers.
	AnnounceKey string `yaml:"announceKey"`
	// Heartbeat is the interval of announcements; default 500ms.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// LogLevel defaults to info.
	LogLevel string `yaml:"logLevel"`
	// Profiles describes the kinds of servers, by profile name.
	Profiles map[string]Profile `yaml:"profiles"`
	// Groups lists the groups of servers to run.
	Groups []Group `yaml:"groups"`
}

// Group is a number of servers with one profile in one data centre.
type Group struct {
	// A server's name is Prefix, a hyphen and a number of at least two digits.
	Prefix     string `yaml:"prefix"`
	Count      int    `yaml:"count"`
	Service    string `yaml:"service"`
	DataCentre string `yaml:"dataCentre"`
	// Address is the address of the first server; the port increases by one per
	// server, unless it is 0.
	Address string `yaml:"address"`
	// Profile is the name of the servers' profile.
	Profile string `yaml:"profile"`
}

// Profile describes a kind of server. The fields that it shares with EngineConfig
// are documented there.
type Profile struct {
	// Type is TypeModel or TypePlain.
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
	// Retention is how long finished streams and attempts are kept before they are
	// evicted; default 5m.
	Retention time.Duration `yaml:"retention"`
	Faults    Faults        `yaml:"faults"`
}

const (
	defaultHeartbeat = 500 * time.Millisecond
	defaultRetention = 5 * time.Minute
)

// Types of servers.
const (
	TypeModel = "model"
	TypePlain = "plain"
)

// ServerConfig configures one server.
type ServerConfig struct {
	Name    string
	Address string
	Group   Group
	Profile Profile
	Seed    uint64
}

// ServerConfigs returns the configuration of every server in every group. It
// returns an error if the settings are invalid.
func (s Settings) ServerConfigs() ([]ServerConfig, error) {
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
				Address: net.JoinHostPort(host, strconv.Itoa(nthPort(port, n))),
				Group:   g,
				Profile: profile,
				Seed:    s.Seed + uint64(len(out)) + 1,
			}
			if seen[c.Name] {
				return nil, errkind.New(errkind.InvalidSettings, "groups[%d]: duplicate server name %s", i, c.Name)
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
		return p, errkind.New(errkind.InvalidSettings, "unknown profile %q", name)
	}
	if p.Capacity < 1 || (p.Type != TypeModel && p.Type != TypePlain) {
		return p, errkind.New(errkind.InvalidSettings, "profiles.%s: capacity must be at least 1 and type model or plain", name)
	}
	if p.Retention == 0 {
		p.Retention = defaultRetention
	}
	return p, nil
}

// nthPort returns the port of the n-th server of a group. Port 0 is kept, so that
// the operating system chooses a free port.
func nthPort(first, n int) int {
	if first == 0 {
		return 0
	}
	return first + n
}

func (p Profile) engineConfig(seed uint64) EngineConfig {
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

// LoadSettings reads a settings file. Unknown fields are an error.
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
