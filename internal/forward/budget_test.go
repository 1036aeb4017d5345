package forward

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Pattern: every first attempt fails. All routers together keep the bound in every
// window, wherever the traffic goes.
func TestRepeatsOfAllRoutersStayWithinTheBudget(t *testing.T) {
	bounds := BudgetBounds{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 5))
		routers := 1 + rng.IntN(12)
		budgets := make([]*budget, routers)
		for i := range budgets {
			budgets[i] = &budget{bounds: bounds}
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		start := time.Unix(1_700_000_000, 0)
		at := time.Duration(0)
		rate := 10 + rng.IntN(300)
		for at < 40*time.Second {
			at += time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate))
			b := budgets[rng.IntN(routers)]
			b.request(start.Add(at))
			events = append(events, event{at: at})
			if b.allow(routers, start.Add(at)) {
				events = append(events, event{at: at, repeat: true})
			}
		}
		for i := range events {
			if !events[i].repeat {
				continue
			}
			from := events[i].at
			requests, repeats := 0, 0
			for _, e := range events[i:] {
				if e.at-from >= bounds.Window {
					break
				}
				if e.repeat {
					repeats++
				} else {
					requests++
				}
			}
			if bound := bounds.Ratio*float64(requests) + bounds.Slack; float64(repeats) > bound {
				t.Fatalf("seed %d, %d routers: %d repeats for %d requests from %s, bound %.0f", seed, routers, repeats, requests, from, bound)
			}
		}
	}
}

func TestABudgetComesBackAfterItsWindow(t *testing.T) {
	b := &budget{bounds: BudgetBounds{Ratio: 0, Slack: 10, Window: 10 * time.Second}}
	now := time.Unix(1_700_000_000, 0)
	n := 0
	for b.allow(1, now) {
		n++
	}
	if n != 7 {
		t.Errorf("%d repeats of a slack of 10 with a margin of 0.3", n)
	}
	if b.allow(1, now.Add(5*time.Second)) {
		t.Error("more within the window")
	}
	if !b.allow(1, now.Add(11*time.Second)) {
		t.Error("none after the window")
	}
	if !b.allow(1, now.Add(time.Hour)) {
		t.Error("none after a long pause")
	}
}
