package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetHoldsAtEveryStep compares the budget with exact counts of the last 10
// seconds for random arrivals, and checks the limit at each retry that the budget
// allowed.
func TestBudgetHoldsAtEveryStep(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 7))
		now := time.Unix(1000, 0).Add(time.Duration(r.Int64N(int64(time.Second))))
		var b retryBudget
		var requests, retries []time.Time
		countInWindow := func(all []time.Time) (n int) {
			for i := len(all) - 1; i >= 0 && now.Sub(all[i]) < budgetWindow; i-- {
				n++
			}
			return n
		}
		allowed := 0
		rate := time.Duration(1 + r.Int64N(int64(80*time.Millisecond)))
		for range 3000 {
			now = now.Add(time.Duration(r.Int64N(int64(rate))))
			if r.IntN(500) == 0 {
				now = now.Add(time.Duration(r.Int64N(int64(25 * time.Second)))) // an idle period
			}
			if r.IntN(2) == 0 {
				b.recordRequest(now)
				requests = append(requests, now)
				continue
			}
			if !b.allowRetry(now, defaultRetryRatio) {
				continue
			}
			allowed++
			retries = append(retries, now)
			if n, x := countInWindow(requests), countInWindow(retries); float64(x) > defaultRetryRatio*float64(n) {
				t.Fatalf("seed %d: %d retries for %d requests within 10 s", seed, x, n)
			}
		}
		if allowed == 0 {
			t.Errorf("seed %d: the budget allowed no retry", seed)
		}
	}
}

func TestBudgetAllowsTheFullRatio(t *testing.T) {
	var b retryBudget
	now := time.Unix(1000, 0)
	for range 1000 {
		b.recordRequest(now)
	}
	allowed := 0
	for b.allowRetry(now.Add(time.Second), defaultRetryRatio) {
		allowed++
	}
	if allowed != 100 {
		t.Errorf("%d retries allowed for 1000 requests, want 100", allowed)
	}
	if b.allowRetry(now.Add(budgetWindow+budgetBucketWidth), defaultRetryRatio) {
		t.Error("requests older than the window still count")
	}
	b.recordRequest(now) // a clock that steps back must not break the counts
}
