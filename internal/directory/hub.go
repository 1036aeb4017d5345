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
	"github.com/kumquathollow/kumquathollow/internal/rollout"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// inboxSize limits the functions queued for the hub's goroutine.
	inboxSize = 1024
	// minFlushInterval and maxFlushInterval limit how often routers are sent the load of
	// all routers and the servers that are still alive. Placement errs by what other
	// routers start between two flushes, so small fleets flush more often.
	minFlushInterval = 50 * time.Millisecond
	maxFlushInterval = 300 * time.Millisecond
	// standbyInterval is how often a router that reports elsewhere is sent something at
	// least.
	standbyInterval = 500 * time.Millisecond
	// flushTimePerRouter is the flush interval for each router that reports here. It
	// limits the messages of a process on a small VM.
	flushTimePerRouter = 8 * time.Millisecond
	// expireInterval is how often servers that have been silent too long are expired.
	expireInterval = 5 * time.Second
	// loadBytesPerSecond limits the bandwidth of load updates to routers to a fifth of
	// the 6 Mbit/s link of a small VM. If the load needs more, it is sent less often, but
	// at least every maxLoadInterval, which is half the time after which routers consider
	// it stale.
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
	// ownAddress and dataCentre are the address and data centre of this process.
	ownAddress, dataCentre string
	// peers are the other directory processes of the group, by address. startPeer
	// starts the goroutine that keeps a new one up to date.
	peers     map[string]*peer
	startPeer func(*peer)
	// peerReports is what each directory process last reported of its routers, by its
	// address.
	peerReports map[string]*peerReport
	// relayed counts the processes that have the last change that a server announced here.
	relayed *ackCounter

	machine *publication.Machine
	// propose replicates a command and calls done on the hub's goroutine.
	propose func(cmd *fleetpb.Command, done func(error))
	// submit is like propose, but forwards the command if another process leads.
	submit func(cmd *fleetpb.Command, done func(error))
	table  *inventory.Table
	// refreshed holds the ids of servers that were announced unchanged. directChanges
	// and relayedChanges hold those that changed, as announced by the servers themselves
	// and as relayed by other processes.
	refreshed, directChanges, relayedChanges map[string]bool
	// leavingRecorded is set while one of the changes is of a server that leaves.
	leavingRecorded bool
	// idByHash maps the low 32 bits of the hash of a server's id to the id.
	idByHash map[uint32]string
	sessions map[*session]bool
	// reporting is the number of sessions in which a router reports its load.
	reporting int
	// opened and closed count the sessions since the last flush, for the log.
	opened, closed int
	// stepsSizes holds the sizes of the commands that lead to revision stepsSizesOf, by
	// the revision before them.
	stepsSizes   map[uint64]int
	stepsSizesOf uint64
	// bulkBytes is how many bytes of server lists, full states and large changes may be
	// sent, as of bulkBytesAt.
	bulkBytes   float64
	bulkBytesAt time.Time
	// nextLoadAt is when the load is next sent to the routers.
	nextLoadAt time.Time
	// broadcastTimer fires when the batched changes are due; nil if there are none.
	// broadcastDone is closed once they have been sent.
	broadcastTimer <-chan time.Time
	broadcastDone  chan struct{}
	// broadcastRevision is the latest revision announced to the routers.
	broadcastRevision uint64
	// evacuated are the data centres that were evacuated at that revision, for the log.
	evacuated []string
	// members are the addresses of the directory processes, and memberDataCentres their
	// data centres as last sent to the routers.
	members, memberDataCentres []string
	// leader is the address of the leader, or "" if none is known.
	leader     string
	places     placeUpdater
	quarantine quarantineKeeper
	origins    originKeeper
	handoffs   handoffKeeper
	rollouts   rolloutKeeper
	departures departureKeeper
	versions   versionKeeper
	served     servedServices
	// knowsAllServers is set once the process has been in quorum for learnTime: by then the other
	// processes have sent what they know, servers that have left included.
	knowsAllServers bool
	quorumSince     time.Time
	// newestConfirmed is the newest revision as of the last round that confirmed one.
	newestConfirmed uint64
	// loadReported is true if a router reported its load here as of the last flush.
	loadReported bool
}

func newHub(log hclog.Logger, machine *publication.Machine, ownAddress, dataCentre string, startPeer func(*peer)) *hub {
	return &hub{
		log: log, inbox: make(chan func(), inboxSize), now: time.Now, machine: machine, ownAddress: ownAddress, dataCentre: dataCentre,
		peers: map[string]*peer{}, startPeer: startPeer, peerReports: map[string]*peerReport{}, relayed: newAckCounter(0),
		table: inventory.New(), refreshed: map[string]bool{}, directChanges: map[string]bool{}, relayedChanges: map[string]bool{},
		idByHash: map[uint32]string{}, sessions: map[*session]bool{}, quarantine: newQuarantineKeeper(), origins: newOriginKeeper(), rollouts: newRolloutKeeper(rollout.DefaultBounds), versions: newVersionKeeper(),
	}
}

func (h *hub) run(ctx context.Context) error {
	h.mergeDepartures()
	h.updateServedVersions()
	flush := time.NewTimer(minFlushInterval)
	defer flush.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, p := range h.peers {
				p.stop()
			}
			return nil
		case f := <-h.inbox:
			f()
		case <-h.broadcastTimer:
			h.broadcastChanges()
		case <-flush.C:
			h.flush()
			flush.Reset(h.flushInterval())
		case <-expire.C:
			h.expireServers()
			h.forgetDepartures()
			h.forgetServedVersions()
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

// expireServers removes the servers that have been silent too long.
func (h *hub) expireServers() {
	if !h.table.Expire(h.now()) {
		return
	}
	for hash, id := range h.idByHash {
		if h.table.Get(id) == nil {
			delete(h.idByHash, hash)
		}
	}
}

// flushInterval is also how often the routers that report here are to report. Without a
// leader it is the longest, which leaves the VM to the election.
func (h *hub) flushInterval() time.Duration {
	if h.leader == "" {
		return maxFlushInterval
	}
	return min(maxFlushInterval, max(minFlushInterval, time.Duration(h.reporting)*flushTimePerRouter))
}

// flush sends every router the confirmation that it is owed and, if it reports here, the
// servers that were announced unchanged since the last flush and the load of all
// routers. Every router is sent something within standbyInterval, since one that
// receives nothing for longer closes its session.
func (h *hub) flush() {
	h.catchUpRouters()
	h.reconcilePlaces()
	h.reconcileQuarantines()
	h.reconcileRollouts()
	h.proposeServedVersions()
	h.expireLookups()
	h.updateKnowsAllServers()
	h.sendMembers()
	h.sendLists()
	h.updateHandoffs()
	var load *fleetpb.Load
	if now := h.now(); !now.Before(h.nextLoadAt) {
		load = h.totalLoad()
		h.nextLoadAt = now.Add(min(maxLoadInterval, time.Duration(h.reporting*proto.Size(load))*time.Second/loadBytesPerSecond))
	}
	var heard []uint32
	for id := range h.refreshed {
		heard = append(heard, uint32(routing.Hash(id)))
	}
	clear(h.refreshed)
	suspects := h.suspects()
	syncs := h.takeSyncs(func(*session) bool { return true })
	now, interval := h.now(), h.flushInterval()
	for s := range h.sessions {
		if s.load == nil && s.pong == nil && now.Sub(s.flushedAt) < standbyInterval-interval/2 {
			continue
		}
		u := s.takePong()
		u.Handoffs = h.handoffsFor(s)
		if s.load != nil {
			u.Heard, u.Load, u.ReportMs = heard, load, uint32(interval.Milliseconds())
			u.Suspects = suspects
			u.Synced = syncs[s]
		}
		s.flushedAt = now
		s.push(h.withStatus(u))
	}
	if h.opened > 0 || h.closed > 0 {
		h.log.Info("routers changed", "opened", h.opened, "closed", h.closed, "sessions", len(h.sessions), "reporting", h.reporting, "fleet", h.routers(), "revision", h.machine.State().Revision)
		h.opened, h.closed = 0, 0
	}
}

// routers returns the number of routers of the fleet, as far as it is known here.
func (h *hub) routers() int {
	n := h.reporting
	for _, r := range h.peerReports {
		if h.now().Sub(r.receivedAt) < routerCountTTL {
			n += r.routers
		}
	}
	return n
}

// ownLoad sums the load of the routers that report here, by server.
func (h *hub) ownLoad() map[uint32]int {
	sum := map[uint32]int{}
	for s := range h.sessions {
		inventory.AddLoad(sum, s.load)
	}
	return sum
}

// sumLoads sums the loads of all routers, by server, and reports whether any router is known to
// report.
func (h *hub) sumLoads() (sum map[uint32]int, hasReports bool) {
	sum, hasReports = h.ownLoad(), h.reporting > 0
	for _, r := range h.peerReports {
		if h.now().Sub(r.receivedAt) < peerLoadTTL {
			inventory.AddLoad(sum, r.load)
			hasReports = hasReports || r.routers > 0
		}
	}
	return sum, hasReports
}

// totalLoad returns the loads of all routers as they are sent to them. It is nil if no router is
// known to report and none was at the last flush.
func (h *hub) totalLoad() *fleetpb.Load {
	sum, hasReports := h.sumLoads()
	hadReports := h.loadReported
	h.loadReported = hasReports
	if !hasReports && !hadReports {
		return nil
	}
	return inventory.EncodeLoad(sum)
}

// withStatus sets the fields that every update carries, and returns u.
func (h *hub) withStatus(u *fleetpb.FollowUpdate) *fleetpb.FollowUpdate {
	u.InQuorum, u.Routers = h.leader != "", uint32(max(1, h.routers()))
	if u.Revision == 0 {
		u.Revision = h.machine.State().Revision
	}
	return u
}

func (h *hub) broadcast(u *fleetpb.FollowUpdate) {
	h.withStatus(u)
	for s := range h.sessions {
		s.push(u)
	}
}

// openSession adds a session. The router is sent the servers that leave at once, since it may have
// been without a session when they did, and all servers once it reports here.
func (h *hub) openSession(s *session) {
	h.sessions[s] = true
	h.opened++
	s.push(h.withStatus(h.membersUpdate()))
	// An election needs the link, and may take so long that the router would go on with these servers.
	if h.leader != "" || h.hasBulkBandwidth() {
		h.pushDepartures(s, h.departuresUpdate)
	}
}

func (h *hub) closeSession(s *session) {
	if h.sessions[s] {
		reported := s.load != nil
		h.setLoad(s, nil)
		h.handoffs.set(s, "")
		delete(h.sessions, s)
		h.closed++
		if s.overflowed {
			h.log.Warn("session of a router ended: its queue is full", "router", s.router, "updates", sessionQueueSize, "reported", reported)
		}
	}
}

// setLoad records what a router reported; nil if it now reports to another process.
func (h *hub) setLoad(s *session, load *fleetpb.Load) {
	if s.load != nil {
		h.reporting--
	}
	if load != nil {
		h.reporting++
	}
	s.load = load
}

// groupChanged sends the routers the new members, or that a leader was found or lost.
// A new leader is sent all servers known here.
func (h *hub) groupChanged(members []string, leader string) {
	if slices.Equal(members, h.members) && leader == h.leader {
		return
	}
	isNewLeader := leader != "" && leader != h.leader
	h.members, h.leader = members, leader
	h.reconcilePeers()
	if p := h.peers[leader]; p != nil && isNewLeader {
		h.addAllServers(p)
	}
	h.memberDataCentres = h.dataCentresOf(members)
	h.broadcast(h.membersUpdate())
}

func (h *hub) membersUpdate() *fleetpb.FollowUpdate {
	return &fleetpb.FollowUpdate{Members: h.members, MemberDataCentres: h.memberDataCentres}
}

// sendMembers sends the routers the members again once more of their data centres are
// known.
func (h *hub) sendMembers() {
	if dcs := h.dataCentresOf(h.members); !slices.Equal(dcs, h.memberDataCentres) {
		h.memberDataCentres = dcs
		h.broadcast(h.membersUpdate())
	}
}

// dataCentresOf returns the data centres of members, with "" for those that are not
// known.
func (h *hub) dataCentresOf(members []string) []string {
	out := make([]string, len(members))
	for i, a := range members {
		if a == h.ownAddress {
			out[i] = h.dataCentre
		} else if r := h.peerReports[a]; r != nil {
			out[i] = r.dataCentre
		}
	}
	return out
}
