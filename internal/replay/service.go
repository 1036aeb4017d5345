package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// returnTime is how long after its return a data centre still counts as moving.
const returnTime = 10 * time.Second

// Service sums up what callers got over a part of the replay.
type Service struct {
	Requests int `json:"requests"`
	// Whole is the part of requests that ended with a whole answer, or with the
	// word that the call had completed before.
	Whole float64 `json:"whole"`
	// P50 and P95 are of the time to the whole answer, in milliseconds.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	// CacheReuse is the part of prompt tokens found in prefix caches.
	CacheReuse float64 `json:"cacheReuse"`
}

// tally collects a Service.
type tally struct {
	requests, whole int
	total           *hdrhistogram.Histogram
	cached, prompt  int64
}

func newTally() *tally {
	return &tally{total: hdrhistogram.New(1, latencyMax, latencyDigits)}
}

func (t *tally) service() Service {
	s := Service{Requests: t.requests, P50: float64(t.total.ValueAtQuantile(50)) / 1000, P95: float64(t.total.ValueAtQuantile(95)) / 1000}
	if t.requests > 0 {
		s.Whole = float64(t.whole) / float64(t.requests)
	}
	if t.prompt > 0 {
		s.CacheReuse = float64(t.cached) / float64(t.prompt)
	}
	return s
}

// addService splits the requests by whether a data centre was moving when they
// were first sent, and the runs by when they ended.
func (r *Report) addService(o Observation) {
	moves := windows(o.Events, ActionDrain, ActionUndrain)
	tallies := map[bool]*tally{false: newTally(), true: newTally()}
	sent := map[int]time.Time{}
	for _, e := range o.Exchanges {
		if at, ok := sent[e.Record]; !ok || e.Sent.Before(at) {
			sent[e.Record] = e.Sent
		}
	}
	for _, res := range o.Results {
		t := tallies[isMoving(moves, sent[res.Record])]
		t.requests++
		if res.Final == FinalWhole || res.Final == FinalNotKept {
			t.whole++
			_ = t.total.RecordValue(max(1, res.Total.Microseconds()))
		}
	}
	for _, e := range o.Ledger {
		if e.Event == standin.EventEnd {
			t := tallies[isMoving(moves, e.Time())]
			t.cached += int64(e.CachedTokens)
			t.prompt += int64(e.PromptTokens)
		}
	}
	r.Quiet, r.Moving = tallies[false].service(), tallies[true].service()
}

func isMoving(moves []window, at time.Time) bool {
	for _, w := range moves {
		if at.After(w.from) && at.Before(w.to.Add(returnTime)) {
			return true
		}
	}
	return false
}
