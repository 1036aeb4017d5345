package admission

import "time"

// Instant is a time on the process's monotonic clock.
type Instant = time.Duration

// Options are the parameters of a Core that are not part of the declared
// configuration.
type Options struct {
	// StartWindow is how long after its grant a permit may be started.
	StartWindow time.Duration
	// Margin covers the delay of a message and the difference between clocks.
	Margin time.Duration
	// MinSubset is the minimum number of servers in a workspace's subset.
	MinSubset int
	// SubsetSlack is the ratio of a workspace's subset to the number of servers
	// that its load needs.
	SubsetSlack float64
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		StartWindow: time.Second,
		Margin:      500 * time.Millisecond,
		MinSubset:   8,
		SubsetSlack: 2,
	}
}

// Defaults of declared values, for configurations without defaults filled in.
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

// Bounds of a refusal's retry-after, and its value where the wait for a slot cannot
// be estimated.
const (
	minRetryAfter       = 250 * time.Millisecond
	maxRetryAfter       = 60 * time.Second
	noBackendRetryAfter = 2 * time.Second
)
