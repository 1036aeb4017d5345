package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// errorBound is the probability with which one comparison condemns a version that is no
	// worse than the tolerance allows: Wald's sequential probability ratio test rejects at a
	// likelihood ratio of 1/errorBound, whenever it is looked at.
	errorBound = 1e-4
	// doubtBound is the same for a target that would otherwise exceed its bound or succeed, by all
	// that it did since the order or since it has had all requests.
	doubtBound = 0.01
	// minCompared is the number of attempts at other versions that a rate is taken from.
	minCompared = 50
	// badFactor and badTolerance make up the rate of bad attempts that a new version may have:
	// callers do not notice less.
	badFactor    = 1.5
	badTolerance = 0.03
	// priorBad and priorAttempts keep the rate of few attempts at other versions from counting
	// as 0.
	priorBad, priorAttempts = 1, 20
	// slowBuckets is by how many buckets of paces an attempt must be above the median of the
	// other versions to count as slow: a factor of 2.8, and of 4 while the target gets all
	// requests, which loads its servers more.
	slowBuckets, slowBucketsShifting = 3, 4
	// minSlowPace is the time up to which no attempt counts as slow: callers do not notice it, and
	// servers that answer within milliseconds differ by more from moment to moment.
	minSlowPace = 10 * time.Millisecond
	// serverBadBase and serverBadFactor, a multiple of the median server's, limit the bad attempts
	// that count of one server, if the target has at least minCappedServers.
	serverBadBase    = 2
	serverBadFactor  = 2
	minCappedServers = 3
	// While the target gets all requests, there is nothing to compare it with in the same moment. A
	// moment is the time in which minMomentAttempts have ended. Beyond momentSlowBase, it counts slow
	// attempts up to momentSlowFactor times the share of the median moment, if there are minMoments;
	// and they condemn only once slow moments have come for minSlowTime.
	minMomentAttempts = 8
	momentSlowBase    = 2
	momentSlowFactor  = 2
	minMoments        = 3
	minSlowTime       = time.Second
	// maxLooks is the number of looks that the moments are taken from.
	maxLooks = 64
	// maxMarks is the number of earlier totals from which the judge counts, besides the order:
	// a version that turns bad is not excused by what it served before.
	maxMarks = 24
)

// alternatives are the amounts by which the rate of a bad version may exceed the tolerance.
var alternatives = []float64{0.1, 0.25, 0.5}

// Verdict is a reason to roll back.
type Verdict struct {
	// Route is the hash of the route; 0 stands for all routes.
	Route uint64
	// Test is "failed or late" or "slow".
	Test string
	// Bad of N attempts at the target, against the rate that is tolerated.
	Bad, N        int
	ToleratedRate float64
	// LogRatio is the natural logarithm of the likelihood ratio.
	LogRatio float64
}

// String describes the verdict in logs and to operators.
func (v *Verdict) String() string {
	where := "all routes"
	if v.Route != 0 {
		where = fmt.Sprintf("route %016x", v.Route)
	}
	return fmt.Sprintf("%d of %d attempts at the target %s on %s, %.3f tolerated, log likelihood ratio %.1f", v.Bad, v.N, v.Test, where, v.ToleratedRate, v.LogRatio)
}

// sample counts attempts and the bad ones among them, and those whose pace is known and the slow
// ones among them.
type sample struct{ n, bad, paced, slow int }

// comparison is what the judge compares on one route. It holds counts and no samples: which
// attempts are slow depends on the median, which moves between two looks.
type comparison struct{ target, others *Counts }

// Judge condemns a target that does worse than the other versions. It is a deterministic
// state machine.
type Judge struct {
	// marks are earlier counts by route, from which later ones are counted as well.
	marks []map[uint64]comparison
	// looks are the counts at each look since the target has got all requests.
	looks []look
}

type look struct {
	counts map[uint64]comparison
	at     time.Duration
}

// Mark has later attempts judged by themselves as well. The totals must not change afterwards.
func (j *Judge) Mark(totals *Totals) {
	j.marks = append(j.marks, compare(totals))
	if len(j.marks) > maxMarks {
		j.marks = slices.Delete(j.marks, 1, 2) // The first one is the beginning of the phase.
	}
}

// look keeps the counts to tell the moments between two looks apart. Of many, it keeps every second.
func (j *Judge) look(counts map[uint64]comparison, at time.Duration) {
	if len(j.looks) == maxLooks {
		for i := range maxLooks / 2 {
			j.looks[i] = j.looks[2*i]
		}
		j.looks = j.looks[:maxLooks/2]
	}
	j.looks = append(j.looks, look{counts, at})
}

// Reset forgets the marks and looks: samples of another phase do not compare.
func (j *Judge) Reset() { j.marks, j.looks = nil, nil }

// Worst returns the strongest evidence against the target: over any time, and since the order or
// since the phase began. elapsed is the time since the order.
func (j *Judge) Worst(totals *Totals, phase Phase, elapsed time.Duration) (worst, lasting *Verdict) {
	worst, lasting = &Verdict{}, &Verdict{}
	counts := compare(totals)
	if phase == Shifting {
		j.look(counts, elapsed)
	}
	for route, whole := range counts {
		from := whole.others.slowFrom(phase)
		moments := j.moments(route, from)
		for i := -1; i < len(j.marks); i++ {
			var earlier comparison
			if i >= 0 {
				earlier = j.marks[i][route]
			}
			target, others := whole.target.since(earlier.target, from, phase), whole.others.since(earlier.others, from, phase)
			// Where the other versions had few requests in the same time, all that they had count.
			if others.n < minCompared {
				others = whole.others.since(nil, from, phase)
			}
			failed := verdict(route, "failed or were late", target.bad, target.n, tolerated(others.bad, others.n))
			rate := tolerated(others.slow, others.paced)
			slow := verdict(route, "were slow", target.slow, target.paced, rate)
			condemning := []*Verdict{failed, slow}
			if phase == Shifting {
				excess, lasted := excessSlow(moments, rate)
				slow = verdict(route, "were slow", target.slow-excess, target.paced, rate)
				// From a later mark on, a moment is no part of the whole any more.
				if condemning = []*Verdict{failed}; i <= 0 && lasted >= minSlowTime {
					condemning = append(condemning, slow)
				}
			}
			for _, v := range condemning {
				if v.LogRatio > worst.LogRatio {
					worst = v
				}
			}
			for _, v := range []*Verdict{failed, slow} {
				if i <= 0 && v.LogRatio > lasting.LogRatio {
					lasting = v
				}
			}
		}
	}
	return worst, lasting
}

// moment is a time in which attempts at the target have ended.
type moment struct {
	paced, slow int
	end         time.Duration
}

func (m moment) slowShare() float64 { return float64(m.slow) / float64(m.paced) }

// moments returns the moments of a route since the target has got all requests.
func (j *Judge) moments(route uint64, from int) (out []moment) {
	var before moment
	for i, l := range j.looks {
		paced, slow := l.counts[route].target.paces(from)
		if i == 0 {
			before = moment{paced, slow, l.at}
		}
		if paced-before.paced >= minMomentAttempts {
			out = append(out, moment{paced - before.paced, slow - before.slow, l.at})
			before = moment{paced, slow, l.at}
		}
	}
	return out
}

// excessSlow returns how many slow attempts of the moments are beyond what one moment may count: a
// pause of the machine or of the network strikes all requests of a moment, while a version that is
// slow is so in most of them. lasted is the time from the first to the last moment with more slow
// attempts than the rate.
func excessSlow(moments []moment, rate float64) (excess int, lasted time.Duration) {
	first, paced := time.Duration(-1), 0
	for _, m := range moments {
		paced += m.paced
		if m.slowShare() > rate {
			if first < 0 {
				first = m.end
			}
			lasted = m.end - first
		}
	}
	if len(moments) < minMoments {
		return 0, lasted
	}
	median, seen := 0.0, 0
	for _, m := range slices.SortedFunc(slices.Values(moments), func(a, b moment) int { return cmp.Compare(a.slowShare(), b.slowShare()) }) {
		if seen += m.paced; 2*seen >= paced {
			median = m.slowShare()
			break
		}
	}
	for _, m := range moments {
		excess += max(0, m.slow-momentSlowBase-int(momentSlowFactor*median*float64(m.paced)))
	}
	return excess, lasted
}

func verdict(route uint64, test string, bad, n int, rate float64) *Verdict {
	return &Verdict{Route: route, Test: test, Bad: bad, N: n, ToleratedRate: rate, LogRatio: logRatio(bad, n, rate)}
}

// Condemns reports whether the evidence suffices to roll back.
func (v *Verdict) Condemns() bool { return v.LogRatio >= -math.Log(errorBound) }

// Doubtful reports whether the evidence suffices not to go on.
func (v *Verdict) Doubtful() bool { return v.LogRatio >= -math.Log(doubtBound) }

// compare returns what is compared, by route; 0 stands for all routes.
func compare(totals *Totals) map[uint64]comparison {
	out := map[uint64]comparison{}
	for route, c := range totals.Target {
		others := totals.Others[route]
		if others == nil {
			others = &Counts{}
		}
		out[route] = comparison{c, others}
	}
	if len(out) > 1 {
		out[0] = comparison{sum(totals.Target), sum(totals.Others)}
	}
	return out
}

// since returns the sample of what was counted after the earlier counts, which may be nil. Paces
// from the given bucket on are slow.
func (c *Counts) since(earlier *Counts, from int, phase Phase) sample {
	if earlier == nil {
		earlier = &Counts{}
	}
	failed, late := c.Failed-earlier.Failed, c.Late-earlier.Late
	ended := c.Completed - earlier.Completed + failed
	// Half of the attempts in flight count as well: failures end sooner, so that the attempts that
	// end first are mostly bad ones when the target begins to get many.
	s := sample{n: max(ended+max(0, c.Sent-earlier.Sent-ended)/2, late), bad: failed}
	if phase == Observing {
		s.bad += late
	}
	if s.bad > 0 {
		s.bad = min(s.n, s.bad, c.cappedSince(earlier))
	}
	paced, slow := c.paces(from)
	pacedBefore, slowBefore := earlier.paces(from)
	s.paced, s.slow = paced-pacedBefore, slow-slowBefore
	return s
}

// paces returns how many paces are known, and how many of them are in the given bucket or above. c
// may be nil.
func (c *Counts) paces(from int) (paced, slow int) {
	if c == nil {
		return 0, 0
	}
	for i, n := range c.Pace {
		paced += n
		if i >= from {
			slow += n
		}
	}
	return paced, slow
}

// cappedSince returns the bad attempts after the earlier counts, of which each server counts only up
// to a multiple of the median server's: a few faulty servers are not the version.
func (c *Counts) cappedSince(earlier *Counts) (n int) {
	bad := make([]int, max(len(c.Bad), c.servers))
	i := 0
	for server, of := range c.Bad {
		bad[i] = of - earlier.Bad[server]
		i++
	}
	slices.Sort(bad)
	if len(bad) < minCappedServers {
		return c.Failed - earlier.Failed + c.Late - earlier.Late
	}
	most := serverBadBase + serverBadFactor*bad[len(bad)/2]
	for _, of := range bad {
		n += min(of, most)
	}
	return n
}

// slowFrom returns the first bucket of paces that counts as slow.
func (c *Counts) slowFrom(phase Phase) int {
	paced, median := 0, 0
	for _, n := range c.Pace {
		paced += n
	}
	for seen := 0; median < paceBuckets; median++ {
		if seen += c.Pace[median]; 2*seen >= paced && paced > 0 {
			break
		}
	}
	slower := slowBuckets
	if phase == Shifting {
		slower = slowBucketsShifting
	}
	return max(median+slower, paceBucket(minSlowPace)+1)
}

func sum(groups map[uint64]*Counts) *Counts {
	out := &Counts{Bad: map[uint32]int{}}
	for _, c := range groups {
		out.Sent, out.Completed, out.Failed, out.Late = out.Sent+c.Sent, out.Completed+c.Completed, out.Failed+c.Failed, out.Late+c.Late
		for i, n := range c.Pace {
			out.Pace[i] += n
		}
		for server, n := range c.Bad {
			out.Bad[server] += n
		}
		out.servers = max(out.servers, c.servers)
	}
	return out
}

// tolerated returns the rate of bad attempts that the target may have if other versions had bad
// among n.
func tolerated(bad, n int) float64 {
	return min(0.9, badTolerance+badFactor*float64(bad+priorBad)/float64(n+priorAttempts))
}

// logRatio returns the logarithm of the likelihood of bad among n attempts under a mixture of
// the alternatives, relative to that under the tolerated rate.
func logRatio(bad, n int, rate float64) float64 {
	if float64(bad) <= rate*float64(n) || n <= 0 {
		return 0
	}
	ratio := 0.0
	for _, more := range alternatives {
		p := min(0.99, rate+more)
		ratio += math.Exp(float64(bad)*math.Log(p/rate)+float64(n-bad)*math.Log((1-p)/(1-rate))) / float64(len(alternatives))
	}
	return min(math.Log(ratio), math.MaxFloat64)
}
