package admission

import "time"

// Instant is a moment on the process's monotonic clock.
type Instant = time.Duration

// Options are the times and factors of a Core that are not declared.
type Options struct {
	// StartWindow is how long after its grant a permit may be started.
	StartWindow time.Duration
	// Margin covers the way of a message and the spread of clocks.
	Margin time.Duration
	// MinSubset is the least number of servers over which a workspace spreads.
	MinSubset int
	// SubsetSlack is how many times the servers that its load needs a workspace gets.
	SubsetSlack float64
}

// DefaultOptions are the options that processes use.
func DefaultOptions() Options {
	return Options{
		StartWindow: time.Second,
		Margin:      500 * time.Millisecond,
		MinSubset:   8,
		SubsetSlack: 2,
	}
}

// Defaults of declared values, for sets that were not completed.
const (
	defaultMaxLoadFactor = 1.25
	defaultLoadFloor     = 2
	defaultColdRamp      = 30 * time.Second
	defaultMaxQueue      = 1000
	defaultSilenceLimit  = 3 * time.Second
	defaultEjectAfter    = 5
	defaultEjectTime     = 10 * time.Second
	defaultWeight        = 100
	defaultDeadline      = 120 * time.Second
)

// Retry-After bounds of refusals.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	noBackendWait = 2 * time.Second
)
