package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// run is one attempt at one server under one permit.
type run struct {
	x       *exchange
	permit  Permit
	attempt string
	sending sending
	sentAt  time.Time
	// late is set by the gate when the start window has passed.
	late   bool
	result RunResult
}

func newRun(x *exchange, p Permit) *run {
	r := &run{x: x, permit: p, attempt: x.base + "-" + strconv.Itoa(x.attempts)}
	if x.claim != nil {
		r.attempt = x.claim.attempt
	}
	r.sending.mayStart = r.mayStart
	return r
}

// mayStart is asked immediately before the first byte.
func (r *run) mayStart() bool {
	r.late = r.permit.Started() != nil
	return !r.late
}

func (r *run) do() attemptResult {
	r.sentAt = time.Now()
	r.result.Outcome = errkind.Unknown
	defer func() {
		r.result.Duration = time.Since(r.sentAt)
		r.permit.Done(r.result)
	}()
	resp, err := r.x.d.transport.RoundTrip(r.request())
	if err != nil {
		return r.broken(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return r.receive(resp)
}

// request builds what is sent to the server.
func (r *run) request() *http.Request {
	x := r.x
	in := x.q.http
	h := requestHeader(in.Header, x.q.keyed)
	h[HeaderRequestID] = []string{x.id}
	h[HeaderAttempt] = []string{r.attempt}
	h[HeaderWorkspace] = []string{x.q.workspace}
	h[HeaderPriority] = []string{strconv.Itoa(int(x.q.route.priority))}
	h[HeaderDeadline] = []string{strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10)}
	if x.claim != nil {
		h[HeaderFence] = []string{strconv.FormatUint(x.claim.fence, 10)}
	}
	req := &http.Request{
		Method:     in.Method,
		URL:        &url.URL{Scheme: "http", Host: r.permit.Address(), Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Header:     h,
		Host:       r.permit.Address(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if len(x.q.body) > 0 {
		req.ContentLength = int64(len(x.q.body))
		req.Body, _ = x.body.reader()
		req.GetBody = x.body.reader
	}
	return req.WithContext(r.sending.trace(x.ctx))
}

// broken says what a round trip without an answer means.
func (r *run) broken(err error) attemptResult {
	if r.sending.mayHaveLeft() {
		return attemptResult{err: r.lost(err), mayHaveRun: true, again: true}
	}
	r.result.Outcome = errkind.NotRun
	if r.x.ctx.Err() != nil {
		return attemptResult{err: r.x.endedBeforeSending()}
	}
	if r.late {
		return attemptResult{err: errkind.New(errkind.StartTooLate, "the place at the server could not be used in time"), again: true}
	}
	return attemptResult{err: errkind.Wrap(err, errkind.Unreachable, "the backend server could not be reached"), again: true}
}

// lost is the error of a connection that broke after sending began.
func (r *run) lost(err error) error {
	switch {
	case errors.Is(r.x.ctx.Err(), context.DeadlineExceeded):
		return errkind.New(errkind.BackendTimeout, "the deadline passed while the request ran")
	case r.x.ctx.Err() != nil:
		return errkind.New(errkind.ClientGone, "the caller is gone")
	default:
		return errkind.Wrap(err, errkind.BackendLost, "the connection to the backend server broke")
	}
}

// receive takes an answer whose header has come.
func (r *run) receive(resp *http.Response) attemptResult {
	if resp.Header.Get(HeaderAttempt) != r.attempt {
		r.x.d.metrics.crossed.Inc(1)
		return attemptResult{err: errkind.New(errkind.BackendCrossed, "the server's answer named another attempt"), mayHaveRun: true, again: true}
	}
	if resp.Header.Get(HeaderRan) == ranNo {
		r.result.Outcome = errkind.NotRun
		stale := resp.Header.Get(HeaderStaleFence) != ""
		return attemptResult{err: refusedBy(resp), again: !stale}
	}
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return r.unreadable("the server switched protocols")
	case isEventStream(resp):
		return r.stream(resp, 0)
	case !isFramed(resp):
		return r.unreadable("the server's answer has no length")
	default:
		return r.whole(resp)
	}
}

func refusedBy(resp *http.Response) error {
	err := errkind.New(errkind.BackendRefused, "the server did not run the request")
	if s, convErr := strconv.Atoi(resp.Header.Get("Retry-After")); convErr == nil && s > 0 && s < maxRetryAfterSeconds {
		return err.WithRetryAfter(time.Duration(s) * time.Second)
	}
	return err
}

const maxRetryAfterSeconds = 3600

// unreadable is for answers that cannot be passed on safely.
func (r *run) unreadable(why string) attemptResult {
	return attemptResult{err: errkind.New(errkind.BackendLost, "%s", why), mayHaveRun: true, again: true}
}

// isFramed reports whether a cut of the answer would show.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// ended sets the permit's outcome for a whole answer.
func (r *run) ended(status int) errkind.Outcome {
	r.result.Outcome = outcomeOf(status)
	return r.result.Outcome
}

// drain reads to the end so that the connection can serve again.
func drain(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxDrainBytes) }

const maxDrainBytes = 4 << 10
