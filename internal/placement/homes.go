package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// foundingTime is how long after the first server of a pool the others belong
	// to its founders, which share all keys.
	foundingTime = 8 * time.Second
	// spareTime is how long a server that joined later serves as a spare before it
	// takes a share of the keys, so that a pool that has grown for good uses it.
	spareTime = 2 * time.Minute
)

// homes assigns the keys of a pool to its servers. A server that joins takes no
// key from one that stays, since each key that moves is read again; it takes the
// place of one that left, or takes what others are too loaded for.
//
// Each place has a hash of its own that it keeps when its server changes. It is
// the hash of its first server, so routers that saw the same changes agree.
type homes struct {
	begun  time.Time
	places []home
	spares []spare
}

type home struct {
	hash   uint64
	server string
	// born is the incarnation that holds the place, since when.
	born  int64
	since time.Time
	// previous is the server that held the place before.
	previous string
	// vacant is since when no server holds the place; zero if one does.
	vacant time.Time
}

type spare struct {
	server string
	born   int64
	hash   uint64
	since  time.Time
}

// update takes in which servers are ready now.
func (h *homes) update(ready []*Server, now time.Time) {
	if len(ready) == 0 {
		return
	}
	if h.begun.IsZero() {
		h.begun = now
	}
	is := make(map[string]*Server, len(ready))
	for _, s := range ready {
		is[s.ID] = s
	}
	placed := map[string]bool{}
	for i := range h.places {
		p := &h.places[i]
		switch {
		case p.server != "" && is[p.server] != nil:
			placed[p.server] = true
			if born := is[p.server].Born; born != p.born {
				p.born, p.since, p.previous = born, now, ""
			}
		case p.server != "":
			p.previous, p.server, p.vacant = p.server, "", now
		}
	}
	h.spares = slices.DeleteFunc(h.spares, func(s spare) bool { return is[s.server] == nil })
	for _, s := range h.spares {
		placed[s.server] = true
	}
	var joined []*Server
	for _, s := range ready {
		if !placed[s.ID] {
			joined = append(joined, s)
		}
	}
	slices.SortFunc(joined, func(a, b *Server) int { return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID)) })
	for _, s := range joined {
		if now.Sub(h.begun) < foundingTime {
			h.places = append(h.places, home{hash: s.hash, server: s.ID, born: s.Born})
		} else {
			h.spares = append(h.spares, spare{server: s.ID, born: s.Born, hash: s.hash, since: now})
		}
	}
	h.fill(now)
}

// fill gives vacant places to spares, the oldest first, and a place of its own to
// a spare that has waited long.
func (h *homes) fill(now time.Time) {
	slices.SortFunc(h.places, func(a, b home) int { return cmp.Compare(a.hash, b.hash) })
	for i := range h.places {
		if p := &h.places[i]; p.server == "" && len(h.spares) > 0 {
			p.server, p.born, p.since, p.vacant = h.spares[0].server, h.spares[0].born, now, time.Time{}
			h.spares = slices.Delete(h.spares, 0, 1)
		}
	}
	h.places = slices.DeleteFunc(h.places, func(p home) bool { return p.server == "" && now.Sub(p.vacant) > spareTime })
	for len(h.spares) > 0 && now.Sub(h.spares[0].since) > spareTime {
		h.places = append(h.places, home{hash: h.spares[0].hash, server: h.spares[0].server, born: h.spares[0].born, since: now})
		h.spares = slices.Delete(h.spares, 0, 1)
	}
}

// order is an immutable copy of the places that traffic reads.
type order struct {
	// places maps a server to its place; spare servers have none.
	places map[string]home
}

func (h *homes) order() *order {
	o := &order{places: make(map[string]home, len(h.places))}
	for _, p := range h.places {
		if p.server != "" {
			o.places[p.server] = p
		}
	}
	return o
}

// cost returns the rank of a server for a key; the lowest is the key's home.
// Spares come after all places.
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
		return "", true
	}
	if p.since.IsZero() || now.Sub(p.since) > settleTime {
		return "", false
	}
	return p.previous, true
}
