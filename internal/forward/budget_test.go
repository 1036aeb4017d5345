package forward

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Every first attempt fails. All routers together must stay within the retry limits
// in every window, however the traffic is distributed over them.
func TestRetriesOfAllRoutersStayWithinBudget(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 5))
		routers := 1 + rng.IntN(12)
		budgets := make([]*retryBudget, routers)
		for i := range budgets {
			budgets[i] = &retryBudget{limits: limits}
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		start := time.Unix(1_700_000_000, 0)
		at := time.Duration(0)
		rate := 10 + rng.IntN(300)
		for at < 40*time.Second {
			at += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate))
			b := budgets[rng.IntN(routers)]
			b.recordRequest(start.Add(at))
			events = append(events, event{at: at})
			if b.allowRetry(routers, start.Add(at)) {
				events = append(events, event{at: at, retry: true})
			}
		}
		for i := range events {
			if !events[i].retry {
				continue
			}
			from := events[i].at
			requests, retries := 0, 0
			for _, e := range events[i:] {
				if e.at-from >= limits.Window {
					break
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			if limit := limits.Ratio*float64(requests) + limits.Slack; float64(retries) > limit {
				t.Fatalf("seed %d, %d routers: %d retries for %d requests in the window that starts at %s, limit %.0f", seed, routers, retries, requests, from, limit)
			}
		}
	}
}

func TestBudgetRecoversAfterWindow(t *testing.T) {
	b := &retryBudget{limits: RetryLimits{Ratio: 0, Slack: 10, Window: 10 * time.Second}}
	now := time.Unix(1_700_000_000, 0)
	n := 0
	for b.allowRetry(1, now) {
		n++
	}
	if n != 7 {
		t.Errorf("%d retries allowed, want 7: a slack of 10 and a usable fraction of 0.7", n)
	}
	if b.allowRetry(1, now.Add(5*time.Second)) {
		t.Error("a retry is allowed within the window although the budget is exhausted")
	}
	if !b.allowRetry(1, now.Add(11*time.Second)) {
		t.Error("no retry is allowed after the window")
	}
	if !b.allowRetry(1, now.Add(time.Hour)) {
		t.Error("no retry is allowed after an hour without requests")
	}
}
