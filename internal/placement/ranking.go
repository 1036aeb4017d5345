package placement

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// ranking ranks the servers of a pool for a key by the places that they hold. It
// is immutable.
type ranking struct {
	places map[string]heldPlace
}

// heldPlace is the place that a server holds.
type heldPlace struct {
	hash uint64
	// acquiredAt is when this router learned that the server took the place; zero
	// if the server already held it when the router started.
	acquiredAt time.Time
	// previousHolder is the id of the server that held the place before, or "" if
	// unknown.
	previousHolder string
}

// newRanking returns the ranking for places. previous is the ranking that it
// replaces, or nil if the router had none.
func newRanking(places []assignment.Place, previous *ranking, now time.Time) *ranking {
	r := &ranking{places: make(map[string]heldPlace, len(places))}
	holders := map[uint64]string{}
	if previous != nil {
		for server, h := range previous.places {
			holders[h.hash] = server
		}
	}
	for _, p := range places {
		switch holder, known := holders[p.Hash]; {
		case holder == p.Server && known:
			r.places[p.Server] = previous.places[p.Server]
		case previous == nil:
			r.places[p.Server] = heldPlace{hash: p.Hash}
		default:
			r.places[p.Server] = heldPlace{hash: p.Hash, acquiredAt: now, previousHolder: holder}
		}
	}
	return r
}

// cost returns the rendezvous cost of a server for a key; the server with the
// lowest cost is the key's home. Spares rank after all servers with a place. While
// the directory has not assigned any places, every server is ranked by its own
// hash.
func (r *ranking) cost(key uint64, s *Server) (cost uint64, isSpare bool) {
	if p, ok := r.places[s.ID]; ok {
		return routing.Mix(key, p.hash), false
	}
	return routing.Mix(key, s.hash), true
}

// cacheWarmupTime is how long a server may lack the prompts of a place that it
// took over. Most of the prompts that are repeated at all are repeated within this
// time.
const cacheWarmupTime = 30 * time.Second

// recentTakeover reports whether the server took over its place within the last
// cacheWarmupTime, and returns the id of the previous holder, or "". A spare
// counts as having done so once any places are assigned.
func (r *ranking) recentTakeover(s *Server, now time.Time) (previous string, ok bool) {
	p, placed := r.places[s.ID]
	if !placed {
		return "", len(r.places) > 0
	}
	if p.acquiredAt.IsZero() || now.Sub(p.acquiredAt) > cacheWarmupTime {
		return "", false
	}
	return p.previousHolder, true
}
