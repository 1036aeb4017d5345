package admission

import (
	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// Started records that the first byte of the permit's request was sent.
func (c *Core) Started(now Instant, session SessionID, id uint64) {
	c.recordActivity(now, session)
	if i := c.findPermit(c.term, id); i != 0 && c.permits[i].session == session {
		c.permits[i].startedAt = now
	}
}

// Result ends a permit. After an unknown outcome the request may still be running,
// so the slot stays occupied until a report shows that the run is gone or the
// permit's deadline passes.
func (c *Core) Result(now Instant, session SessionID, r *grantpb.Result) {
	c.advance(now)
	c.recordActivity(now, session)
	i := c.findPermit(r.Term, r.PermitId)
	if i == 0 || c.permits[i].session != session || c.permits[i].outcomeUnknown {
		return
	}
	server := c.permits[i].server
	// Requests of a permit from before the server started again say nothing of the current incarnation.
	if s := c.servers[server]; s.replacedAt == 0 || c.permits[i].grantedAt >= s.replacedAt {
		c.recordOutcome(now, server, r)
	}
	if r.Outcome == grantpb.Outcome_OUTCOME_UNKNOWN {
		p := &c.permits[i]
		p.outcomeUnknown = true
		if p.startedAt == 0 {
			p.startedAt = now
		}
		return
	}
	c.recordAuditedEnd(&c.permits[i])
	c.releasePermit(now, i)
	c.dispatchServer(now, server)
}

// recordOutcome updates the server's failure count and latency from one result,
// and ejects it or restarts its ramp if they call for it.
func (c *Core) recordOutcome(now Instant, server int32, r *grantpb.Result) {
	s := c.servers[server]
	switch r.Outcome {
	case grantpb.Outcome_OUTCOME_COMPLETED:
		s.consecutiveFailures = 0
		if r.FirstByteMs > 0 && s.firstByte.addSample(float64(r.FirstByteMs)) {
			c.restartRamp(now, s)
			c.refreshLimits(now)
		}
	case grantpb.Outcome_OUTCOME_FAILED, grantpb.Outcome_OUTCOME_UNKNOWN:
		s.consecutiveFailures++
		sv := c.services[s.service]
		if sv != nil && s.consecutiveFailures >= sv.ejectAfter && c.canEject(now, s) {
			s.ejectedUntil = now + sv.ejectTime
			s.consecutiveFailures = 0
			c.refreshLimits(now)
		}
	}
}

// canEject reports whether every pool of the server keeps at least half of its
// usable servers without it.
func (c *Core) canEject(now Instant, s *server) bool {
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

// firstByteMonitor detects from a jump of the time to the first byte that a server
// has become cold without announcing it.
type firstByteMonitor struct {
	shortAverage, baseline float64
	samples                int
}

const (
	minJumpSamples = 16
	jumpFactor     = 4.0
	// minJumpMS is the shortest time to the first byte that counts as a jump.
	minJumpMS = 500.0
)

// addSample adds a sample in milliseconds and reports whether recent samples are
// far above the server's baseline.
func (f *firstByteMonitor) addSample(ms float64) bool {
	const shortWeight, baselineWeight = 0.5, 0.03
	f.samples++
	if f.samples == 1 {
		f.shortAverage, f.baseline = ms, ms
	}
	f.shortAverage += shortWeight * (ms - f.shortAverage)
	previous := f.baseline
	f.baseline += baselineWeight * (ms - f.baseline)
	return f.samples > minJumpSamples && f.shortAverage > minJumpMS && f.shortAverage > jumpFactor*previous
}
