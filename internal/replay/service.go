package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// returnGrace is the time after the return of a data centre that still counts as part of
// its move.
const returnGrace = 10 * time.Second

// Service summarises the results of callers in a part of the replay.
type Service struct {
	Requests int `json:"requests"`
	// Whole is the fraction of requests that ended with a complete response, or with
	// the information that the call had completed earlier.
	Whole float64 `json:"whole"`
	// P50 and P95 are percentiles of the time to the complete response in milliseconds.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	// CacheReuse is the fraction of prompt tokens found in prefix caches.
	CacheReuse float64 `json:"cacheReuse"`
}

// serviceCounter accumulates the figures of a Service.
type serviceCounter struct {
	requests, completed int
	total               *hdrhistogram.Histogram
	cached, prompt      int64
}

func newServiceCounter() *serviceCounter {
	return &serviceCounter{total: hdrhistogram.New(1, latencyMax, latencyDigits)}
}

func (t *serviceCounter) service() Service {
	s := Service{Requests: t.requests, P50: float64(t.total.ValueAtQuantile(50)) / 1000, P95: float64(t.total.ValueAtQuantile(95)) / 1000}
	if t.requests > 0 {
		s.Whole = float64(t.completed) / float64(t.requests)
	}
	if t.prompt > 0 {
		s.CacheReuse = float64(t.cached) / float64(t.prompt)
	}
	return s
}

// addService adds the service outside and during moves of data centres. Requests are
// assigned by the time at which they were first sent, runs by the time of their end.
func (r *Report) addService(o Observation) {
	moves := windows(o.Events, ActionDrain, ActionUndrain)
	counters := map[bool]*serviceCounter{false: newServiceCounter(), true: newServiceCounter()}
	sent := map[int]time.Time{}
	for _, e := range o.Exchanges {
		if at, ok := sent[e.Record]; !ok || e.Sent.Before(at) {
			sent[e.Record] = e.Sent
		}
	}
	for _, res := range o.Results {
		t := counters[duringMove(moves, sent[res.Record])]
		t.requests++
		if res.Final == FinalCompleted || res.Final == FinalAnswerNotKept {
			t.completed++
			_ = t.total.RecordValue(max(1, res.Total.Microseconds()))
		}
	}
	for _, e := range o.Ledger {
		if e.Event == standin.EventEnd {
			t := counters[duringMove(moves, e.Time())]
			t.cached += int64(e.CachedTokens)
			t.prompt += int64(e.PromptTokens)
		}
	}
	r.Quiet, r.Moving = counters[false].service(), counters[true].service()
}

func duringMove(moves []window, at time.Time) bool {
	for _, w := range moves {
		if at.After(w.from) && at.Before(w.to.Add(returnGrace)) {
			return true
		}
	}
	return false
}
