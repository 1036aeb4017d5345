package placement

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/homes"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// order is the places of a pool by server. It is immutable.
type order struct {
	places map[string]home
}

// home is a server's place.
type home struct {
	hash uint64
	// since is when this router learned that the server took the place; zero if the
	// server held it when the router started.
	since time.Time
	// previous is the server that held the place before, if known.
	previous string
}

// newOrder returns the order for the places, which follows was; was is nil if the
// router knew of none.
func newOrder(places []homes.Place, was *order, now time.Time) *order {
	o := &order{places: make(map[string]home, len(places))}
	held := map[uint64]string{}
	if was != nil {
		for server, h := range was.places {
			held[h.hash] = server
		}
	}
	for _, p := range places {
		switch previous, known := held[p.Hash]; {
		case previous == p.Server && known:
			o.places[p.Server] = was.places[p.Server]
		case was == nil:
			o.places[p.Server] = home{hash: p.Hash}
		default:
			o.places[p.Server] = home{hash: p.Hash, since: now, previous: previous}
		}
	}
	return o
}

// cost returns the rank of a server for a key; the lowest is the key's home.
// Spares come after all places. While the directory has given no places, each
// server has one of its own.
func (o *order) cost(key uint64, s *Server) (cost uint64, isSpare bool) {
	if p, ok := o.places[s.ID]; ok {
		return routing.Mix(key, p.hash), false
	}
	return routing.Mix(key, s.hash), true
}

// settleTime is how long a server may lack the prompts of a place that it took;
// most of those that return do so within it.
const settleTime = 30 * time.Second

// settling reports whether the server took its place a short time ago, and the
// server that held the place before, if any.
func (o *order) settling(s *Server, now time.Time) (previous string, ok bool) {
	p, placed := o.places[s.ID]
	if !placed {
		return "", len(o.places) > 0
	}
	if p.since.IsZero() || now.Sub(p.since) > settleTime {
		return "", false
	}
	return p.previous, true
}
