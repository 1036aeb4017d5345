package directory

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// merge adds an announcement to the server table. direct is true if it came from the
// server itself and not from another directory process.
func (h *hub) merge(s inventory.Server, direct bool) inventory.Change {
	change := h.mergeOne(s, direct)
	h.broadcastLeaving()
	return change
}

// mergeOne is merge for one of several announcements. The caller must call broadcastLeaving after all of them.
func (h *hub) mergeOne(s inventory.Server, direct bool) inventory.Change {
	change := h.table.Merge(s)
	h.recordChange(s.ID, change, direct)
	// A server that left before it was known has the version of its announcement nowhere else.
	h.addServedVersion(&s)
	h.proposeServedVersions()
	return change
}

// lateLeaveTime is by how much a leave may be late: calls arrive seconds late, and a server that gets no
// answer sends its leave again for some seconds.
const lateLeaveTime = 4 * time.Second

// checkLeave returns an error for a leave that names no start if it cannot be told which incarnation
// sent it. The server is then not acknowledged, and asks again or ends without.
func (h *hub) checkLeave(id string, born int64) error {
	switch {
	case born != 0:
		return nil
	case h.table.Get(id) == nil && !h.knowsAllServers:
		return errkind.New(errkind.NotReady, "server %q, whose leave names no start, is not known here yet", id).WithRetryAfter(learnTime)
	case h.isReady(id) && h.table.StartedAgainWithin(id, lateLeaveTime, h.now()):
		return errkind.New(errkind.NotReady, "server %q has started again less than %s ago, and its leave, which names no start, may be that of the earlier one", id, lateLeaveTime).
			WithRetryAfter(time.Second)
	}
	return nil
}

// leave marks a server as gone. It returns the departure that the leave stands for.
func (h *hub) leave(id string, born int64) (inventory.Departure, inventory.Change) {
	s, change := h.table.Leave(id, born, h.now())
	h.recordChange(id, change, true)
	h.broadcastLeaving()
	d, _ := s.Departure()
	if born != 0 {
		d.Born, d.State = born, inventory.Gone
	}
	return d, change
}

// isReady reports whether a server is known and ready.
func (h *hub) isReady(id string) bool {
	s := h.table.Get(id)
	return s != nil && s.State == inventory.Ready
}

// recordChange records a change of a server for the routers and the other processes. The caller must
// call broadcastLeaving after all changes that it received together.
func (h *hub) recordChange(id string, change inventory.Change, direct bool) {
	switch change {
	case inventory.Stale:
		return
	case inventory.Refreshed:
		// What another process announces again may be as old as its age says.
		if direct {
			h.refreshed[id] = true
			for _, p := range h.peers {
				p.heard[id] = true
			}
		}
		return
	}
	s := h.table.Get(id)
	h.idByHash[uint32(routing.Hash(id))] = id
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
		h.leavingRecorded = true
	}
}

// broadcastLeaving sends the pending changes at once if servers that leave are among them. It does so
// with one message to each router: as many as servers leave together would fill its queue.
func (h *hub) broadcastLeaving() {
	if h.leavingRecorded {
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
// routers that follow this process and to the other directory processes; joins relayed
// by other processes go only to the routers that report here, and relayed leaves to all
// that follow. So a router receives a leave from each process that it follows, since
// one may stop before it has sent it. A router that is due to get the list of all servers
// gets the joins with it.
func (h *hub) broadcastChanges() {
	h.leavingRecorded = false
	if len(h.directChanges) > 0 {
		h.relayed = h.relay(h.directChanges)
	}
	joining, leaving := splitByState(h.announcements(h.directChanges))
	relayedJoining, relayedLeaving := splitByState(h.announcements(h.relayedChanges))
	for s := range h.sessions {
		changes := slices.Concat(leaving, relayedLeaving)
		if !s.listDue {
			changes = append(changes, joining...)
		}
		if !s.listDue && s.load != nil {
			changes = append(changes, relayedJoining...)
		}
		if len(changes) > 0 {
			s.push(h.withStatus(&fleetpb.FollowUpdate{Announcements: changes}))
		}
	}
	clear(h.directChanges)
	clear(h.relayedChanges)
	if h.broadcastTimer != nil {
		h.broadcastTimer = nil
		close(h.broadcastDone)
	}
	h.reconcilePlaces()
}

// splitByState separates the announcements of servers that are ready from the others.
func splitByState(announcements []*fleetpb.Announcement) (joining, leaving []*fleetpb.Announcement) {
	for _, a := range announcements {
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

// learnTime is how long a process that has started takes to learn of all servers: they announce
// themselves every 1.2 s, and the other processes send theirs at once.
const learnTime = 2 * time.Second

// updateKnowsAllServers records that all servers are known. Routers of earlier releases are told once
// the list that they were sent, with its later changes, holds all.
func (h *hub) updateKnowsAllServers() {
	switch {
	case h.leader == "":
		h.quorumSince = time.Time{}
	case h.quorumSince.IsZero():
		h.quorumSince = h.now()
	}
	if h.knowsAllServers || h.quorumSince.IsZero() || h.now().Sub(h.quorumSince) < learnTime {
		return
	}
	h.knowsAllServers = true
	for s := range h.sessions {
		if s.listSent && s.load != nil {
			s.push(h.withStatus(&fleetpb.FollowUpdate{WholeList: true}))
		}
	}
}
