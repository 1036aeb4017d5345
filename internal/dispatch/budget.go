package dispatch

import (
	"sync"
	"time"
)

const (
	budgetWindow      = 10 * time.Second
	budgetBucketWidth = 100 * time.Millisecond
	budgetBucketCount = int(budgetWindow/budgetBucketWidth) + 1
)

// retryBudget limits retries: whenever it allows one, the retries of the last 10
// seconds, this one included, are at most the ratio times the requests of the
// same 10 seconds. Requests are counted only in buckets that lie entirely within
// the window, retries also in the oldest, partly covered one, so the limit holds
// for any alignment of the buckets. It is safe for concurrent use.
type retryBudget struct {
	mu           sync.Mutex
	buckets      [budgetBucketCount]bucketCounts
	newestBucket int64 // number of the newest bucket, counted from the Unix epoch
	requests     int64
	retries      int64
}

type bucketCounts struct{ requests, retries int64 }

// recordRequest counts one request. Its first attempt needs no budget.
func (b *retryBudget) recordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.buckets[b.bucketIndex(b.newestBucket)].requests++
	b.requests++
}

// allowRetry reports whether the budget allows a retry, and counts the retry if
// so.
func (b *retryBudget) allowRetry(now time.Time, ratio float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	oldest := b.buckets[b.bucketIndex(b.newestBucket-int64(budgetBucketCount)+1)]
	if float64(b.retries+1) > ratio*float64(b.requests-oldest.requests) {
		return false
	}
	b.buckets[b.bucketIndex(b.newestBucket)].retries++
	b.retries++
	return true
}

func (b *retryBudget) bucketIndex(n int64) int {
	return int(((n % int64(budgetBucketCount)) + int64(budgetBucketCount)) % int64(budgetBucketCount))
}

// advance clears the buckets that have left the window. If the clock steps back,
// events count in the newest bucket.
func (b *retryBudget) advance(now time.Time) {
	n := now.UnixNano() / int64(budgetBucketWidth)
	if n <= b.newestBucket {
		return
	}
	for i := max(b.newestBucket+1, n-int64(budgetBucketCount)+1); i <= n; i++ {
		c := &b.buckets[b.bucketIndex(i)]
		b.requests -= c.requests
		b.retries -= c.retries
		*c = bucketCounts{}
	}
	b.newestBucket = n
}
