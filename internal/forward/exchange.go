package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/httpguard"
	"github.com/kumquathollow/kumquathollow/internal/httphead"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// exchange is one client's request and its answer.
type exchange struct {
	f     *Forwarder
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	view  *fleetview.Snapshot
	began time.Time

	call      Call
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	body      []byte
	bodyRead  bool
	// held is the memory counted for the body.
	held     int64
	ctx      context.Context
	deadline time.Time
	key      uint64
	parts    []uint64
	spread   uint64
	// shared is the number of tokens of the prompt's shared parts.
	shared int

	// sends counts the servers that the request was sent to; dials those that it
	// could not be sent to.
	sends, dials int
	excluded     []string
	// ran is true once an attempt may have run.
	ran bool
	// failure is a server's own failure, to be passed on if nothing better comes.
	failure *answer

	headerSent bool
	// status is what the client was told; firstEvent when the first event left.
	status     int
	firstEvent time.Duration
	events     int
	lastEvent  string
	last       *placement.Place
}

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (x *exchange) serve() error {
	if err := httpguard.Check(x.r); err != nil {
		x.w.Header().Set("Connection", "close")
		return err
	}
	if err := x.admit(); err != nil {
		return err
	}
	defer func() { x.f.release(x.held) }()
	if err := x.readBody(); err != nil {
		return err
	}
	limit := x.route.Timeout
	if x.call.Patience > 0 {
		limit = min(limit, x.call.Patience)
	}
	x.deadline = x.began.Add(limit)
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.f.budget(x.service.Name).request(x.began)
	return x.run()
}

// admit finds the route, the workspace and the service.
func (x *exchange) admit() error {
	var err error
	if x.call, err = x.f.opts.Protocol.Call(x.r); err != nil {
		return err
	}
	set := x.view.Set
	if set == nil {
		return x.f.notReady("no configuration in force yet")
	}
	if bound := set.Limits.HeaderBytes; bound > 0 && httphead.Size(x.r) > bound {
		return errkind.New(errkind.HeadersTooLarge, "the request's line and headers are over %d bytes", bound)
	}
	age, confirmed := x.f.opts.View.Age()
	if !confirmed {
		return x.f.notReady("the configuration held is not confirmed yet")
	}
	fresh := age <= x.f.opts.KeyAge
	if x.route = set.Find(x.r.Host, x.r.URL.Path); x.route == nil {
		if !fresh {
			return x.stale(age)
		}
		return errkind.New(errkind.NoRoute, "no route for host %q and this path", x.r.Host)
	}
	if err := x.authenticate(set, fresh, age); err != nil {
		return err
	}
	x.spread = routing.Hash(x.call.ID)
	x.service = set.Service(x.route.Choose(float64(x.spread>>11) / (1 << 53)))
	if n := len(x.call.Prompt); x.route.Affinity && n > 0 {
		// The last part is the request's own; the one before it tells the session
		// or subject, and stands for the whole chain before it.
		for _, part := range x.call.Prompt[:max(1, n-1)] {
			x.parts = append(x.parts, routing.Hash(part.ID))
		}
		x.key = x.parts[len(x.parts)-1]
		for _, part := range x.call.Prompt[:n-1] {
			x.shared += part.Tokens
		}
	}
	return nil
}

func (x *exchange) stale(age time.Duration) error {
	return errkind.New(errkind.NotReady, "the configuration was last confirmed %s ago", age.Round(time.Millisecond)).WithRetryAfter(staleRetry)
}

func (x *exchange) authenticate(set *catalog.Set, fresh bool, age time.Duration) error {
	if len(set.Workspaces) == 0 {
		return nil
	}
	if x.call.Key != "" {
		x.workspace = set.KeyHolder(x.call.Key)
	}
	if x.route.Anonymous {
		return nil
	}
	if !fresh {
		return x.stale(age)
	}
	if x.workspace == nil {
		return errkind.New(errkind.Unauthenticated, "the key is not known")
	}
	return nil
}

func (x *exchange) readBody() error {
	bound := x.view.Set.Limits.BodyBytes
	if bound <= 0 {
		bound = defaultBodyBytes
	}
	if x.r.ContentLength > bound {
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", bound)
	}
	x.held = min(bound, usualBody)
	if x.r.ContentLength >= 0 {
		x.held = x.r.ContentLength
	}
	if err := x.f.hold(x.held); err != nil {
		x.held = 0
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, bound))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", bound)
	case err != nil && x.r.Context().Err() != nil:
		return errkind.New(errkind.ClientGone, "the client left before its request was read")
	case err != nil:
		return errkind.Wrap(err, errkind.BadRequest, "read the body")
	}
	x.body, x.bodyRead = body, true
	x.f.release(x.held - int64(len(body)))
	x.held = int64(len(body))
	return nil
}

// usualBody is counted for a body without a length until it has been read.
const usualBody = 64 << 10

// defaultBodyBytes bounds a body where the configuration gives no limit.
const defaultBodyBytes = 4 << 20

// maxDials bounds the servers that could not be reached for one request.
const maxDials = 4

// run makes attempts until the client has its answer or none may follow. It is
// the only place from which a request is sent again.
func (x *exchange) run() error {
	for {
		place, err := x.f.opts.Fleet.Pick(placement.Ask{Service: x.service, Key: x.key, Parts: x.parts, Shared: x.shared, Spread: x.spread, Exclude: x.excluded}, time.Now())
		if err != nil {
			return x.giveUp(err)
		}
		x.last = place
		res := x.attempt(place)
		if res.err == nil {
			return nil
		}
		x.ran = x.ran || res.mayHaveRun
		x.f.logAttempt(x, place, res)
		if x.ctx.Err() != nil || !res.again || !x.mayRepeat(res) {
			return x.giveUp(res.err)
		}
		x.excluded = append(x.excluded, place.ID)
		if res.sent && !x.f.budget(x.service.Name).allow(x.f.opts.Fleet.Routers(), time.Now()) {
			return x.giveUp(errkind.Wrap(res.err, errkind.RetryBudget, "the retry budget of service %q is spent", x.service.Name))
		}
	}
}

// result is what one attempt came to. A nil err means that the client has its
// answer.
type result struct {
	err error
	// sent is true unless no byte left.
	sent bool
	// mayHaveRun is true unless the attempt surely did not run.
	mayHaveRun bool
	// again is true if another server may do better.
	again   bool
	outcome placement.Outcome
}

// mayRepeat reports whether another attempt may follow.
func (x *exchange) mayRepeat(res result) bool {
	if x.sends >= x.route.MaxAttempts || x.dials >= maxDials {
		return false
	}
	if x.headerSent {
		return x.route.Resumable && x.lastEvent != ""
	}
	return !x.ran || x.route.Idempotent()
}

// giveUp returns the error that is true for the request as a whole, or passes a
// server's own failure on.
func (x *exchange) giveUp(err error) error {
	if x.headerSent {
		return err
	}
	if x.r.Context().Err() != nil {
		return errkind.New(errkind.ClientGone, "the client left")
	}
	if x.failure != nil {
		return x.pass(x.failure)
	}
	late := errors.Is(x.ctx.Err(), context.DeadlineExceeded)
	notRun := errkind.Lookup(errkind.Of(err)).Outcome == errkind.NotRun
	switch {
	case x.ran && late:
		return errkind.Wrap(err, errkind.BackendTimeout, "the deadline passed")
	case x.ran && notRun:
		return errkind.Wrap(err, errkind.BackendLost, "an attempt may have run, and no other followed")
	case !x.ran && late:
		return errkind.Wrap(err, errkind.DeadlineUnmeetable, "the deadline passed before the request ran")
	}
	return err
}

// pass sends a whole answer to the client.
func (x *exchange) pass(a *answer) error {
	httphead.CopyEndToEnd(x.w.Header(), a.header, "")
	x.w.Header().Set("Content-Length", itoa(len(a.body)))
	x.headerSent, x.status = true, a.status
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		return errkind.Wrap(err, errkind.ClientGone, "write the answer")
	}
	return nil
}
