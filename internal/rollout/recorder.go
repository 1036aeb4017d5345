package rollout

import (
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// paceBuckets is the number of buckets of a histogram of paces, two for each doubling from 1 ms.
const paceBuckets = 32

func paceBucket(d time.Duration) int {
	ms := d.Seconds() * 1000
	if ms <= 1 {
		return 0
	}
	return min(paceBuckets-1, int(math.Ceil(2*math.Log2(ms))))
}

// Outcome is what came of an attempt.
type Outcome int

// Outcomes of attempts.
const (
	// Neutral attempts say nothing of the version: they did not run, or the client left.
	Neutral Outcome = iota
	Completed
	Failed
)

// Recorder counts the attempts of one router at each version of services with a running
// rollout. It is safe for concurrent use.
type Recorder struct {
	router string

	mu      sync.Mutex
	tallies map[string]*tally
}

type tally struct {
	number   uint64
	outcomes map[outcomeKey]*fleetpb.RolloutOutcomes
	longest  time.Duration
	changed  bool
}

type outcomeKey struct {
	route  uint64
	target bool
}

// NewRecorder returns a Recorder for the named router process.
func NewRecorder(router string) *Recorder {
	return &Recorder{router: router, tallies: map[string]*tally{}}
}

// Attempt is one attempt that is counted. Its methods do nothing if it is nil.
type Attempt struct {
	recorder       *Recorder
	tally          *tally
	key            outcomeKey
	server         uint32
	beganAt        time.Time
	paceKnown, bad bool
}

// Begin counts an attempt at a server of the service. It returns nil if r is no running rollout.
func (rec *Recorder) Begin(r *Rollout, route uint64, version string, server uint32, now time.Time) *Attempt {
	if r == nil || !r.Running() {
		return nil
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	t := rec.tallies[r.Service]
	if t == nil || t.number < r.Number {
		t = &tally{number: r.Number, outcomes: map[outcomeKey]*fleetpb.RolloutOutcomes{}}
		rec.tallies[r.Service] = t
	}
	a := &Attempt{recorder: rec, tally: t, key: outcomeKey{route, version == r.Target}, server: server, beganAt: now}
	a.outcomes().Sent++
	return a
}

// outcomes returns the counts that the attempt belongs to, and marks them as changed. The
// caller holds mu.
func (a *Attempt) outcomes() *fleetpb.RolloutOutcomes {
	a.tally.changed = true
	o := a.tally.outcomes[a.key]
	if o == nil {
		o = &fleetpb.RolloutOutcomes{Route: a.key.route, Target: a.key.target, Pace: make([]uint32, paceBuckets)}
		a.tally.outcomes[a.key] = o
	}
	return o
}

// recordBad counts the server of an attempt that failed or was late, once. The caller holds mu.
func (a *Attempt) recordBad(o *fleetpb.RolloutOutcomes) {
	if a.bad {
		return
	}
	a.bad = true
	for i, s := range o.FailedServers {
		if s == a.server {
			o.FailedCounts[i]++
			return
		}
	}
	o.FailedServers, o.FailedCounts = append(o.FailedServers, a.server), append(o.FailedCounts, 1)
}

// RecordPace counts the time per event of the attempt's stream, or the time of its whole
// response. Only the first call counts.
func (a *Attempt) RecordPace(d time.Duration) {
	if a == nil {
		return
	}
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	if !a.paceKnown {
		a.paceKnown = true
		a.outcomes().Pace[paceBucket(d)]++
	}
}

// RecordFirst counts the attempt as late if its first event or whole response, which came now or
// is still due, was wanted within target.
func (a *Attempt) RecordFirst(now time.Time, target time.Duration) {
	if a == nil || target <= 0 || now.Sub(a.beganAt) <= target {
		return
	}
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	o := a.outcomes()
	o.Late++
	a.recordBad(o)
}

// End counts the attempt's outcome.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	if a == nil {
		return
	}
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.tally.longest = max(a.tally.longest, now.Sub(a.beganAt))
	o := a.outcomes()
	switch outcome {
	case Completed:
		o.Completed++
	case Failed:
		o.Failed++
		a.recordBad(o)
	}
}

// Report returns the tallies that changed since the previous call, or all of them. A tally of a
// rollout that is not running any more, by the last one of its service, is forgotten.
func (rec *Recorder) Report(all bool, last func(service string) *Rollout) []*fleetpb.RolloutTally {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out []*fleetpb.RolloutTally
	for service, t := range rec.tallies {
		if r := last(service); r == nil || !r.Running() || r.Number > t.number {
			delete(rec.tallies, service)
			continue
		}
		if !t.changed && !all {
			continue
		}
		t.changed = false
		report := &fleetpb.RolloutTally{Router: rec.router, Service: service, Number: t.number, LongestMs: uint32(t.longest.Milliseconds())}
		for _, o := range t.outcomes {
			report.Outcomes = append(report.Outcomes, proto.Clone(o).(*fleetpb.RolloutOutcomes))
		}
		out = append(out, report)
	}
	return out
}
