package dispatch

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

// Values in force where a route or policy declares none.
const (
	defaultPriority       = 5
	defaultDeadline       = 120 * time.Second
	defaultMaxWait        = 10 * time.Second
	defaultMaxBody        = 1 << 20
	defaultRetryRatio     = 0.1
	defaultMaxAttempts    = 3
	defaultClaimRetention = 24 * time.Hour
	defaultMaxKept        = 16 << 10
)

// treatment is one declared route with its service and all defaults filled in.
type treatment struct {
	service    *config.Service
	path       string
	methods    []string
	repeatable bool
	priority   int32
	deadline   time.Duration
	maxWait    time.Duration
	maxBody    int64
}

// routeTable finds a path's treatment. It is immutable.
type routeTable struct {
	set    *config.Set
	exact  map[string][]*treatment
	prefix []*treatment // longest first
}

// newRouteTable orders the routes of all services of the set.
func newRouteTable(set *config.Set) *routeTable {
	t := &routeTable{set: set, exact: map[string][]*treatment{}}
	names := make([]string, 0, len(set.Services))
	for name := range set.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		svc := set.Services[name]
		for i := range svc.Routes {
			t.add(newTreatment(svc, &svc.Routes[i]))
		}
	}
	sort.SliceStable(t.prefix, func(i, j int) bool { return len(t.prefix[i].path) > len(t.prefix[j].path) })
	return t
}

func (t *routeTable) add(tr *treatment) {
	if strings.HasSuffix(tr.path, "/") {
		t.prefix = append(t.prefix, tr)
		return
	}
	t.exact[tr.path] = append(t.exact[tr.path], tr)
}

// find returns the treatment of an exact path before that of the longest prefix,
// or nil.
func (t *routeTable) find(method, path string) *treatment {
	for _, tr := range t.exact[path] {
		if slices.Contains(tr.methods, method) {
			return tr
		}
	}
	for _, tr := range t.prefix {
		if strings.HasPrefix(path, tr.path) && slices.Contains(tr.methods, method) {
			return tr
		}
	}
	return nil
}

func newTreatment(svc *config.Service, r *config.Route) *treatment {
	tr := &treatment{
		service:    svc,
		path:       r.Path,
		methods:    r.Methods,
		repeatable: r.Repeatable,
		priority:   defaultPriority,
		deadline:   orDuration(r.Deadline, defaultDeadline),
		maxWait:    orDuration(r.MaxWait, defaultMaxWait),
		maxBody:    r.MaxBody,
	}
	if len(tr.methods) == 0 {
		tr.methods = []string{http.MethodPost}
	}
	if r.Priority != nil {
		tr.priority = int32(*r.Priority)
	}
	if tr.maxBody <= 0 {
		tr.maxBody = defaultMaxBody
	}
	return tr
}

func orDuration(d config.Duration, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d.D()
}

// limits are the policy's values with all defaults filled in.
type limits struct {
	retryRatio     float64
	maxAttempts    int
	claimRetention time.Duration
	maxKept        int
}

// limitsFor returns the workspace's policy before the service's.
func limitsFor(set *config.Set, svc *config.Service, ws *config.Workspace) limits {
	p := set.Policies[svc.Policy]
	if ws != nil && set.Policies[ws.Policy] != nil {
		p = set.Policies[ws.Policy]
	}
	if p == nil {
		p = &config.Policy{}
	}
	l := limits{
		retryRatio:     defaultRetryRatio,
		maxAttempts:    defaultMaxAttempts,
		claimRetention: orDuration(p.ClaimRetention, defaultClaimRetention),
		maxKept:        defaultMaxKept,
	}
	if p.RetryRatio > 0 {
		l.retryRatio = min(p.RetryRatio, defaultRetryRatio)
	}
	if p.MaxAttempts > 0 {
		l.maxAttempts = p.MaxAttempts
	}
	if p.MaxKeptAnswer > 0 {
		l.maxKept = p.MaxKeptAnswer
	}
	return l
}
