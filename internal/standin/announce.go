package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/hashicorp/go-hclog"
)

const announceTimeout = time.Second

// Announcement is the body of a heartbeat to a router.
type Announcement struct {
	Name          string   `json:"name"`
	Service       string   `json:"service"`
	DataCentre    string   `json:"dataCentre"`
	Address       string   `json:"address"`
	Incarnation   string   `json:"incarnation"`
	State         State    `json:"state"`
	Capacity      int      `json:"capacity"`
	ColdCapacity  int      `json:"coldCapacity"`
	Models        []string `json:"models,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	MeasuredMsAgo int64    `json:"measuredMsAgo"`
	Sequence      uint64   `json:"sequence"`
	ChecksFence   bool     `json:"checksFence,omitempty"`
	CacheTokens   int      `json:"cacheTokens"`
	// ReadyMs is how long the server has been ready, in milliseconds.
	ReadyMs int64 `json:"readyMs,omitempty"`
}

// NextAnnouncement returns the next heartbeat and increments its sequence number.
func (s *Server) NextAnnouncement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	load := s.engine.Report(now)
	s.sequence++
	g, p := s.conf.Group, s.conf.Profile
	return Announcement{
		Name: s.conf.Name, Service: g.Service, DataCentre: g.DataCentre, Address: s.conf.Address,
		Incarnation: s.incarnation, State: s.recordState(now),
		Capacity: p.Capacity, ColdCapacity: p.ColdCapacity, Models: p.Models, Adapters: p.Adapters,
		Running: load.Running, Queued: load.Queued, MeasuredMsAgo: load.Age.Milliseconds(),
		Sequence: s.sequence, ChecksFence: p.ChecksFence, CacheTokens: p.CacheTokens,
		ReadyMs: s.engine.ReadyFor(now).Milliseconds(),
	}
}

// Announcer sends a server's heartbeats. It sends to the same router until that
// router does not accept a heartbeat, then to the next one.
type Announcer struct {
	server   *Server
	routers  []string
	key      string
	interval time.Duration
	log      hclog.Logger
	client   *http.Client
	current  int
}

// NewAnnouncer returns an announcer that starts with the router at index first.
func NewAnnouncer(s *Server, conf Settings, first int, log hclog.Logger) *Announcer {
	interval := conf.Heartbeat
	if interval <= 0 {
		interval = defaultHeartbeat
	}
	return &Announcer{
		server: s, routers: conf.Announce, key: conf.AnnounceKey, interval: interval,
		log: log, client: &http.Client{Timeout: announceTimeout}, current: first,
	}
}

// Run sends heartbeats until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	tick := time.NewTicker(a.interval)
	defer tick.Stop()
	for {
		a.Announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends one heartbeat, to the first router that accepts it.
func (a *Announcer) Announce(ctx context.Context) {
	for range a.routers {
		addr := a.routers[a.current%len(a.routers)]
		if a.send(ctx, addr) {
			return
		}
		a.current++
	}
}

func (a *Announcer) send(ctx context.Context, addr string) bool {
	req, err := sling.New().Post("http://" + addr + "/v1/announce").BodyJSON(a.server.NextAnnouncement()).Request()
	if err != nil {
		return false
	}
	if a.key != "" {
		req.Header.Set("X-Kq-Announce-Key", a.key)
	}
	resp, err := a.client.Do(req.WithContext(ctx))
	if err != nil {
		a.log.Debug("sending the announcement failed", "router", addr, "error", err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 == 2 {
		return true
	}
	a.log.Warn("router refused the announcement", "router", addr, "server", a.server.conf.Name, "status", resp.StatusCode)
	return false
}
