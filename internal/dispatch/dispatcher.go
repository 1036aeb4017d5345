package dispatch

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Dispatcher is the callers' http.Handler. It is safe for concurrent use.
type Dispatcher struct {
	opts      Options
	limits    Limits
	transport *http.Transport
	side      *sideCalls
	budget    budget
	routes    atomic.Pointer[routeTable]
	draining  atomic.Bool
	closing   atomic.Bool
	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	metrics   *meters
	// unsettled counts claims whose outcome the server is still being asked for.
	unsettled sync.WaitGroup
	closed    chan struct{}
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
		metrics:   newMeters(opts.Metrics),
		closed:    make(chan struct{}),
	}
	d.side = newSideCalls(d.transport)
	opts.Metrics.Gauge("dispatch.in_flight", d.inFlight.Load)
	opts.Metrics.Gauge("dispatch.body_bytes", d.bodyBytes.Load)
	return d
}

// CloseConnections asks callers, with every later answer, to close their
// connections, so that they come back through another router.
func (d *Dispatcher) CloseConnections() { d.closing.Store(true) }

// Drain makes every later request be refused as not run.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// InFlight returns the number of requests being handled.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Close settles the claims of unknown outcome as such and ends idle connections.
// It must be called once, when no request is in flight.
func (d *Dispatcher) Close() {
	close(d.closed)
	d.unsettled.Wait()
	d.transport.CloseIdleConnections()
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler when an
// answer that has begun cannot be finished, so that the caller sees a break.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{d: d, w: w, rc: http.NewResponseController(w), began: d.opts.Now()}
	err := d.serve(x, r)
	d.metrics.done(err, d.opts.Now().Sub(x.began))
	if err == nil {
		return
	}
	d.log(x, r, err)
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	if !x.bodyRead && r.ContentLength != 0 {
		// Without this, net/http reads the rest of the body before it answers.
		w.Header().Set("Connection", "close")
	}
	writeRefusal(w, x.shownID(), err)
}

func (d *Dispatcher) log(x *exchange, r *http.Request, err error) {
	row := errkind.Lookup(errkind.Of(err))
	d.opts.Log.Log(row.Level, "request not completed", "request", x.shownID(), "method", r.Method,
		"path", r.URL.EscapedPath(), "kind", row.Kind, "outcome", row.Outcome, "attempts", x.attempts, "error", err)
}

func (d *Dispatcher) serve(x *exchange, r *http.Request) error {
	x.base = newBaseID(r.Header.Get(HeaderWorkspace))
	if d.draining.Load() {
		return errkind.New(errkind.ShuttingDown, "this router is shutting down; send the request again")
	}
	if !r.ProtoAtLeast(1, 1) {
		return errkind.New(errkind.BadRequest, "HTTP/1.1 is needed: a break of an answer would not show otherwise")
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
		return errkind.New(errkind.NoRoute, "no service takes %s on this path", r.Method)
	}
	return d.serveRoute(x, set, route, r)
}

func (d *Dispatcher) serveRoute(x *exchange, set *config.Set, route *treatment, r *http.Request) error {
	defer x.releaseBody()
	body, err := d.readBody(x, route, r)
	if err != nil {
		return err
	}
	if x.q, err = mapRequest(set, route, r, body, x.base); err != nil {
		return err
	}
	if x.q.workspace != r.Header.Get(HeaderWorkspace) {
		x.base = newBaseID(x.q.workspace) // the body named the workspace
	}
	x.body = newSentBody(x.q.body)
	d.budget.request(d.opts.Now())
	if x.q.key != "" {
		return x.runOnce(r)
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(r.Context(), route.deadline)
	defer cancel()
	x.deadline = x.began.Add(route.deadline)
	return x.run()
}

// table returns the route table of the set, built once per set.
func (d *Dispatcher) table(set *config.Set) *routeTable {
	if t := d.routes.Load(); t != nil && t.set == set {
		return t
	}
	t := newRouteTable(set)
	d.routes.Store(t)
	return t
}
