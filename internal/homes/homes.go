package homes

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
	// SpareTime is how long a server that joined later serves as a spare before it
	// takes a share of the keys, so that a pool that has grown for good uses it.
	SpareTime = 2 * time.Minute
	// unheardTime is how long a new leader waits for a server that it has not heard
	// before its place counts as vacant. Heartbeats of 1.2 s reach any directory
	// process, and a change reaches all.
	unheardTime = 30 * time.Second
)

// Place is a share of a pool's keys.
type Place struct {
	Hash   uint64
	Server string
}

// Member is a server as the directory knows it.
type Member struct {
	ID    string
	Born  int64
	Ready bool
}

// Keeper decides on the places of all pools.
type Keeper struct {
	pools map[string]*pool
}

// pool is what the keeper remembers of one pool.
type pool struct {
	// seen is when the keeper first saw the pool; founded when it had no place then.
	seen, founded time.Time
	// vacant is since when a place has no server, by the place's hash.
	vacant map[uint64]time.Time
	// spares is since when a ready server has no place.
	spares map[string]time.Time
}

// NewKeeper returns a Keeper that has seen nothing.
func NewKeeper() *Keeper { return &Keeper{pools: map[string]*pool{}} }

// Next returns the places to be changed: those with another server, new ones, and
// with no server those to be dropped. It repeats them until places has them.
func (k *Keeper) Next(service string, places []Place, members []Member, now time.Time) []Place {
	p := k.pools[service]
	if p == nil {
		p = &pool{seen: now, vacant: map[uint64]time.Time{}, spares: map[string]time.Time{}}
		if len(places) == 0 {
			p.founded = now
		}
		k.pools[service] = p
	}
	p.look(places, members, now)
	var out []Place
	spares := p.waiting(members)
	for _, place := range places {
		since, vacant := p.vacant[place.Hash]
		switch {
		case vacant && len(spares) > 0:
			out = append(out, Place{Hash: place.Hash, Server: spares[0].ID})
			spares = spares[1:]
		case vacant && now.Sub(since) > SpareTime:
			out = append(out, Place{Hash: place.Hash})
		}
	}
	// A pool that more than doubles at once has little to lose.
	founding := len(spares) > len(places) || !p.founded.IsZero() && now.Sub(p.founded) < foundingTime
	for _, s := range spares {
		if founding || now.Sub(p.spares[s.ID]) > SpareTime {
			out = append(out, Place{Hash: freeHash(s.ID, places), Server: s.ID})
		}
	}
	return out
}

// look notes which places are vacant and which servers have none.
func (p *pool) look(places []Place, members []Member, now time.Time) {
	is := make(map[string]Member, len(members))
	for _, m := range members {
		is[m.ID] = m
	}
	placed, hashes := map[string]bool{}, map[uint64]bool{}
	for _, place := range places {
		hashes[place.Hash] = true
		m, known := is[place.Server]
		switch {
		case m.Ready && !placed[place.Server]:
			placed[place.Server] = true
			delete(p.vacant, place.Hash)
		case known || now.Sub(p.seen) > unheardTime:
			if p.vacant[place.Hash].IsZero() {
				p.vacant[place.Hash] = now
			}
		}
	}
	for hash := range p.vacant {
		if !hashes[hash] {
			delete(p.vacant, hash)
		}
	}
	for id := range p.spares {
		if !is[id].Ready || placed[id] {
			delete(p.spares, id)
		}
	}
	for id, m := range is {
		if m.Ready && !placed[id] && p.spares[id].IsZero() {
			p.spares[id] = now
		}
	}
}

// waiting returns the spares, those that wait longest first.
func (p *pool) waiting(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if !p.spares[m.ID].IsZero() {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(p.spares[a.ID].Compare(p.spares[b.ID]), cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// freeHash returns the hash of a place that starts with the server. Another
// server may hold the one that it started with before.
func freeHash(server string, places []Place) uint64 {
	hash := routing.Hash(server)
	for slices.ContainsFunc(places, func(p Place) bool { return p.Hash == hash }) {
		hash = routing.Mix(hash, 1)
	}
	return hash
}

// Apply returns the places with one changed, sorted by hash; the same slice if
// nothing changes.
func Apply(places []Place, change Place) []Place {
	at, found := slices.BinarySearchFunc(places, change.Hash, func(p Place, hash uint64) int { return cmp.Compare(p.Hash, hash) })
	switch {
	case found && places[at] == change, !found && change.Server == "":
		return places
	case change.Server == "":
		return slices.Delete(slices.Clone(places), at, at+1)
	case found:
		out := slices.Clone(places)
		out[at] = change
		return out
	}
	return slices.Insert(slices.Clone(places), at, change)
}
