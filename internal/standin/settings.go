package standin

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
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
	// Type is model or plain.
	Type string `yaml:"type"`

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
		if g.Count < 1 || g.Capacity < 1 || (g.Type != TypeModel && g.Type != TypePlain) {
			return nil, errkind.New(errkind.InvalidSettings, "groups[%d]: count and capacity must be at least 1 and type model or plain", i)
		}
		if g.Retention == 0 {
			g.Retention = defaultRetention
		}
		for n := range g.Count {
			c := ServerConfig{
				Name:    fmt.Sprintf("%s-%02d", g.Prefix, n+1),
				Address: net.JoinHostPort(host, strconv.Itoa(portOf(port, n))),
				Group:   g,
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

// portOf keeps port 0, which lets the system choose.
func portOf(first, n int) int {
	if first == 0 {
		return 0
	}
	return first + n
}

func (g Group) engine(seed uint64) EngineConfig {
	return EngineConfig{
		Capacity:        g.Capacity,
		ColdCapacity:    g.ColdCapacity,
		ColdTime:        g.ColdTime,
		ColdSlowdown:    g.ColdSlowdown,
		FallTime:        g.FallTime,
		BatchInterval:   g.BatchInterval,
		PrefillPerToken: g.PrefillPerToken,
		TokenInterval:   g.TokenInterval,
		BatchSlowdown:   g.BatchSlowdown,
		CacheTokens:     g.CacheTokens,
		ReportLag:       g.ReportLag,
		EventDelay:      g.EventDelay,
		EventLoss:       g.EventLoss,
		Seed:            seed,
	}
}

// LoadSettings reads a settings file and refuses fields that it does not know.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if path == "" {
		return s, errkind.New(errkind.Usage, "name the settings file with -c")
	}
	f, err := os.Open(path)
	if err != nil {
		return s, errkind.Wrap(err, errkind.InvalidSettings, "settings file")
	}
	defer func() { _ = f.Close() }()
	d := yaml.NewDecoder(f)
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil {
		return s, errkind.Wrap(err, errkind.InvalidSettings, "%s", path)
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	return s, nil
}
