package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// maxServersPerProcess is the number of servers for each directory process from which
// routers take the heartbeats that change nothing.
const maxServersPerProcess = 50

// heartbeatRouter returns the address of the router that is to take a server's next
// heartbeats; "" if this process is to.
func (h *hub) heartbeatRouter(s inventory.Server) string {
	if h.table.Len() <= maxServersPerProcess*max(1, len(h.members)) || s.State != inventory.Ready {
		return ""
	}
	best, bestCost, bestNear := "", uint64(0), false
	for session := range h.sessions {
		if session.heartbeats == "" || session.load == nil {
			continue
		}
		near := session.routerDataCentre == s.DataCentre
		cost := routing.Mix(routing.Hash(s.ID), routing.Hash(session.heartbeats))
		if best == "" || near && !bestNear || near == bestNear && cost < bestCost {
			best, bestCost, bestNear = session.heartbeats, cost, near
		}
	}
	return best
}

// recordHeard records the servers whose heartbeats a router has taken.
func (h *hub) recordHeard(hashes []uint32) {
	for _, hash := range hashes {
		id, known := h.idByHash[hash]
		if !known {
			continue // The router's list is newer; a peer sends the announcement.
		}
		h.table.RefreshHeartbeat(id, h.now())
		h.recordChange(id, inventory.Refreshed, true)
	}
}

const (
	// maxHeard is the number of servers up to which routers are sent all that were heard
	// since the last flush. Of more, the silent ones are named.
	maxHeard = 200
	// silenceInterval is how often the silent ones are named.
	silenceInterval = time.Second
)

// takeHeard returns the servers that were heard since the last flush, and of all others those
// that were not heard lately if there are too many to be named.
func (h *hub) takeHeard() (heard, silent []uint32, othersHeard bool) {
	for id := range h.refreshed {
		if heard = append(heard, uint32(routing.Hash(id))); len(heard) == maxHeard {
			break
		}
	}
	now := h.now()
	if len(h.refreshed) > maxHeard && now.Sub(h.silenceSentAt) >= silenceInterval {
		h.silenceSentAt, othersHeard = now, true
		h.table.All(func(s *inventory.Server) {
			if now.Sub(s.LastSeen) > inventory.SilentAfter {
				silent = append(silent, uint32(routing.Hash(s.ID)))
			}
		})
	}
	clear(h.refreshed)
	return heard, silent, othersHeard
}
