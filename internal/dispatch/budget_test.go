package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetHoldsAtEveryStep plays random arrivals against exact counts of the
// last 10 s and checks the bound at each attempt that the budget allowed.
func TestBudgetHoldsAtEveryStep(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 7))
		now := time.Unix(1000, 0).Add(time.Duration(r.Int64N(int64(time.Second))))
		var b budget
		var requests, extras []time.Time
		within := func(all []time.Time) (n int) {
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
				now = now.Add(time.Duration(r.Int64N(int64(25 * time.Second)))) // a silence
			}
			if r.IntN(2) == 0 {
				b.request(now)
				requests = append(requests, now)
				continue
			}
			if !b.allow(now, defaultRetryRatio) {
				continue
			}
			allowed++
			extras = append(extras, now)
			if n, x := within(requests), within(extras); float64(x) > defaultRetryRatio*float64(n) {
				t.Fatalf("seed %d: %d extra attempts on %d requests within 10 s", seed, x, n)
			}
		}
		if allowed == 0 {
			t.Errorf("seed %d: the budget allowed nothing", seed)
		}
	}
}

func TestBudgetUsesWhatItMay(t *testing.T) {
	var b budget
	now := time.Unix(1000, 0)
	for range 1000 {
		b.request(now)
	}
	allowed := 0
	for b.allow(now.Add(time.Second), defaultRetryRatio) {
		allowed++
	}
	if allowed != 100 {
		t.Errorf("%d extra attempts allowed on 1000 requests", allowed)
	}
	if b.allow(now.Add(budgetWindow+budgetBucket), defaultRetryRatio) {
		t.Error("requests older than the window still count")
	}
	b.request(now) // a clock that steps back must not break the counts
}
