package rollout

import (
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
}

// Mark has later attempts judged by themselves as well. The totals must not change afterwards.
func (j *Judge) Mark(totals *Totals) {
	j.marks = append(j.marks, compare(totals))
	if len(j.marks) > maxMarks {
		j.marks = slices.Delete(j.marks, 1, 2) // The first one is the beginning of the phase.
	}
}

// Reset forgets the marks: samples of another phase do not compare.
func (j *Judge) Reset() { j.marks = nil }

// Worst returns the strongest evidence against the target: over any time, and since the order or
// since the phase began.
func (j *Judge) Worst(totals *Totals, phase Phase) (worst, lasting *Verdict) {
	worst, lasting = &Verdict{}, &Verdict{}
	for route, whole := range compare(totals) {
		from := whole.others.slowFrom(phase)
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
			for _, v := range []*Verdict{
				{Route: route, Test: "failed or were late", Bad: target.bad, N: target.n, ToleratedRate: tolerated(others.bad, others.n)},
				{Route: route, Test: "were slow", Bad: target.slow, N: target.paced, ToleratedRate: tolerated(others.slow, others.paced)},
			} {
				if v.LogRatio = logRatio(v.Bad, v.N, v.ToleratedRate); v.LogRatio > worst.LogRatio {
					worst = v
				}
				if i <= 0 && v.LogRatio > lasting.LogRatio {
					lasting = v
				}
			}
		}
	}
	return worst, lasting
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
	for i := range c.Pace {
		n := c.Pace[i] - earlier.Pace[i]
		s.paced += n
		if i >= from {
			s.slow += n
		}
	}
	return s
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
