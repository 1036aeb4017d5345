package assignment

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// bootstrapPeriod is how long after the first server of a new pool further
	// servers get a place at once, so that the pool's initial servers share all
	// keys.
	bootstrapPeriod = 8 * time.Second
	// ResizeDelay is how long a server that joined later stays a spare before it
	// gets a place of its own, so that a pool that stays larger uses it. A place
	// that is vacant for longer is dropped.
	ResizeDelay = 2 * time.Minute
	// unseenGracePeriod is how long a new leader waits for the first heartbeat of
	// a server before the server's place counts as vacant. A server sends a
	// heartbeat every 1.2 s to any one directory process, and only changes are
	// passed on to all processes.
	unseenGracePeriod = 30 * time.Second
)

// Place is a share of a pool's keys, assigned to a server. Hash identifies the
// place and determines its keys, by rendezvous hashing.
type Place struct {
	Hash   uint64
	Server string
}

// Member is a server of a pool as the directory knows it.
type Member struct {
	ID    string
	Born  int64
	Ready bool
}

// Assigner assigns the places of all pools.
type Assigner struct {
	pools map[string]*pool
}

// pool is the Assigner's state for one pool.
type pool struct {
	// firstSeen is when the Assigner first saw the pool. bootstrappedAt is the
	// same time if the pool had no places then, and zero otherwise.
	firstSeen, bootstrappedAt time.Time
	// vacantSince is when a place became vacant, by the place's hash.
	vacantSince map[uint64]time.Time
	// spareSince is when a ready server without a place became a spare, by id.
	spareSince map[string]time.Time
}

// NewAssigner returns an Assigner that knows no pools.
func NewAssigner() *Assigner { return &Assigner{pools: map[string]*pool{}} }

// Changes returns the places to change: those that get another server, new ones,
// and, without a server, those to drop. It returns the same changes again until
// places contains them.
func (a *Assigner) Changes(service string, places []Place, members []Member, now time.Time) []Place {
	p := a.pools[service]
	if p == nil {
		p = &pool{firstSeen: now, vacantSince: map[uint64]time.Time{}, spareSince: map[string]time.Time{}}
		if len(places) == 0 {
			p.bootstrappedAt = now
		}
		a.pools[service] = p
	}
	p.observe(places, members, now)
	var out []Place
	spares := p.sparesByWait(members)
	for _, place := range places {
		since, vacant := p.vacantSince[place.Hash]
		switch {
		case vacant && len(spares) > 0:
			out = append(out, Place{Hash: place.Hash, Server: spares[0].ID})
			spares = spares[1:]
		case vacant && now.Sub(since) > ResizeDelay:
			out = append(out, Place{Hash: place.Hash})
		}
	}
	// A pool that more than doubles at once loses little by moving keys, compared
	// with leaving most of its servers as spares.
	bootstrapping := len(spares) > len(places) || !p.bootstrappedAt.IsZero() && now.Sub(p.bootstrappedAt) < bootstrapPeriod
	for _, s := range spares {
		if bootstrapping || now.Sub(p.spareSince[s.ID]) > ResizeDelay {
			out = append(out, Place{Hash: unusedHash(s.ID, places), Server: s.ID})
		}
	}
	return out
}

// observe records which places are vacant and which servers are spares.
func (p *pool) observe(places []Place, members []Member, now time.Time) {
	byID := make(map[string]Member, len(members))
	for _, m := range members {
		byID[m.ID] = m
	}
	placed, hashes := map[string]bool{}, map[uint64]bool{}
	for _, place := range places {
		hashes[place.Hash] = true
		m, known := byID[place.Server]
		switch {
		case m.Ready && !placed[place.Server]:
			placed[place.Server] = true
			delete(p.vacantSince, place.Hash)
		case known || now.Sub(p.firstSeen) > unseenGracePeriod:
			if p.vacantSince[place.Hash].IsZero() {
				p.vacantSince[place.Hash] = now
			}
		}
	}
	for hash := range p.vacantSince {
		if !hashes[hash] {
			delete(p.vacantSince, hash)
		}
	}
	for id := range p.spareSince {
		if !byID[id].Ready || placed[id] {
			delete(p.spareSince, id)
		}
	}
	for id, m := range byID {
		if m.Ready && !placed[id] && p.spareSince[id].IsZero() {
			p.spareSince[id] = now
		}
	}
}

// sparesByWait returns the spares, the longest waiting first.
func (p *pool) sparesByWait(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if !p.spareSince[m.ID].IsZero() {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(p.spareSince[a.ID].Compare(p.spareSince[b.ID]), cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// unusedHash returns a hash for a new place of the server. It is derived from the
// server's id; another server may hold a place that was once created for this one.
func unusedHash(server string, places []Place) uint64 {
	hash := routing.Hash(server)
	for slices.ContainsFunc(places, func(p Place) bool { return p.Hash == hash }) {
		hash = routing.Mix(hash, 1)
	}
	return hash
}

// Apply returns places with one change applied, sorted by hash. It returns the
// same slice if nothing changes.
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
