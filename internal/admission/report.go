package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// auditPeriod is how long permits are matched against one report.
const auditPeriod = 3 * time.Second

// audit matches a server's permits against one load report. A permit accounts for
// one running request of the report if its router has sent messages well after the
// measurement without sending a result: the request was then running when the
// report was measured.
type audit struct {
	measuredAt Instant
	running    int
	// ended counts the permits that accounted for a request and have ended since.
	ended  int
	active bool
}

// applyReport applies a server's load report. Of the untracked requests that had
// started before the measurement, no more can be running than the report shows.
func (c *Core) applyReport(now Instant, i int32, a *grantpb.Announcement) {
	s := c.servers[i]
	s.reportedInFlight = int(a.Running + a.Queued)
	measuredAt := now - time.Duration(a.MeasuredMsAgo)*time.Millisecond
	if measuredAt <= s.measuredAt || now < c.reportsTrustedFrom {
		return
	}
	s.measuredAt = measuredAt
	if !s.confirmed && measuredAt >= c.EarliestConfirmation() {
		s.confirmed = true
		s.audit.active = false
		c.addUnattributed(i, s.reportedInFlight)
		s.unattributedSince = measuredAt
		s.unattributedUntil = now + c.services[s.service].maxRunTime
	}
	if !s.audit.active || measuredAt-s.audit.measuredAt > auditPeriod {
		s.audit = audit{measuredAt: measuredAt, running: s.reportedInFlight, active: true}
	}
	c.reclaim(now, i, measuredAt, s.reportedInFlight)
}

// auditServers subtracts the requests that permits account for from each audited
// report, and reclaims the untracked slots in excess of the remainder.
func (c *Core) auditServers(now Instant) {
	for i, s := range c.servers {
		if !s.audit.active || c.untrackedCount(s, s.audit.measuredAt) == 0 {
			continue
		}
		accounted := s.audit.ended
		for k := s.permits; k != 0; k = c.permits[k].next {
			if c.accountsFor(&c.permits[k], s.audit.measuredAt) {
				accounted++
			}
		}
		c.reclaim(now, int32(i), s.audit.measuredAt, s.audit.running-accounted)
	}
}

// accountsFor reports whether the permit's request is known to have been running
// at the time measured.
func (c *Core) accountsFor(p *permit, measured Instant) bool {
	if !c.isTracked(p) || !c.coveredBy(p, measured) {
		return false
	}
	s := c.sessions[p.session]
	return s != nil && s.watermark >= measured+2*c.options.Margin
}

// recordAuditedEnd counts a permit that is about to end, if it accounts for a
// running request of its server's audited report.
func (c *Core) recordAuditedEnd(p *permit) {
	s := c.servers[p.server]
	if s.audit.active && c.accountsFor(p, s.audit.measuredAt) {
		s.audit.ended++
	}
}

// untrackedCount returns the number of untracked slots whose requests had started
// at the time measured.
func (c *Core) untrackedCount(s *server, measured Instant) int {
	count := s.unattributed
	if measured < s.unattributedSince {
		count = 0
	}
	for k := s.permits; k != 0; k = c.permits[k].next {
		if p := &c.permits[k]; !c.isTracked(p) && c.coveredBy(p, measured) {
			count++
		}
	}
	return count
}

// reclaim frees untracked slots so that at most keep of those that had started at
// the time measured remain. It is not known which of them are still running, so
// those that remain are counted as unattributed requests, and a late result of
// their permits frees no slot.
func (c *Core) reclaim(now Instant, server int32, measured Instant, keep int) {
	s := c.servers[server]
	keep = max(keep, 0)
	if c.untrackedCount(s, measured) <= keep {
		return
	}
	for k := s.permits; k != 0; {
		p := &c.permits[k]
		next := p.next
		if !c.isTracked(p) && c.coveredBy(p, measured) {
			s.unattributedUntil = max(s.unattributedUntil, p.deadline)
			c.releasePermit(now, k)
		}
		k = next
	}
	if measured < s.unattributedSince {
		keep += s.unattributed
	}
	s.unattributedSince = max(s.unattributedSince, measured)
	c.addUnattributed(server, keep-s.unattributed)
}

// oldestUntracked returns the oldest untracked permit that had started at the time
// measured, or 0.
func (c *Core) oldestUntracked(s *server, measured Instant) int32 {
	oldest := int32(0)
	for k := s.permits; k != 0; k = c.permits[k].next {
		p := &c.permits[k]
		if !c.isTracked(p) && c.coveredBy(p, measured) && (oldest == 0 || p.grantedAt < c.permits[oldest].grantedAt) {
			oldest = k
		}
	}
	return oldest
}

// coveredBy reports whether a run under the permit, if there is one, had reached
// the server by the time measured, so that a report of that time counts it.
func (c *Core) coveredBy(p *permit, measured Instant) bool {
	started := p.grantedAt + c.options.StartWindow
	if p.startedAt != 0 {
		started = min(started, p.startedAt)
	}
	return started+c.options.Margin < measured
}

// isTracked reports whether a connected router has reported the permit's start and
// will report its result. Other permits, and unattributed requests, are untracked.
func (c *Core) isTracked(p *permit) bool {
	return p.session != 0 && !p.outcomeUnknown && p.startedAt != 0
}

// addUnattributed adds n to a server's unattributed requests.
func (c *Core) addUnattributed(i int32, n int) {
	if n == 0 {
		return
	}
	c.servers[i].unattributed += n
	c.addInFlight(i, n)
}
