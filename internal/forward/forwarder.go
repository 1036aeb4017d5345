package forward

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/eventlog"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Options configure a Forwarder.
type Options struct {
	Protocol Protocol
	View     *fleetview.View
	Fleet    *placement.Fleet
	Pool     *backend.Pool
	Budget   BudgetBounds
	// KeyAge is how old the confirmation of the configuration may be for a request
	// with a key; a key may have been taken away since.
	KeyAge  time.Duration
	Log     hclog.Logger
	Metrics *telemetry.Registry
}

// Forwarder is the clients' http.Handler. It is safe for concurrent use.
type Forwarder struct {
	opts     Options
	sampler  *eventlog.Sampler
	closing  atomic.Bool
	inFlight atomic.Int64
	began    time.Time
	// bodyBytes is the memory of the bodies that are held.
	bodyBytes atomic.Int64

	mu      sync.Mutex
	budgets map[string]*budget
}

// linesPerSecond bounds the log lines of each kind; it is above the usual rate of
// a router.
const linesPerSecond = 60

// New returns a Forwarder.
func New(opts Options) *Forwarder {
	f := &Forwarder{opts: opts, began: time.Now(), sampler: eventlog.NewSampler(linesPerSecond), budgets: map[string]*budget{}}
	opts.Metrics.Gauge("forward.in_flight", f.inFlight.Load)
	opts.Metrics.Gauge("forward.body_bytes", f.bodyBytes.Load)
	return f
}

// CloseConnections asks clients, with every later answer, to close their
// connections.
func (f *Forwarder) CloseConnections() { f.closing.Store(true) }

// maxHeldBodies bounds the memory of all bodies held, for VMs of a few hundred MB.
const maxHeldBodies = 64 << 20

// hold counts the memory of a body, or refuses it.
func (f *Forwarder) hold(n int64) error {
	if held := f.bodyBytes.Add(n); held > maxHeldBodies {
		f.bodyBytes.Add(-n)
		return errkind.New(errkind.QueueFull, "the bodies held take %d bytes already", held-n)
	}
	return nil
}

func (f *Forwarder) release(n int64) { f.bodyBytes.Add(-n) }

// InFlight returns the number of requests being handled.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

const (
	// startTime is how long a fleet that starts as a whole takes to serve: its
	// directory elects a leader and its routers fetch the configuration.
	startTime = 2 * time.Second
	// staleRetry is the advice of a router that is cut off: by then the balancer
	// has turned to others.
	staleRetry = time.Second
)

// notReady refuses a request while the router starts, with the time that is
// likely left.
func (f *Forwarder) notReady(why string) error {
	left := max(defaultRetryAfter, startTime-time.Since(f.began))
	return errkind.New(errkind.NotReady, "%s", why).WithRetryAfter(left)
}

func (f *Forwarder) budget(service string) *budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = &budget{bounds: f.opts.Budget}
		f.budgets[service] = b
	}
	return b
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler when an
// answer that has begun cannot be finished, so that the client sees a break.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := &exchange{f: f, w: w, r: r, rc: http.NewResponseController(w), began: time.Now(), view: f.opts.View.Snapshot()}
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.serve()
	x.finished(err)
	if err == nil {
		return
	}
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	if errkind.Is(err, errkind.ClientGone) {
		panic(http.ErrAbortHandler)
	}
	if !x.bodyRead && r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	refuse(w, f.opts.Protocol.IDHeader(), x.call.ID, err)
}

// refuse answers with the error's status, and when to come back.
func refuse(w http.ResponseWriter, idHeader, id string, err error) {
	row := errkind.Lookup(errkind.Of(err))
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if id != "" {
		h.Set(idHeader, id)
	}
	if row.Retry == errkind.RetryLater {
		after := defaultRetryAfter
		var e *errkind.Error
		if errors.As(err, &e) && e.RetryAfter > 0 {
			after = e.RetryAfter
		}
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	body := string(row.Kind) + ": " + row.Meaning + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(row.Status)
	// A client that is gone needs no answer.
	_, _ = w.Write([]byte(body))
}

// defaultRetryAfter is told when a refusal gives no time of its own.
const defaultRetryAfter = 500 * time.Millisecond
