package placement

import (
	"slices"
	"time"
)

// cacheSource returns a server that probably has cached what the chosen server may
// lack of the prompt, or nil. The first choice is the server that last processed
// the key's part, as far as this router knows; then the server that should have it
// by the key's ranking; then the one that last processed a part shared with other
// keys. Evacuated servers can be sources, since that sends them no requests.
func (f *Fleet) cacheSource(p *pool, c *candidate, req PickRequest, all []candidate, now time.Time) *Server {
	for _, part := range slices.Backward(req.Parts) {
		s := f.partIndex.lookup(part)
		if s == c.Server {
			return nil
		}
		if s != nil && p.available(s, all) {
			return s
		}
		if s := p.cacheHolder(c, all, now); part == req.Key && s != nil {
			return s
		}
	}
	return nil
}

// available reports whether the server is draining, or is a candidate that is
// neither silent nor ejected.
func (p *pool) available(s *Server, all []candidate) bool {
	if p.draining[s.ID] == s {
		return true
	}
	return slices.ContainsFunc(all, func(c candidate) bool { return c.Server == s && !c.silent && !c.ejected })
}

// cacheHolder returns the server that should have the key's prompt by the key's
// ranking, if the chosen server may lack it: the key's home, the server whose
// place the chosen one took over, or the next server in the key's ranking, which
// served the key in the meantime.
func (p *pool) cacheHolder(c *candidate, all []candidate, now time.Time) *Server {
	incomplete := c.cacheIncomplete(now)
	if c.rank == 0 {
		previous, ok := p.ranking.recentTakeover(c.Server, now)
		if !ok && !incomplete {
			return nil
		}
		if s := p.draining[previous]; s != nil {
			return s
		}
	}
	var best *candidate
	for i := range all {
		o := &all[i]
		if o.Server == c.Server || o.silent || o.ejected || incomplete && o.cacheIncomplete(now) {
			continue
		}
		if best == nil || o.rank < best.rank {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	return best.Server
}
