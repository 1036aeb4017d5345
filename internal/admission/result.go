package admission

import (
	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// Started notes that a permit's first byte went out.
func (c *Core) Started(now Instant, session SessionID, id uint64) {
	c.heard(now, session)
	if i := c.find(c.term, id); i != 0 && c.permits[i].session == session {
		c.permits[i].startedAt = now
	}
}

// Result ends a permit. One whose outcome is unknown may still run, so its
// place stays taken until a report shows it gone or its deadline passes.
func (c *Core) Result(now Instant, session SessionID, r *grantpb.Result) {
	c.observe(now)
	c.heard(now, session)
	i := c.find(r.Term, r.PermitId)
	if i == 0 || c.permits[i].session != session || c.permits[i].ended {
		return
	}
	server := c.permits[i].server
	c.judge(now, server, r)
	if r.Outcome == grantpb.Outcome_OUTCOME_UNKNOWN {
		p := &c.permits[i]
		p.ended = true
		if p.startedAt == 0 {
			p.startedAt = now
		}
		return
	}
	c.explainEnd(&c.permits[i])
	c.vacate(now, i)
	c.pumpServer(now, server)
}

// judge draws conclusions on the server from one result.
func (c *Core) judge(now Instant, server int32, r *grantpb.Result) {
	s := c.servers[server]
	switch r.Outcome {
	case grantpb.Outcome_OUTCOME_COMPLETED:
		s.failures = 0
		if r.FirstByteMs > 0 && s.firstByte.jumped(float64(r.FirstByteMs)) {
			c.turnedCold(now, s)
			c.refresh(now)
		}
	case grantpb.Outcome_OUTCOME_FAILED, grantpb.Outcome_OUTCOME_UNKNOWN:
		s.failures++
		sv := c.services[s.service]
		if sv != nil && s.failures >= sv.ejectAfter && c.mayEject(now, s) {
			s.ejectedUntil = now + sv.ejectTime
			s.failures = 0
			c.refresh(now)
		}
	}
}

// mayEject reports whether every pool of the server keeps at least half of its
// usable servers without it.
func (c *Core) mayEject(now Instant, s *server) bool {
	for _, p := range s.pools {
		ejected := 0
		for _, i := range p.members {
			if now < c.servers[i].ejectedUntil {
				ejected++
			}
		}
		if p.usable <= 1 || p.usable-1 < ejected+1 {
			return false
		}
	}
	return true
}

// firstByte watches the time to the first byte for the jump of a server that
// turned cold without saying so.
type firstByte struct {
	short, long float64
	samples     int
}

const (
	jumpSamples = 16
	jumpFactor  = 4.0
	// jumpLeastMS is the shortest time to the first byte that can be a jump.
	jumpLeastMS = 500.0
)

// jumped adds a sample in milliseconds and reports whether recent ones are far
// above what is usual for the server.
func (f *firstByte) jumped(ms float64) bool {
	const shortPart, longPart = 0.5, 0.03
	f.samples++
	if f.samples == 1 {
		f.short, f.long = ms, ms
	}
	f.short += shortPart * (ms - f.short)
	usual := f.long
	f.long += longPart * (ms - f.long)
	return f.samples > jumpSamples && f.short > jumpLeastMS && f.short > jumpFactor*usual
}
