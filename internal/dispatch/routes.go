package dispatch

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/drain"
)

// Defaults for what a route or policy does not declare.
const (
	defaultPriority         = 5
	defaultDeadline         = 120 * time.Second
	defaultMaxWait          = 10 * time.Second
	defaultMaxBody          = 1 << 20
	defaultRetryRatio       = 0.1
	defaultMaxAttempts      = 3
	defaultClaimRetention   = 24 * time.Hour
	defaultMaxRecordedBytes = 16 << 10
)

// resolvedRoute is a declared route with its service and all defaults filled in.
type resolvedRoute struct {
	service    *config.Service
	path       string
	methods    []string
	repeatable bool
	priority   int32
	deadline   time.Duration
	maxWait    time.Duration
	maxBody    int64
}

// drainKey names the route among those whose requests are counted by how long they take.
func (r *resolvedRoute) drainKey() drain.Key {
	return drain.Key{Service: r.service.Name, Route: r.path}
}

// routeTable maps a method and path to a route. It is immutable.
type routeTable struct {
	set    *config.Set
	exact  map[string][]*resolvedRoute
	prefix []*resolvedRoute // longest first
}

// newRouteTable builds the table of the routes of all services of the set.
func newRouteTable(set *config.Set) *routeTable {
	t := &routeTable{set: set, exact: map[string][]*resolvedRoute{}}
	names := make([]string, 0, len(set.Services))
	for name := range set.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		svc := set.Services[name]
		for i := range svc.Routes {
			t.add(newResolvedRoute(svc, &svc.Routes[i]))
		}
	}
	sort.SliceStable(t.prefix, func(i, j int) bool { return len(t.prefix[i].path) > len(t.prefix[j].path) })
	return t
}

func (t *routeTable) add(route *resolvedRoute) {
	if strings.HasSuffix(route.path, "/") {
		t.prefix = append(t.prefix, route)
		return
	}
	t.exact[route.path] = append(t.exact[route.path], route)
}

// find returns the route for the exact path, otherwise the one with the longest
// matching prefix, or nil.
func (t *routeTable) find(method, path string) *resolvedRoute {
	for _, route := range t.exact[path] {
		if slices.Contains(route.methods, method) {
			return route
		}
	}
	for _, route := range t.prefix {
		if strings.HasPrefix(path, route.path) && slices.Contains(route.methods, method) {
			return route
		}
	}
	return nil
}

func newResolvedRoute(svc *config.Service, r *config.Route) *resolvedRoute {
	route := &resolvedRoute{
		service:    svc,
		path:       r.Path,
		methods:    r.Methods,
		repeatable: r.Repeatable,
		priority:   defaultPriority,
		deadline:   durationOrDefault(r.Deadline, defaultDeadline),
		maxWait:    durationOrDefault(r.MaxWait, defaultMaxWait),
		maxBody:    r.MaxBody,
	}
	if len(route.methods) == 0 {
		route.methods = []string{http.MethodPost}
	}
	if r.Priority != nil {
		route.priority = int32(*r.Priority)
	}
	if route.maxBody <= 0 {
		route.maxBody = defaultMaxBody
	}
	return route
}

func durationOrDefault(d config.Duration, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d.AsDuration()
}

// resolvedPolicy is a policy with all defaults filled in.
type resolvedPolicy struct {
	retryRatio       float64
	maxAttempts      int
	claimRetention   time.Duration
	maxRecordedBytes int
}

// resolvePolicy returns the workspace's policy if it has one, otherwise the
// service's.
func resolvePolicy(set *config.Set, svc *config.Service, ws *config.Workspace) resolvedPolicy {
	p := set.Policies[svc.Policy]
	if ws != nil && set.Policies[ws.Policy] != nil {
		p = set.Policies[ws.Policy]
	}
	if p == nil {
		p = &config.Policy{}
	}
	l := resolvedPolicy{
		retryRatio:       defaultRetryRatio,
		maxAttempts:      defaultMaxAttempts,
		claimRetention:   durationOrDefault(p.ClaimRetention, defaultClaimRetention),
		maxRecordedBytes: defaultMaxRecordedBytes,
	}
	if p.RetryRatio > 0 {
		l.retryRatio = min(p.RetryRatio, defaultRetryRatio)
	}
	if p.MaxAttempts > 0 {
		l.maxAttempts = p.MaxAttempts
	}
	if p.MaxKeptAnswer > 0 {
		l.maxRecordedBytes = p.MaxKeptAnswer
	}
	return l
}
