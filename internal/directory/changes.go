package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// merge adds an announcement to the server table. direct is true if it came from the
// server itself and not from another directory process.
func (h *hub) merge(s inventory.Server, direct bool) inventory.Change {
	change := h.table.Merge(s)
	h.recordChange(s.ID, change, direct)
	return change
}

func (h *hub) leave(id string, born int64) {
	_, change := h.table.Leave(id, born, h.now())
	h.recordChange(id, change, true)
}

func (h *hub) recordChange(id string, change inventory.Change, direct bool) {
	switch change {
	case inventory.Stale:
		return
	case inventory.Refreshed:
		h.refreshed[id] = true
		return
	}
	s := h.table.Get(id)
	h.log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address, "data-centre", s.DataCentre,
		"state", s.State.String(), "born", s.Born, "sequence", s.Sequence, "direct", direct, "cold", max(0, s.ColdUntil.Sub(h.now())).Round(time.Millisecond))
	delete(h.refreshed, id)
	if direct {
		h.directChanges[id] = true
	} else if !h.directChanges[id] {
		h.relayedChanges[id] = true
	}
	if s.State == inventory.Ready {
		h.scheduleBroadcast()
	} else {
		h.broadcastChanges()
	}
}

// broadcastDelay is how long non-urgent changes wait to be batched. When a fleet
// starts, all servers and routers connect at once, and one message for each would
// saturate a slow link for seconds.
const broadcastDelay = 50 * time.Millisecond

func (h *hub) scheduleBroadcast() {
	if h.broadcastTimer == nil {
		h.broadcastTimer, h.broadcastDone = time.After(broadcastDelay), make(chan struct{})
	}
}

// broadcastChanges sends the pending changes. Changes received from servers go to all
// routers and to the other directory processes; joins relayed by other processes go
// only to the routers that report here, and relayed leaves to all routers. So a router
// receives a join twice, and a leave from every process, since some processes may stop
// before all routers have received it.
func (h *hub) broadcastChanges() {
	if direct := h.announcements(h.directChanges); len(direct) > 0 || h.routerCountChanged {
		h.broadcast(&fleetpb.FollowUpdate{Announcements: direct})
		if len(direct) > 0 {
			h.relayAcked = h.relay("", direct)
		}
	}
	joining, leaving := h.relayedAnnouncements()
	for s := range h.sessions {
		if s.load != nil && len(joining) > 0 {
			s.push(h.withStatus(&fleetpb.FollowUpdate{Announcements: joining}))
		}
		if len(leaving) > 0 {
			s.push(h.withStatus(&fleetpb.FollowUpdate{Announcements: leaving}))
		}
	}
	clear(h.directChanges)
	clear(h.relayedChanges)
	h.routerCountChanged = false
	if h.broadcastTimer != nil {
		h.broadcastTimer = nil
		close(h.broadcastDone)
	}
	h.reconcilePlaces()
}

// relayedAnnouncements returns the pending announcements that other processes relayed:
// those of servers that are ready, and those of servers that are not.
func (h *hub) relayedAnnouncements() (joining, leaving []*fleetpb.Announcement) {
	for _, a := range h.announcements(h.relayedChanges) {
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

// allAnnouncements returns an announcement for every known server.
func (h *hub) allAnnouncements() []*fleetpb.Announcement {
	var out []*fleetpb.Announcement
	h.table.All(func(s *inventory.Server) { out = append(out, inventory.Encode(s, h.now())) })
	return out
}
