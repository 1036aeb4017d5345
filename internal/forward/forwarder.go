package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/drain"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/eventlog"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/memory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Options configures a Forwarder.
type Options struct {
	Protocol    Protocol
	View        *fleetview.View
	Fleet       *placement.Fleet
	Pool        *backend.Pool
	RetryLimits RetryLimits
	// MaxConfirmationAge is the maximum age of the last confirmation of the
	// configuration at which requests that need an API key are accepted, since the key
	// may have been revoked in the meantime. Beyond it, a missing route is not reported
	// as such either.
	MaxConfirmationAge time.Duration
	// Handoff passes requests on to other routers; nil if there is no way to.
	Handoff Handoff
	Log     hclog.Logger
	Metrics *telemetry.Registry
}

// Forwarder is the http.Handler for client requests. It is safe for concurrent use.
type Forwarder struct {
	opts               Options
	sampler            *eventlog.Sampler
	keepAlivesDisabled atomic.Bool
	inFlight           atomic.Int64
	startedAt          time.Time
	// requestBodies and responses are the memory of what is buffered.
	requestBodies, responses memory.Budget
	crashes                  *crashDetector
	prober                   *prober
	peers                    *handoff.Peers
	handoffPauses            handoffPauses
	drain                    drain.Gate

	mu           sync.Mutex
	retryBudgets map[string]*retryBudget
	roomQueues   map[string]*roomQueue
	numberings   map[string]*numbering
}

// logLinesPerSecond limits the log lines per second of each kind. It is above the
// rate at which a router usually logs.
const logLinesPerSecond = 60

// New returns a Forwarder.
func New(opts Options) *Forwarder {
	f := &Forwarder{opts: opts, startedAt: time.Now(), sampler: eventlog.NewSampler(logLinesPerSecond), retryBudgets: map[string]*retryBudget{}, roomQueues: map[string]*roomQueue{}, numberings: map[string]*numbering{}}
	f.requestBodies.Limit, f.responses.Limit = maxBufferedBytes, maxBufferedResponseBytes
	f.crashes = newCrashDetector(opts.Pool, f.reportCrash)
	f.prober = newProber(opts.Fleet, opts.Pool)
	f.peers = handoff.NewPeers()
	opts.Metrics.Gauge("forward.in_flight", f.inFlight.Load)
	opts.Metrics.Gauge("forward.body_bytes", f.requestBodies.Used)
	opts.Metrics.Gauge("forward.response_bytes", f.responses.Used)
	return f
}

// Stop tells that requests in flight will be cut at end. Until then those are taken that will
// most likely have ended by then, and every response asks the client to close its connection.
func (f *Forwarder) Stop(end time.Time) {
	f.keepAlivesDisabled.Store(true)
	f.drain.Stop(end)
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

const (
	// startupTime is how long a fleet takes to serve after all its processes start
	// together: the directory elects a leader and the routers fetch the
	// configuration.
	startupTime = 2 * time.Second
	// staleRetryAfter is the Retry-After of a router that is cut off from the
	// directory. By then the load balancer has moved its traffic to other routers.
	staleRetryAfter = time.Second
)

// notReadyError returns the error for a request that arrives while the router
// starts. Its Retry-After is the expected remainder of the startup time.
func (f *Forwarder) notReadyError(reason string) error {
	retryAfter := max(defaultRetryAfter, startupTime-time.Since(f.startedAt))
	return errkind.New(errkind.NotReady, "%s", reason).WithRetryAfter(retryAfter)
}

func (f *Forwarder) budgetFor(service string) *retryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retryBudgets[service]
	if b == nil {
		b = &retryBudget{limits: f.opts.RetryLimits}
		f.retryBudgets[service] = b
	}
	return b
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if a
// response that has been started cannot be completed, so that the client sees an
// aborted connection.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	x := f.newExchange(w, r)
	if f.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.serve()
	x.recordOutcome(err)
	if err == nil {
		if x.eventsSent > 0 {
			// The end of the stream is still to be written, maybe long after its last event.
			_ = x.rc.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		}
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
		x.discardBody()
	}
	writeError(w, f.opts.Protocol.IDHeader(), x.requestInfo.ID, err)
}

func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	// In this order: a later confirmation may be one of a later snapshot, which has other keys.
	confirmedAt := f.opts.View.ConfirmedAt()
	return &exchange{f: f, w: w, r: r, rc: http.NewResponseController(w), startedAt: time.Now(), confirmedAt: confirmedAt, view: f.opts.View.Snapshot()}
}

// Run checks which servers can be reached, until ctx is done.
func (f *Forwarder) Run(ctx context.Context) error { return f.prober.run(ctx) }

// numberingOf returns how a service numbers the events of its streams. The service is nil if it is
// not known here.
func (f *Forwarder) numberingOf(service *catalog.Service) *numbering {
	if service == nil {
		return &numbering{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.numberings[service.Name]
	if n == nil {
		n = &numbering{}
		f.numberings[service.Name] = n
	}
	return n
}

const (
	// discardTimeout and maxDiscardedBytes limit how much of a refused request's body is
	// read before the response.
	discardTimeout    = 200 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// discardBody reads the body of a request that is refused without it. A connection that
// is closed with unread bytes is reset, and the reset can overtake the response.
func (x *exchange) discardBody() {
	if x.r.ContentLength < 0 {
		return // Its framing may be invalid.
	}
	// Errors are ignored: the connection is closed after the response anyway.
	_ = x.rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, x.r.Body, maxDiscardedBytes)
}

// writeError responds with the status of the error's kind, and with Retry-After if
// a later retry makes sense.
func writeError(w http.ResponseWriter, idHeader, id string, err error) {
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
	// A write error means that the client has disconnected; there is nobody to
	// report it to.
	_, _ = w.Write([]byte(body))
}

// defaultRetryAfter is the Retry-After of errors that specify none.
const defaultRetryAfter = 500 * time.Millisecond
