package catalog

import "time"

// Repeat says what may be done with a request that may have run.
type Repeat int

// The kinds of request.
const (
	// Once is a request that may run at most once for each attempt of the client.
	Once Repeat = iota
	// Repeatable is a request that may run any number of times.
	Repeatable
	// Stream is a request whose answer is a series of numbered events. It is
	// repeatable only where the route allows resumption.
	Stream
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Timeout is the longest time that a request may take in all.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event, is on time.
	Target time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Split holds the services and their weights; one entry for a plain route.
	Split []Share
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Affinity is set where requests carry prompt prefixes.
	Affinity bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Share is one service of a route and its weight.
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
	// MaxConnections bounds the connections to one backend server from all routers.
	MaxConnections int
	// ColdTime is how long a backend server stays cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold server bears; 0 if
	// the service's servers do not start cold.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine holds the figures of a service's model engines.
type Engine struct {
	Slots int
	// CacheTokens is the memory for prompts in tokens.
	CacheTokens int
	// Fetches is set if an engine can fetch a prompt's cache from another.
	Fetches bool
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's if it is set.
	Priority *int
}

// Limits bound what a client may send and how long it may be idle.
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
