package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// auditTime is how long permits are counted against one report.
const auditTime = 3 * time.Second

// audit is a report against which permits are counted. A permit whose router
// has gone on talking well after the measurement, and has sent no result, was
// running when the report was measured: it explains one running request.
type audit struct {
	measuredAt Instant
	running    int
	// ended counts the permits that ended after they had explained one.
	ended  int
	active bool
}

// report takes in what ran at a server. Of the requests that no router answers
// for and that had started before the measurement, no more can be running than
// it shows.
func (c *Core) report(now Instant, i int32, a *grantpb.Announcement) {
	s := c.servers[i]
	s.reported = int(a.Running + a.Queued)
	measuredAt := now - time.Duration(a.MeasuredMsAgo)*time.Millisecond
	if measuredAt <= s.measuredAt || now < c.trustFrom {
		return
	}
	s.measuredAt = measuredAt
	if !s.confirmed && measuredAt >= c.OpensAt() {
		s.confirmed = true
		s.audit.active = false
		c.addGhosts(i, s.reported)
		s.ghostsFrom = measuredAt
		s.ghostsUntil = now + c.services[s.service].maxRun
	}
	if !s.audit.active || measuredAt-s.audit.measuredAt > auditTime {
		s.audit = audit{measuredAt: measuredAt, running: s.reported, active: true}
	}
	c.reclaim(now, i, measuredAt, s.reported)
}

// settle reclaims what the permits of talking routers leave unexplained.
func (c *Core) settle(now Instant) {
	for i, s := range c.servers {
		if !s.audit.active || c.unanswered(s, s.audit.measuredAt) == 0 {
			continue
		}
		explained := s.audit.ended
		for k := s.permits; k != 0; k = c.permits[k].next {
			if c.explains(&c.permits[k], s.audit.measuredAt) {
				explained++
			}
		}
		c.reclaim(now, int32(i), s.audit.measuredAt, s.audit.running-explained)
	}
}

// explains reports whether the permit was running at the time measured.
func (c *Core) explains(p *permit, measured Instant) bool {
	if !c.answered(p) || !c.shownBy(p, measured) {
		return false
	}
	s := c.sessions[p.session]
	return s != nil && s.settled >= measured+2*c.options.Margin
}

// explainEnd counts a permit that ends against its server's audit.
func (c *Core) explainEnd(p *permit) {
	s := c.servers[p.server]
	if s.audit.active && c.explains(p, s.audit.measuredAt) {
		s.audit.ended++
	}
}

// unanswered counts the places that no router answers for and that had started
// at the time measured.
func (c *Core) unanswered(s *server, measured Instant) int {
	count := s.ghosts
	if measured < s.ghostsFrom {
		count = 0
	}
	for k := s.permits; k != 0; k = c.permits[k].next {
		if p := &c.permits[k]; !c.answered(p) && c.shownBy(p, measured) {
			count++
		}
	}
	return count
}

// reclaim ends places that no router answers for, so that at most keep remain
// of those that had started at the time measured. Which of them remain is not
// known, so they lose their names: a late result ends none of them.
func (c *Core) reclaim(now Instant, server int32, measured Instant, keep int) {
	s := c.servers[server]
	keep = max(keep, 0)
	if c.unanswered(s, measured) <= keep {
		return
	}
	for k := s.permits; k != 0; {
		p := &c.permits[k]
		next := p.next
		if !c.answered(p) && c.shownBy(p, measured) {
			s.ghostsUntil = max(s.ghostsUntil, p.deadline)
			c.vacate(now, k)
		}
		k = next
	}
	if measured < s.ghostsFrom {
		keep += s.ghosts
	}
	s.ghostsFrom = max(s.ghostsFrom, measured)
	c.addGhosts(server, keep-s.ghosts)
}

// oldestUnanswered returns the oldest of them, or 0.
func (c *Core) oldestUnanswered(s *server, measured Instant) int32 {
	oldest := int32(0)
	for k := s.permits; k != 0; k = c.permits[k].next {
		p := &c.permits[k]
		if !c.answered(p) && c.shownBy(p, measured) && (oldest == 0 || p.grantedAt < c.permits[oldest].grantedAt) {
			oldest = k
		}
	}
	return oldest
}

// shownBy reports whether a run under the permit had reached the server when
// the report was measured, if it ever does.
func (c *Core) shownBy(p *permit, measured Instant) bool {
	started := p.grantedAt + c.options.StartWindow
	if p.startedAt != 0 {
		started = min(started, p.startedAt)
	}
	return started+c.options.Margin < measured
}

// answered reports whether a router will still give the permit's result.
func (c *Core) answered(p *permit) bool {
	return p.session != 0 && !p.ended && p.startedAt != 0
}

// addGhosts changes the number of running requests that no permit explains.
func (c *Core) addGhosts(i int32, n int) {
	if n == 0 {
		return
	}
	c.servers[i].ghosts += n
	c.addLive(i, n)
}
