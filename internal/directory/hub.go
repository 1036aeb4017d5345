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
	// inboxSize limits the functions queued for the hub's goroutine.
	inboxSize = 1024
	// refreshInterval is how often routers are sent the servers that are still alive. It
	// is well below the time after which routers consider a silent server down.
	refreshInterval = 300 * time.Millisecond
	// expireInterval is how often servers that have been silent too long are expired.
	expireInterval = 5 * time.Second
	// loadBytesPerSecond limits the bandwidth of load updates to a fifth of the 6 Mbit/s
	// link of a small VM. If the load needs more, it is sent less often, but at least
	// every maxLoadInterval, which is half the time after which routers consider it
	// stale.
	loadBytesPerSecond = 150_000
	maxLoadInterval    = time.Second
	// sessionQueueSize limits the updates queued for one router. A router that does not
	// drain its queue is disconnected and opens a new session.
	sessionQueueSize = 64
)

// hub owns the server table and the routers' sessions. All access runs on one
// goroutine.
type hub struct {
	log   hclog.Logger
	inbox chan func()
	now   func() time.Time
	// relay sends announcements to the directory process at the address, or to all
	// others if the address is empty. The returned channel is closed once a majority of
	// the processes, including this one, has them, or all calls have finished.
	relay func(to string, announcements []*fleetpb.Announcement) <-chan struct{}
	// relayAcked is the channel returned by the last relay to all other processes.
	relayAcked <-chan struct{}

	machine *publication.Machine
	table   *inventory.Table
	// refreshed holds the ids of servers that were announced unchanged. directChanges
	// and relayedChanges hold those that changed, as announced by the servers themselves
	// and as relayed by other processes.
	refreshed, directChanges, relayedChanges map[string]bool
	sessions                                 map[*session]bool
	// routerCountChanged is true if the number of routers changed since the last
	// broadcast.
	routerCountChanged bool
	// nextLoadAt is when the load is next sent to the routers.
	nextLoadAt time.Time
	// broadcastTimer fires when the batched changes are due; nil if there are none.
	// broadcastDone is closed once they have been sent.
	broadcastTimer <-chan time.Time
	broadcastDone  chan struct{}
	// broadcastRevision is the latest revision announced to the routers.
	broadcastRevision uint64
	members           []string
	// leader is the address of the leader, or "" if none is known.
	leader string
	places placeUpdater
	// loadReported is true if a router reported its load here as of the last flush.
	loadReported bool
}

func newHub(log hclog.Logger, machine *publication.Machine, relay func(string, []*fleetpb.Announcement) <-chan struct{}) *hub {
	return &hub{
		log: log, inbox: make(chan func(), inboxSize), now: time.Now, machine: machine, relay: relay,
		table: inventory.New(), refreshed: map[string]bool{}, directChanges: map[string]bool{}, relayedChanges: map[string]bool{}, sessions: map[*session]bool{},
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
		case <-h.broadcastTimer:
			h.broadcastChanges()
		case <-refresh.C:
			h.flush()
		case <-expire.C:
			h.table.Expire(h.now())
		}
	}
}

// do runs f on the hub's goroutine and waits for it to return.
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

// post queues f for the hub's goroutine without waiting for it to run.
func (h *hub) post(ctx context.Context, f func()) {
	select {
	case h.inbox <- f:
	case <-ctx.Done():
	}
}

// flush sends all routers the servers that were announced unchanged since the last
// flush, and the load of the routers that report here.
func (h *hub) flush() {
	h.catchUpRouters()
	h.reconcilePlaces()
	u := &fleetpb.FollowUpdate{}
	if now := h.now(); !now.Before(h.nextLoadAt) {
		u.Load = h.totalLoad()
		h.nextLoadAt = now.Add(min(maxLoadInterval, time.Duration(len(h.sessions)*proto.Size(u.Load))*time.Second/loadBytesPerSecond))
	}
	if len(h.refreshed) == 0 && u.Load == nil {
		return
	}
	for id := range h.refreshed {
		u.Heard = append(u.Heard, uint32(routing.Hash(id)))
	}
	clear(h.refreshed)
	h.broadcast(u)
}

// totalLoad sums the sessions' load reports. It is nil if no router reports here and
// none did at the last flush.
func (h *hub) totalLoad() *fleetpb.Load {
	sum := map[uint32]uint32{}
	hasReports := false
	for s := range h.sessions {
		hasReports = hasReports || s.load != nil
		for i, server := range s.load.GetServers() {
			if i < len(s.load.InFlight) {
				sum[server] += s.load.InFlight[i]
			}
		}
	}
	hadReports := h.loadReported
	h.loadReported = hasReports
	if !hasReports && !hadReports {
		return nil
	}
	out := &fleetpb.Load{}
	for server, n := range sum {
		out.Servers = append(out.Servers, server)
		out.InFlight = append(out.InFlight, n)
	}
	return out
}

// withStatus sets the fields that every update carries, and returns u.
func (h *hub) withStatus(u *fleetpb.FollowUpdate) *fleetpb.FollowUpdate {
	u.Revision, u.InQuorum, u.Routers = h.machine.State().Revision, h.leader != "", uint32(len(h.sessions))
	return u
}

func (h *hub) broadcast(u *fleetpb.FollowUpdate) {
	h.withStatus(u)
	for s := range h.sessions {
		s.push(u)
	}
}

// openSession adds a session. The router is sent the servers once it reports here.
func (h *hub) openSession(s *session) {
	h.sessions[s] = true
	u := h.withStatus(&fleetpb.FollowUpdate{Members: h.members})
	s.push(u)
	h.log.Info("router follows", "router", s.router, "routers", len(h.sessions), "revision", u.Revision, "its-revision", s.revision)
	h.routerCountChanged = true
	h.scheduleBroadcast()
}

func (h *hub) closeSession(s *session) {
	if h.sessions[s] {
		delete(h.sessions, s)
		h.log.Info("router no longer follows", "router", s.router, "routers", len(h.sessions))
		h.routerCountChanged = true
		h.scheduleBroadcast()
	}
}

// groupChanged sends the routers the new members, or that a leader was found or lost.
// It relays all servers known here to a new leader.
func (h *hub) groupChanged(members []string, leader string) {
	if slices.Equal(members, h.members) && leader == h.leader {
		return
	}
	if leader != "" && leader != h.leader {
		if announcements := h.allAnnouncements(); len(announcements) > 0 {
			h.relay(leader, announcements)
		}
	}
	h.members, h.leader = members, leader
	h.broadcast(&fleetpb.FollowUpdate{Members: members})
}
