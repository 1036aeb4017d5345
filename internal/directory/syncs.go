package directory

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// A router asks with a sync whether it knows which versions of servers run. Unlike the word that all servers
// are known, which streams of unknown origin wait for, the answer does not depend on processes that are silent: a
// fleet that has lost one goes on continuing streams. See docs/design/stream-origins.md.

// syncRequest is a sync that a router has sent.
type syncRequest struct {
	sync       uint64
	receivedAt time.Time
	// urgent is set if a request waits: the answer does not wait for the next flush.
	urgent bool
}

// maxSyncs limits the syncs of a router that wait: with one every 300 ms, those of over two seconds.
const maxSyncs = 8

// addSync records a sync that the router has sent. Beyond the limit the older ones go on waiting.
func (s *session) addSync(req *fleetpb.FollowRequest, now time.Time) {
	if req.Sync != 0 && len(s.syncs) < maxSyncs {
		// With a ping it may be the regular one.
		s.syncs = append(s.syncs, syncRequest{req.Sync, now, req.Ping == 0})
	}
}

// answerUrgentSyncs answers the routers at which a request waits.
func (h *hub) answerUrgentSyncs() {
	isUrgent := func(r syncRequest) bool { return r.urgent }
	answers := h.takeSyncs(func(s *session) bool { return slices.ContainsFunc(s.syncs, isUrgent) })
	for s, sync := range answers {
		s.push(h.withStatus(&fleetpb.FollowUpdate{Synced: sync}))
	}
}

// takeSyncs returns the latest sync of each of the chosen routers that can be answered now. The changes of servers
// that it stands for are sent before.
func (h *hub) takeSyncs(choose func(*session) bool) map[*session]uint64 {
	answers := map[*session]uint64{}
	var until time.Time
	for s := range h.sessions {
		if len(s.syncs) == 0 || !s.hasAllServers() || !choose(s) {
			continue
		}
		if until.IsZero() {
			if until = h.serversRelayedUntil(h.heardMembers()); until.IsZero() {
				return nil
			}
		}
		for len(s.syncs) > 0 && until.After(s.syncs[0].receivedAt) {
			answers[s] = s.syncs[0].sync
			s.syncs = s.syncs[1:]
		}
	}
	if len(answers) > 0 {
		h.sendPendingChanges()
	}
	return answers
}

// heardMembers returns the directory processes that are not silent.
func (h *hub) heardMembers() (heard []string) {
	for _, a := range h.members {
		if r := h.peerReports[a]; r != nil && h.now().Sub(r.receivedAt) < peerLoadTTL {
			heard = append(heard, a)
		}
	}
	return heard
}
