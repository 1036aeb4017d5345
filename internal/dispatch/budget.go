package dispatch

import (
	"sync"
	"time"
)

const (
	budgetWindow  = 10 * time.Second
	budgetBucket  = 100 * time.Millisecond
	budgetBuckets = int(budgetWindow/budgetBucket) + 1
)

// budget bounds attempts beyond the first: whenever it allows one, the extra
// attempts of the last 10 s, this one included, are at most the ratio times the
// requests of the same 10 s. Requests are counted only in buckets that lie whole
// within the window, extra attempts also in the oldest, partly covered one, so
// the bound holds whatever the alignment. It is safe for concurrent use.
type budget struct {
	mu       sync.Mutex
	buckets  [budgetBuckets]budgetCount
	newest   int64 // number of the newest bucket since the epoch of the clock
	requests int64
	extras   int64
}

type budgetCount struct{ requests, extras int64 }

// request counts one request, whose first attempt needs no leave.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.buckets[b.slot(b.newest)].requests++
	b.requests++
}

// allow takes leave for one attempt beyond a request's first.
func (b *budget) allow(now time.Time, ratio float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	oldest := b.buckets[b.slot(b.newest-int64(budgetBuckets)+1)]
	if float64(b.extras+1) > ratio*float64(b.requests-oldest.requests) {
		return false
	}
	b.buckets[b.slot(b.newest)].extras++
	b.extras++
	return true
}

func (b *budget) slot(n int64) int {
	return int(((n % int64(budgetBuckets)) + int64(budgetBuckets)) % int64(budgetBuckets))
}

// advance empties the buckets that have left the window. A clock that steps
// back counts in the newest bucket.
func (b *budget) advance(now time.Time) {
	n := now.UnixNano() / int64(budgetBucket)
	if n <= b.newest {
		return
	}
	for i := max(b.newest+1, n-int64(budgetBuckets)+1); i <= n; i++ {
		c := &b.buckets[b.slot(i)]
		b.requests -= c.requests
		b.extras -= c.extras
		*c = budgetCount{}
	}
	b.newest = n
}
