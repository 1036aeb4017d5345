package memory

import "sync/atomic"

// Budget limits the memory that requests use together. It is safe for concurrent use.
type Budget struct {
	// Limit is the most that may be reserved, in bytes.
	Limit int64
	used  atomic.Int64
}

// Reserve reserves n bytes, and reports whether the budget allows that.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.Limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }
