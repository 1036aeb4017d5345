package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
	"github.com/kumquathollow/kumquathollow/internal/routing"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

const (
	// timePerPeer is the interval, for each other process, at which the others are sent
	// heartbeats and loads, at least the flush interval and at most maxFlushInterval. It
	// limits the messages of a process on a small VM. Changes of servers are sent at once.
	timePerPeer = 25 * time.Millisecond
	// peerLoadTTL is how long the load that a silent process reported still counts. The
	// routers of a stopped process report to another one by then.
	peerLoadTTL = time.Second
	// routerCountTTL is how long the routers of a silent process still count. It exceeds
	// peerLoadTTL, since a count that is too high only lowers each router's share of
	// what routers may do together.
	routerCountTTL = 3 * time.Second
	// maxServersPerCall and maxOriginsPerCall limit what a peer is sent with one call, to about
	// 10 KB. All processes call one that has started at the same time: what does not fit its
	// link within peerCallTimeout is sent again and again.
	maxServersPerCall = 64
	maxOriginsPerCall = 512
)

// peer is another directory process and what it has yet to be sent. All access runs on
// the hub's goroutine.
type peer struct {
	address string
	// pending holds the ids of servers whose announcements the peer has not
	// acknowledged, heard those that were announced unchanged since the last call.
	pending, heard map[string]bool
	// crashes and survived are what routers have reported of ended servers and the peer has
	// not acknowledged.
	crashes  []quarantine.Crash
	survived map[quarantine.Subject]bool
	// origins are those of streams that routers have reported and the peer has not
	// acknowledged.
	origins []streamorigin.Record
	// tallies are those of rollouts that routers have reported and the peer has not
	// acknowledged.
	tallies map[tallyKey]*fleetpb.RolloutTally
	// toCompare are the servers that the peer is still to be sent in this round of comparisons,
	// and comparedAt is when it was last sent some.
	toCompare  []string
	comparedAt time.Time
	// acks are the counters of changes that are not yet sent to the peer.
	acks []*ackCounter
	// handoffsAcked is the version of the handoffs that the peer has acknowledged.
	handoffsAcked uint64
	// process is the run of the peer's process that acknowledged last.
	process string
	// wake makes the peer's goroutine call at once.
	wake chan struct{}
	stop context.CancelFunc
}

// peerReport is what another directory process reported of the routers that report to
// it.
type peerReport struct {
	dataCentre string
	load       *fleetpb.Load
	routers    int
	// handoffs are the routers that follow the process and take over requests of others.
	handoffs []string
	// features are those of the process and its routers.
	features features
	// previousAt is when the report before this one was received.
	receivedAt, previousAt time.Time
}

func newPeer(address string) *peer {
	return &peer{address: address, pending: map[string]bool{}, heard: map[string]bool{}, survived: map[quarantine.Subject]bool{}, tallies: map[tallyKey]*fleetpb.RolloutTally{}, wake: make(chan struct{}, 1), stop: func() {}}
}

// reconcilePeers starts and stops peers after a change of the members.
func (h *hub) reconcilePeers() {
	members := map[string]bool{}
	for _, a := range h.members {
		members[a] = true
		if a != h.ownAddress && h.peers[a] == nil {
			p := newPeer(a)
			p.comparedAt = h.now()
			h.peers[a] = p
			h.addAllServers(p)
			p.addOrigins(h.origins.table.Recent(h.now()))
			p.addTalliesBack(h.rollouts.collector.All())
			h.startPeer(p)
		}
	}
	for a, p := range h.peers {
		if members[a] {
			continue
		}
		p.stop()
		for _, c := range p.acks {
			c.record(false)
		}
		delete(h.peers, a)
	}
	// What a process that left reported is kept while it still counts.
	for a, r := range h.peerReports {
		if !members[a] && h.now().Sub(r.receivedAt) >= routerCountTTL {
			delete(h.peerReports, a)
		}
	}
}

func (h *hub) addAllServers(p *peer) {
	h.table.All(func(s *inventory.Server) { p.pending[s.ID] = true })
}

const (
	// compareInterval is how often a peer is sent the full announcements of serversCompared
	// servers, whether or not they changed: about 2 KB.
	compareInterval = 2 * time.Second
	serversCompared = 16
)

// compare returns the announcements that the peer is sent so that tables that differ become equal.
// A server that announces itself unchanged is relayed by its id alone, which keeps alive whatever
// the peer has under that id.
func (h *hub) compare(p *peer) []*fleetpb.Announcement {
	if h.now().Sub(p.comparedAt) < compareInterval {
		return nil
	}
	p.comparedAt = h.now()
	if len(p.toCompare) == 0 {
		h.table.All(func(s *inventory.Server) { p.toCompare = append(p.toCompare, s.ID) })
	}
	ids, n := map[string]bool{}, min(serversCompared, len(p.toCompare))
	for _, id := range p.toCompare[:n] {
		ids[id] = true
	}
	p.toCompare = p.toCompare[n:]
	return h.announcements(ids)
}

// relay marks servers to be sent to all peers at once, and returns the counter of the
// processes that have them.
func (h *hub) relay(ids map[string]bool) *ackCounter {
	acks := newAckCounter(len(h.peers))
	for _, p := range h.peers {
		for id := range ids {
			p.pending[id] = true
			delete(p.heard, id)
		}
		p.acks = append(p.acks, acks)
		signal(p.wake)
	}
	return acks
}

// spreadCall is one call to a peer.
type spreadCall struct {
	req      *fleetpb.SpreadRequest
	ids      map[string]bool
	acks     []*ackCounter
	crashes  []quarantine.Crash
	survived map[quarantine.Subject]bool
	origins  []streamorigin.Record
	// more is set if the peer has to be sent more than fits the call.
	more bool
	// handoffsVersion is that of the handoffs in the request.
	handoffsVersion uint64
}

// takeCall returns what the peer is to be sent now.
func (h *hub) takeCall(p *peer) *spreadCall {
	call := &spreadCall{ids: h.takeServers(p), crashes: p.crashes, survived: p.survived, origins: p.takeOrigins()}
	if len(p.pending) == 0 {
		call.acks, p.acks = p.acks, nil
	}
	call.more = len(p.pending) > 0 || len(p.origins) > 0
	survived, survivedRequests := quarantine.EncodeSubjects(slices.SortedFunc(maps.Keys(p.survived), quarantine.Subject.Compare))
	call.req = &fleetpb.SpreadRequest{
		Announcements: append(h.announcements(call.ids), h.compare(p)...), From: h.ownAddress, DataCentre: h.dataCentre,
		Load: inventory.EncodeLoad(h.ownLoad()), Routers: uint32(h.reporting),
		Crashes: quarantine.EncodeCrashes(p.crashes, h.now()), Survived: survived, SurvivedRequests: survivedRequests, Origins: streamorigin.Encode(call.origins),
	}
	call.handoffsVersion = h.handoffs.version
	if p.handoffsAcked != call.handoffsVersion {
		call.req.Handoffs = &fleetpb.Handoffs{Addresses: h.ownHandoffs(maxSpreadHandoffs)}
	}
	call.req.FollowsRollouts = h.routerWithout(func(f features) bool { return f.rollouts }) == ""
	call.req.AppliesVersionZero = h.routerWithout(func(f features) bool { return f.versionZero }) == ""
	for _, t := range p.tallies {
		call.req.Rollouts = append(call.req.Rollouts, t)
	}
	for id := range p.heard {
		call.req.Heard = append(call.req.Heard, uint32(routing.Hash(id)))
	}
	p.heard = map[string]bool{}
	p.tallies = map[tallyKey]*fleetpb.RolloutTally{}
	p.crashes, p.survived = nil, map[quarantine.Subject]bool{}
	return call
}

// takeServers removes the servers to be sent with the next call from those that are pending: all
// that leave, and as many others as fit it.
func (h *hub) takeServers(p *peer) map[string]bool {
	ids, others := map[string]bool{}, 0
	for id := range p.pending {
		if h.isReady(id) {
			if others == maxServersPerCall {
				continue
			}
			others++
		}
		ids[id] = true
		delete(p.pending, id)
	}
	return ids
}

// takeOrigins removes the origins to be sent with the next call, the oldest ones: of several of a
// stream, the last one counts.
func (p *peer) takeOrigins() []streamorigin.Record {
	n := min(maxOriginsPerCall, len(p.origins))
	taken := p.origins[:n:n]
	p.origins = p.origins[n:]
	return taken
}

// finishCall processes the outcome of a call. What the peer did not acknowledge is sent
// again with the next one; a peer that has started again is sent all servers.
func (h *hub) finishCall(p *peer, call *spreadCall, resp *fleetpb.SpreadResponse, err error) {
	if err != nil {
		h.log.Debug("relaying announcements failed", "address", p.address, "announcements", len(call.ids), "error", err)
		for id := range call.ids {
			p.pending[id] = true
		}
		p.crashes = append(call.crashes, p.crashes...)
		maps.Copy(p.survived, call.survived)
		later := p.origins
		p.origins = nil
		p.addOrigins(call.origins)
		p.addOrigins(later)
		p.addTalliesBack(call.req.Rollouts)
		return
	}
	restarted := p.process != "" && resp.Process != p.process
	p.handoffsAcked = call.handoffsVersion
	if restarted {
		p.handoffsAcked = 0
	}
	if resp.List || restarted {
		h.addAllServers(p)
	}
	if restarted {
		p.addTalliesBack(h.rollouts.collector.All())
		p.addOrigins(h.origins.table.Recent(h.now()))
	}
	p.process = resp.Process
	if call.more {
		signal(p.wake)
	}
}

// receiveSpread merges what another directory process sent, and reports whether it
// names a server that is not known here.
func (h *hub) receiveSpread(req *fleetpb.SpreadRequest) (list bool) {
	now := h.now()
	for _, a := range req.Announcements {
		h.mergeOne(inventory.Decode(a, now), false)
	}
	h.broadcastLeaving()
	for _, hash := range req.Heard {
		id, known := h.idByHash[hash]
		if !known {
			list = true
			continue
		}
		h.table.RefreshHeartbeat(id, now)
		h.refreshed[id] = true
	}
	h.recordQuarantineReports(req.Crashes, quarantine.DecodeSubjects(req.Survived, req.SurvivedRequests), false)
	h.recordOrigins(req.Origins, false)
	h.recordTallies(req.Rollouts, false)
	if req.From != "" {
		report := &peerReport{dataCentre: req.DataCentre, load: req.Load, routers: int(req.Routers), features: features{rollouts: req.FollowsRollouts, versionZero: req.AppliesVersionZero}, receivedAt: now}
		if previous := h.peerReports[req.From]; previous != nil {
			report.handoffs, report.previousAt = previous.handoffs, previous.receivedAt
		}
		if req.Handoffs != nil {
			report.handoffs = req.Handoffs.Addresses
		}
		h.peerReports[req.From] = report
		h.confirmLookups()
		h.answerUrgentSyncs()
	}
	return list
}

func (h *hub) peerInterval() time.Duration {
	return min(maxFlushInterval, max(h.flushInterval(), time.Duration(len(h.peers))*timePerPeer))
}

// updatePeer keeps one peer up to date until ctx ends.
func (s *server) updatePeer(ctx context.Context, p *peer) {
	due := time.NewTimer(minFlushInterval)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-due.C:
		}
		var call *spreadCall
		var interval time.Duration
		if s.hub.do(ctx, func() { call, interval = s.hub.takeCall(p), s.hub.peerInterval() }) != nil {
			return
		}
		due.Reset(interval)
		resp, err := s.callPeer(ctx, p.address, call.req)
		for _, c := range call.acks {
			c.record(err == nil)
		}
		s.hub.post(ctx, func() { s.hub.finishCall(p, call, resp, err) })
	}
}

func (s *server) callPeer(ctx context.Context, address string, req *fleetpb.SpreadRequest) (*fleetpb.SpreadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	return fleetpb.NewDRPCDirectoryClient(conn).Spread(ctx, req)
}
