package forward

import (
	"sync"
	"time"
)

// RetryLimits limits the retries of all routers of a deployment together.
type RetryLimits struct {
	// Within any Window the number of retries is at most Ratio times the number of
	// requests, plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// bucketCount is the number of buckets that make up the sliding window.
	bucketCount = 10
	// usableFraction is the fraction of the limits that all routers together use. The
	// rest covers that the buckets only approximate a sliding window, and that the
	// number of routers is known with a delay.
	usableFraction = 0.7
)

// retryBudget counts one service's requests and retries at this router, and limits
// the retries to this router's share.
type retryBudget struct {
	limits      RetryLimits
	mu          sync.Mutex
	bucketStart time.Time
	current     int
	buckets     [bucketCount]struct{ requests, retries int }
}

func (b *retryBudget) advance(now time.Time) {
	width := b.limits.Window / bucketCount
	if b.bucketStart.IsZero() || now.Sub(b.bucketStart) > 2*b.limits.Window {
		b.bucketStart = now
		clear(b.buckets[:])
	}
	for now.Sub(b.bucketStart) >= width {
		b.bucketStart = b.bucketStart.Add(width)
		b.current = (b.current + 1) % bucketCount
		b.buckets[b.current].requests, b.buckets[b.current].retries = 0, 0
	}
}

func (b *retryBudget) recordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.buckets[b.current].requests++
}

// allowRetry reports whether this router's share of the budget allows a retry, and
// counts the retry if so.
func (b *retryBudget) allowRetry(routers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	if float64(retries+1) > usableFraction*(b.limits.Ratio*float64(requests)+b.limits.Slack/float64(routers)) {
		return false
	}
	b.buckets[b.current].retries++
	return true
}
