package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// merge takes an announcement in; first is true if it came from the server itself.
func (h *hub) merge(s inventory.Server, first bool) inventory.Change {
	change := h.table.Merge(s)
	h.took(s.ID, change, first)
	return change
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
		h.due, h.told = time.After(gatherNews), make(chan struct{})
	}
}

// tell passes on what changed: what servers said here to all routers and to the
// other processes, what those passed on to the routers that report here. So each
// router hears of a server that joins twice, and of one that leaves from every
// process: some may stop before all routers have heard them.
func (h *hub) tell() {
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
	if h.due != nil {
		h.due = nil
		close(h.told)
	}
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

// known returns announcements of all servers.
func (h *hub) known() []*fleetpb.Announcement {
	var out []*fleetpb.Announcement
	h.table.All(func(s *inventory.Server) { out = append(out, inventory.Encode(s, h.now())) })
	return out
}
