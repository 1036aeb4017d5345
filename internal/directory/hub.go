package directory

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// hubInbox bounds the events that wait for the hub.
	hubInbox = 1024
	// refreshInterval is how often routers are told which servers live on. It is
	// well below the time after which routers give a silent server up.
	refreshInterval = 300 * time.Millisecond
	// expireInterval is how often silent servers are looked for.
	expireInterval = 5 * time.Second
	// loadBytesPerSecond bounds what the load takes of the link: a fifth of the 6
	// Mbit/s of a small VM. Where it is more, routers are told less often, down to
	// maxLoadInterval, half of the time for which they believe it.
	loadBytesPerSecond = 150_000
	maxLoadInterval    = time.Second
	// sessionQueue bounds the updates that wait for one router; a router that
	// takes none is disconnected and starts again.
	sessionQueue = 64
)

// hub owns the list of servers and the routers' sessions. One goroutine runs it.
type hub struct {
	log   hclog.Logger
	inbox chan func()
	now   func() time.Time
	// spread passes announcements to the directory process at the address, or to
	// all others if it is empty. What it returns is closed once a majority of the
	// processes knows of them, this one included, or no more will.
	spread func(to string, news []*fleetpb.Announcement) <-chan struct{}
	// passed is what the last spread to all others returned.
	passed <-chan struct{}

	machine *publication.Machine
	table   *inventory.Table
	// dirty are servers that were heard as they were; news and relayed are those
	// that changed, heard from themselves and from other processes.
	dirty, news, relayed map[string]bool
	sessions             map[*session]bool
	// counted is set if the number of routers changed since they were told.
	counted bool
	// loadDue is when routers are to be told the load again.
	loadDue time.Time
	// due fires when what is gathered is to be told; nil if nothing is. told is closed
	// then.
	due  <-chan time.Time
	told chan struct{}
	// revision is the newest one that the routers were told of.
	revision uint64
	members  []string
	// leader is the address of the leader, or "".
	leader string
	places places
	// reported is set if a router reported its load before the last flush.
	reported bool
}

func newHub(log hclog.Logger, machine *publication.Machine, spread func(string, []*fleetpb.Announcement) <-chan struct{}) *hub {
	return &hub{
		log: log, inbox: make(chan func(), hubInbox), now: time.Now, machine: machine, spread: spread,
		table: inventory.New(), dirty: map[string]bool{}, news: map[string]bool{}, relayed: map[string]bool{}, sessions: map[*session]bool{},
	}
}

func (h *hub) run(ctx context.Context) error {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-h.inbox:
			f()
		case <-h.due:
			h.tell()
		case <-refresh.C:
			h.flush()
		case <-expire.C:
			h.table.Expire(h.now())
		}
	}
}

// do runs f on the hub's goroutine and waits for it.
func (h *hub) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case h.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post hands f to the hub's goroutine without waiting for it.
func (h *hub) post(ctx context.Context, f func()) {
	select {
	case h.inbox <- f:
	case <-ctx.Done():
	}
}

// flush tells all routers which servers were heard since the last flush, and what
// the routers that report here have in flight.
func (h *hub) flush() {
	h.bringUp()
	h.keepPlaces()
	u := &fleetpb.FollowUpdate{}
	if now := h.now(); !now.Before(h.loadDue) {
		u.Load = h.load()
		h.loadDue = now.Add(min(maxLoadInterval, time.Duration(len(h.sessions)*proto.Size(u.Load))*time.Second/loadBytesPerSecond))
	}
	if len(h.dirty) == 0 && u.Load == nil {
		return
	}
	for id := range h.dirty {
		u.Heard = append(u.Heard, uint32(routing.Hash(id)))
	}
	clear(h.dirty)
	h.broadcast(u)
}

// load sums the sessions' reports; nil if no router reports here, nor did at the
// last flush.
func (h *hub) load() *fleetpb.Load {
	sum := map[uint32]uint32{}
	reports := false
	for s := range h.sessions {
		reports = reports || s.load != nil
		for i, server := range s.load.GetServers() {
			if i < len(s.load.InFlight) {
				sum[server] += s.load.InFlight[i]
			}
		}
	}
	was := h.reported
	h.reported = reports
	if !reports && !was {
		return nil
	}
	out := &fleetpb.Load{}
	for server, n := range sum {
		out.Servers = append(out.Servers, server)
		out.InFlight = append(out.InFlight, n)
	}
	return out
}

// common fills in what each update tells.
func (h *hub) common(u *fleetpb.FollowUpdate) *fleetpb.FollowUpdate {
	u.Revision, u.InQuorum, u.Routers = h.machine.State().Revision, h.leader != "", uint32(len(h.sessions))
	return u
}

func (h *hub) broadcast(u *fleetpb.FollowUpdate) {
	h.common(u)
	for s := range h.sessions {
		s.push(u)
	}
}

// open adds a session. It is told of the servers once it reports here.
func (h *hub) open(s *session) {
	h.sessions[s] = true
	u := h.common(&fleetpb.FollowUpdate{Members: h.members})
	s.push(u)
	h.log.Info("router follows", "router", s.router, "routers", len(h.sessions), "revision", u.Revision, "its-revision", s.have)
	h.counted = true
	h.soon()
}

func (h *hub) close(s *session) {
	if h.sessions[s] {
		delete(h.sessions, s)
		h.log.Info("router no longer follows", "router", s.router, "routers", len(h.sessions))
		h.counted = true
		h.soon()
	}
}

// groupChanged tells the routers of other members, or of a leader found or lost,
// and a new leader of the servers known here.
func (h *hub) groupChanged(members []string, leader string) {
	if slices.Equal(members, h.members) && leader == h.leader {
		return
	}
	if leader != "" && leader != h.leader {
		if all := h.known(); len(all) > 0 {
			h.spread(leader, all)
		}
	}
	h.members, h.leader = members, leader
	h.broadcast(&fleetpb.FollowUpdate{Members: members})
}
