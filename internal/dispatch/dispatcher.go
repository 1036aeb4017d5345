package dispatch

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/drain"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Dispatcher is the http.Handler for client requests. It is safe for concurrent
// use.
type Dispatcher struct {
	opts               Options
	limits             Limits
	transport          *http.Transport
	backendClient      *backendClient
	budget             retryBudget
	routes             atomic.Pointer[routeTable]
	draining           atomic.Bool
	drain              drain.Gate
	closingConnections atomic.Bool
	inFlight           atomic.Int64
	bodyBytes          atomic.Int64
	metrics            *dispatcherMetrics
	// pendingClaims counts the claims whose outcome is still being queried from
	// the server.
	pendingClaims sync.WaitGroup
	closed        chan struct{}
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	d := &Dispatcher{
		opts:      opts,
		limits:    opts.Limits.WithDefaults(),
		transport: newTransport(),
		metrics:   newDispatcherMetrics(opts.Metrics),
		closed:    make(chan struct{}),
	}
	d.backendClient = newBackendClient(d.transport)
	opts.Metrics.Gauge("dispatch.in_flight", d.inFlight.Load)
	opts.Metrics.Gauge("dispatch.body_bytes", d.bodyBytes.Load)
	return d
}

// Stop tells that requests in flight will be cut at end. Until then those are accepted that will
// most likely have ended by then, and every response asks the client to close its connection, so
// that it reconnects through another router.
func (d *Dispatcher) Stop(end time.Time) {
	d.closingConnections.Store(true)
	d.drain.Stop(end)
}

// Drain makes the Dispatcher refuse every later request as not run.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// InFlight returns the number of requests that are being handled.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Close settles the claims whose outcome is still unknown as unknown and closes
// idle connections. It must be called once, when no request is in flight.
func (d *Dispatcher) Close() {
	close(d.closed)
	d.pendingClaims.Wait()
	d.transport.CloseIdleConnections()
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if a
// response that has begun cannot be completed, so that the client sees a broken
// connection instead of a response that looks complete.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.closingConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{d: d, w: w, rc: http.NewResponseController(w), startedAt: d.opts.Now()}
	err := d.serve(x, r)
	took := d.opts.Now().Sub(x.startedAt)
	d.metrics.recordRequest(err, took)
	if x.attempts > 0 && !errkind.Is(err, errkind.ClientGone) {
		d.drain.Record(x.q.route.drainKey(), took)
	}
	if err == nil {
		return
	}
	d.log(x, r, err)
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	if !x.bodyRead && r.ContentLength != 0 {
		// Otherwise net/http reads the rest of the body before it sends the response.
		w.Header().Set("Connection", "close")
	}
	writeRefusal(w, x.currentID(), err)
}

func (d *Dispatcher) log(x *exchange, r *http.Request, err error) {
	row := errkind.Lookup(errkind.Of(err))
	d.opts.Log.Log(row.Level, "request not completed", "request", x.currentID(), "method", r.Method,
		"path", r.URL.EscapedPath(), "kind", row.Kind, "outcome", row.Outcome, "attempts", x.attempts, "error", err)
}

func (d *Dispatcher) serve(x *exchange, r *http.Request) error {
	x.baseID = newBaseID(r.Header.Get(HeaderWorkspace))
	if d.draining.Load() {
		return errkind.New(errkind.ShuttingDown, "this router is shutting down; send the request again")
	}
	if !r.ProtoAtLeast(1, 1) {
		return errkind.New(errkind.BadRequest, "HTTP/1.1 is required: older versions cannot show that a response is truncated")
	}
	if err := checkTarget(r); err != nil {
		return err
	}
	set := d.opts.Config()
	if set == nil {
		return errkind.New(errkind.NotReady, "no configuration in force yet")
	}
	if strings.HasPrefix(r.URL.Path, ResumePath) && r.Method == http.MethodGet {
		return d.resume(x, set, r)
	}
	route := d.table(set).find(r.Method, r.URL.Path)
	if route == nil {
		return errkind.New(errkind.NoRoute, "no route for method %s and the request path", r.Method)
	}
	return d.serveRoute(x, set, route, r)
}

func (d *Dispatcher) serveRoute(x *exchange, set *config.Set, route *resolvedRoute, r *http.Request) error {
	defer x.releaseBody()
	body, err := d.readBody(x, route, r)
	if err != nil {
		return err
	}
	if x.q, err = mapRequest(set, route, r, body, x.baseID); err != nil {
		return err
	}
	x.deadline = x.startedAt.Add(route.deadline)
	x.baseID = newBaseIDWithDeadline(x.q.workspace, deadline.NewServer(x.startedAt, route.deadline).StopsAt())
	x.body = newRequestBody(x.q.body)
	if err := d.checkStopping(route); err != nil {
		return err
	}
	d.budget.recordRequest(d.opts.Now())
	if x.q.idempotencyKey != "" {
		return x.runClaimed(r)
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(r.Context(), route.deadline)
	defer cancel()
	return x.runAttempts()
}

// checkStopping returns an error if this router stops and a request of the route would most
// likely still run when it ends.
func (d *Dispatcher) checkStopping(route *resolvedRoute) error {
	now := d.opts.Now()
	if d.drain.Takes(route.drainKey(), route.repeatable, route.deadline, now) {
		return nil
	}
	return errkind.New(errkind.ShuttingDown, "this router stops in %s, and requests of route %s of service %s may take longer; send the request again", d.drain.Left(now).Round(time.Millisecond), route.path, route.service.Name)
}

// table returns the route table of set. It is built once per set.
func (d *Dispatcher) table(set *config.Set) *routeTable {
	if t := d.routes.Load(); t != nil && t.set == set {
		return t
	}
	t := newRouteTable(set)
	d.routes.Store(t)
	return t
}
