package catalog

import "time"

// RepeatPolicy says whether a request that may have run can be sent again.
type RepeatPolicy int

// Repeat policies of a route.
const (
	// Once: the request may run at most once each time the client sends it.
	Once RepeatPolicy = iota
	// Repeatable: the request may run any number of times.
	Repeatable
	// Stream: the response is a sequence of numbered events. The request may be
	// repeated only if the route's streams are resumable.
	Stream
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat RepeatPolicy
	// Timeout bounds the total time of a request, all attempts included.
	Timeout time.Duration
	// Target is the target latency of the response, or of the first event of a
	// stream.
	Target time.Duration
	// MaxGap is the target for the longest gap between two events of a stream.
	MaxGap time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// Split holds the route's services and their weights. A route without a
	// traffic split has a single entry.
	Split []Share
	// MaxAttempts is the maximum number of backend servers that a request is sent
	// to.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// Affinity is set if requests carry their prompt's prefix, so that they can be
	// placed by it.
	Affinity bool
	// Resumable is set if a broken stream can be resumed on another backend
	// server.
	Resumable bool
}

// Share is a service of a route with its weight.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Repeat == Repeatable || r.Repeat == Stream && r.Resumable
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that all routers
	// together open to one backend server.
	MaxConnections int
	// ColdTime is the length of a backend server's cold start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold server can take; 0
	// if the service's servers have no cold start.
	ColdRate float64
	// Engine is nil if the service runs no model engines.
	Engine *Engine
}

// Engine holds the parameters of a service's model engines.
type Engine struct {
	Slots int
	// CacheTokens is the capacity of the prompt cache in tokens.
	CacheTokens int
	// FetchesCache is set if an engine can fetch cached prompts from another
	// engine.
	FetchesCache bool
}

// Workspace is a customer's workspace with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
}

// Limits are the limits on the size of client requests, the time to send their
// headers, and the idle time of client connections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Set is one version of the whole configuration.
type Set struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	index *index
}
