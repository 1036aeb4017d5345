package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// attempt is one attempt to run a request, at one server under one permit.
type attempt struct {
	x         *exchange
	permit    Permit
	attemptID string
	tracker   sendTracker
	sentAt    time.Time
	// startExpired is set if the permit's start window had passed when the first
	// byte was about to be sent.
	startExpired bool
	// serverTimeout is how long the server may work, as it was told; 0 if it was told nothing. startedAt is when the
	// first byte was about to be sent.
	serverTimeout time.Duration
	startedAt     atomic.Pointer[time.Time]
	// resumed is the server's deadline if another router has sent the request.
	resumed *deadline.Server
	result  RunResult
}

func newAttempt(x *exchange, p Permit) *attempt {
	r := &attempt{x: x, permit: p, attemptID: x.baseID + "-" + strconv.Itoa(x.attempts)}
	if x.claim != nil {
		r.attemptID = x.claim.attemptID
	}
	r.tracker.tryStart = r.tryStart
	return r
}

// tryStart is called immediately before the first byte is sent and reports
// whether it may be sent.
func (r *attempt) tryStart() bool {
	r.startExpired = r.permit.Start() != nil
	now := time.Now()
	r.startedAt.Store(&now)
	return !r.startExpired
}

// checkEnd makes the end of a response an error if the server may have stopped work there.
func (r *attempt) checkEnd(resp *http.Response) {
	if r.resumed != nil {
		r.resumed.CheckBody(resp, time.Now())
	} else if at := r.startedAt.Load(); at != nil {
		deadline.NewServer(*at, r.serverTimeout).CheckBody(resp, time.Now())
	}
}

func (r *attempt) execute() attemptResult {
	r.sentAt = time.Now()
	r.result.Outcome = errkind.Unknown
	defer func() {
		r.result.Duration = time.Since(r.sentAt)
		r.permit.Done(r.result)
	}()
	resp, err := r.x.d.transport.RoundTrip(r.backendRequest())
	if err != nil {
		return r.transportFailure(err)
	}
	r.checkEnd(resp)
	defer func() { _ = resp.Body.Close() }()
	return r.handleResponse(resp)
}

// backendRequest returns the request to send to the server.
func (r *attempt) backendRequest() *http.Request {
	x := r.x
	in := x.q.httpRequest
	h := backendRequestHeader(in.Header, x.q.apiKeyRequired)
	h[HeaderRequestID] = []string{x.requestID}
	h[HeaderAttempt] = []string{r.attemptID}
	h[HeaderWorkspace] = []string{x.q.workspace}
	h[HeaderPriority] = []string{strconv.Itoa(int(x.q.route.priority))}
	r.serverTimeout = deadline.TimeoutFor(time.Until(x.deadline))
	h[HeaderDeadline] = []string{strconv.FormatInt(r.serverTimeout.Milliseconds(), 10)}
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
	return req.WithContext(r.tracker.trace(x.ctx))
}

// transportFailure classifies an error of the connection that occurred before a
// response was received.
func (r *attempt) transportFailure(err error) attemptResult {
	if r.tracker.mayHaveSent() {
		return attemptResult{err: r.connectionLostError(err), mayHaveRun: true, retryable: true}
	}
	r.result.Outcome = errkind.NotRun
	if r.x.ctx.Err() != nil {
		return attemptResult{err: r.x.notSentError()}
	}
	if r.startExpired {
		return attemptResult{err: errkind.New(errkind.StartTooLate, "the permit's start window passed before the request could be sent to the server"), retryable: true}
	}
	return attemptResult{err: errkind.Wrap(err, errkind.Unreachable, "the request could not be sent to the backend server"), retryable: true}
}

// connectionLostError returns the error for a connection that broke after sending
// may have begun.
func (r *attempt) connectionLostError(err error) error {
	switch {
	case errors.Is(err, deadline.ErrEnd):
		r.x.d.metrics.endsAtDeadline.Inc(1)
		return errkind.Wrap(err, errkind.BackendTimeout, "the deadline passed while the request ran")
	case errors.Is(r.x.ctx.Err(), context.DeadlineExceeded):
		return errkind.New(errkind.BackendTimeout, "the deadline passed while the request ran")
	case r.x.ctx.Err() != nil:
		return errkind.New(errkind.ClientGone, "the client closed its connection during an attempt")
	default:
		return errkind.Wrap(err, errkind.BackendLost, "the connection to the backend server broke")
	}
}

// handleResponse handles a response whose header has been received.
func (r *attempt) handleResponse(resp *http.Response) attemptResult {
	if resp.Header.Get(HeaderAttempt) != r.attemptID {
		r.x.d.metrics.mismatchedResponses.Inc(1)
		return attemptResult{err: errkind.New(errkind.BackendCrossed, "the server's response does not name this attempt"), mayHaveRun: true, retryable: true}
	}
	if resp.Header.Get(HeaderRan) == ranNo {
		r.result.Outcome = errkind.NotRun
		stale := resp.Header.Get(HeaderStaleFence) != ""
		return attemptResult{err: refusalError(resp), retryable: !stale}
	}
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return r.invalidResponse("the server switched protocols")
	case !httpheader.IsFinalStatus(resp.StatusCode):
		return r.invalidResponse("the server's response has a status that HTTP does not have")
	case isEventStream(resp):
		return r.forwardStream(resp, 0)
	case !isFramed(resp):
		return r.invalidResponse("the server's response has no length, so a truncation could not be detected")
	default:
		return r.forwardResponse(resp)
	}
}

func refusalError(resp *http.Response) error {
	err := errkind.New(errkind.BackendRefused, "the server did not run the request")
	if s, convErr := strconv.Atoi(resp.Header.Get("Retry-After")); convErr == nil && s > 0 && s < maxRetryAfterSeconds {
		return err.WithRetryAfter(time.Duration(s) * time.Second)
	}
	return err
}

const maxRetryAfterSeconds = 3600

// invalidResponse returns the result for a response that cannot be relayed
// safely.
func (r *attempt) invalidResponse(reason string) attemptResult {
	return attemptResult{err: errkind.New(errkind.BackendLost, "%s", reason), mayHaveRun: true, retryable: true}
}

// isFramed reports whether a truncation of the response can be detected.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// recordOutcome sets the outcome in the permit's result for a complete response.
func (r *attempt) recordOutcome(status int) errkind.Outcome {
	r.result.Outcome = outcomeOf(status)
	return r.result.Outcome
}

// drainBody reads the rest of the body so that the connection can be reused.
func drainBody(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxDrainBytes) }

const maxDrainBytes = 4 << 10
