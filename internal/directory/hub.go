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
	// due fires when what is gathered is to be told; nil if nothing is.
	due <-chan time.Time
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

// merge takes an announcement in; first is true if it came from the server itself.
func (h *hub) merge(s inventory.Server, first bool) {
	change := h.table.Merge(s)
	h.took(s.ID, change, first)
}

func (h *hub) leave(id string, born int64) {
	_, change := h.table.Leave(id, born, h.now())
	h.took(id, change, true)
}

func (h *hub) took(id string, change inventory.Change, first bool) {
	switch change {
	case inventory.Stale:
		return
	case inventory.Refreshed:
		h.dirty[id] = true
		return
	}
	s := h.table.Get(id)
	h.log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address, "data-centre", s.DataCentre,
		"state", s.State.String(), "born", s.Born, "sequence", s.Sequence, "direct", first, "cold", max(0, s.ColdUntil.Sub(h.now())).Round(time.Millisecond))
	delete(h.dirty, id)
	if first {
		h.news[id] = true
	} else if !h.news[id] {
		h.relayed[id] = true
	}
	if s.State == inventory.Ready {
		h.soon()
	} else {
		h.tell()
	}
}

// gatherNews is how long news that is not urgent waits for more. When a fleet
// starts, all servers and routers come at once, and a message for each would fill
// a slow link for seconds.
const gatherNews = 50 * time.Millisecond

func (h *hub) soon() {
	if h.due == nil {
		h.due = time.After(gatherNews)
	}
}

// tell passes on what changed: what servers said here to all routers and to the
// other processes, what those passed on to the routers that report here. So each
// router hears of a server that joins twice, and of one that leaves from every
// process: some may stop before all routers have heard them.
func (h *hub) tell() {
	h.due = nil
	if direct := h.announcements(h.news); len(direct) > 0 || h.counted {
		h.broadcast(&fleetpb.FollowUpdate{Announcements: direct})
		if len(direct) > 0 {
			h.passed = h.spread("", direct)
		}
	}
	joining, leaving := h.relayedNews()
	for s := range h.sessions {
		if s.load != nil && len(joining) > 0 {
			s.push(h.common(&fleetpb.FollowUpdate{Announcements: joining}))
		}
		if len(leaving) > 0 {
			s.push(h.common(&fleetpb.FollowUpdate{Announcements: leaving}))
		}
	}
	clear(h.news)
	clear(h.relayed)
	h.counted = false
	h.keepPlaces()
}

// relayedNews returns what other processes passed on of servers that are ready,
// and of others.
func (h *hub) relayedNews() (joining, leaving []*fleetpb.Announcement) {
	for _, a := range h.announcements(h.relayed) {
		if a.State == fleetpb.ServerState_READY {
			joining = append(joining, a)
		} else {
			leaving = append(leaving, a)
		}
	}
	return joining, leaving
}

func (h *hub) announcements(ids map[string]bool) []*fleetpb.Announcement {
	var out []*fleetpb.Announcement
	for id := range ids {
		if s := h.table.Get(id); s != nil {
			out = append(out, inventory.Encode(s, h.now()))
		}
	}
	return out
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

// stateChanged tells the routers of a new revision, and sends it to those that
// report here.
func (h *hub) stateChanged() {
	newest := h.machine.State().Revision
	if newest == h.revision {
		return
	}
	h.revision = newest
	for s := range h.sessions {
		s.behind = s.behind || s.load != nil
	}
	h.bringUp()
	h.broadcast(&fleetpb.FollowUpdate{})
}

// asked takes in what a router says of itself.
func (h *hub) asked(s *session, req *fleetpb.FollowRequest) {
	// A router that reports to another process now sends no load.
	s.load = req.Load
	if req.List || s.load != nil && !s.listed {
		s.push(h.common(&fleetpb.FollowUpdate{Announcements: h.known()}))
	}
	s.listed = s.load != nil
	if req.Fetch {
		s.have, s.behind = req.Have, true
	}
	s.have = max(s.have, req.Have)
	s.behind = s.behind || req.Load != nil && s.have < h.machine.State().Revision
	if req.Have >= s.whole {
		s.whole = 0
	}
	h.bringUp()
}

const (
	// maxWhole bounds the whole states on their way at once: more would hold up the
	// replication's heartbeats on a slow link for longer than voters wait.
	maxWhole = 2
	// wholeTimeout is how long one may take before it counts as lost.
	wholeTimeout = time.Second
)

// bringUp sends routers that are behind what they lack: the steps since what they
// hold, or the whole state.
func (h *hub) bringUp() {
	newest, whole := h.machine.State().Revision, 0
	for s := range h.sessions {
		if s.whole != 0 && h.now().Sub(s.wholeSent) < wholeTimeout {
			whole++
		}
	}
	for s := range h.sessions {
		if !s.behind {
			continue
		}
		if s.have >= newest {
			s.behind = false
			continue
		}
		u := &fleetpb.FollowUpdate{Revision: newest}
		steps, ok := h.machine.Steps(s.have)
		switch {
		case ok:
			u.Steps, u.StepsFrom, u.Revision = steps, s.have, s.have+uint64(len(steps))
		case whole >= maxWhole:
			continue
		default:
			state, err := h.machine.Encoded()
			if err != nil {
				h.log.Error("state cannot be sent", "router", s.router, "revision", newest, "error", err)
				return
			}
			u.State, u.Revision = state, state.Revision
			s.whole, s.wholeSent = state.Revision, h.now()
			whole++
		}
		s.have, s.behind = u.Revision, false
		s.push(u)
	}
}

// known returns announcements of all servers.
func (h *hub) known() []*fleetpb.Announcement {
	var out []*fleetpb.Announcement
	h.table.All(func(s *inventory.Server) { out = append(out, inventory.Encode(s, h.now())) })
	return out
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
