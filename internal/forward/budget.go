package forward

import (
	"sync"
	"time"
)

// BudgetBounds are the deployment's bounds on repeated sends of all routers.
type BudgetBounds struct {
	// Ratio of repeats to requests, and Slack repeats more, within Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// budgetBuckets divide the window.
	budgetBuckets = 10
	// budgetMargin is the part of the bound that routers use together; windows
	// slide, and routers are counted with a delay.
	budgetMargin = 0.7
)

// budget counts one service's requests and repeats at this router.
type budget struct {
	bounds  BudgetBounds
	mu      sync.Mutex
	begun   time.Time
	at      int
	buckets [budgetBuckets]struct{ requests, repeats int }
}

func (b *budget) advance(now time.Time) {
	width := b.bounds.Window / budgetBuckets
	if b.begun.IsZero() || now.Sub(b.begun) > 2*b.bounds.Window {
		b.begun = now
		clear(b.buckets[:])
	}
	for now.Sub(b.begun) >= width {
		b.begun = b.begun.Add(width)
		b.at = (b.at + 1) % budgetBuckets
		b.buckets[b.at].requests, b.buckets[b.at].repeats = 0, 0
	}
}

func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.buckets[b.at].requests++
}

// allow takes one repeat, if this router's share of the budget has room.
func (b *budget) allow(routers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, repeats := 0, 0
	for _, k := range b.buckets {
		requests += k.requests
		repeats += k.repeats
	}
	if float64(repeats+1) > budgetMargin*(b.bounds.Ratio*float64(requests)+b.bounds.Slack/float64(routers)) {
		return false
	}
	b.buckets[b.at].repeats++
	return true
}
