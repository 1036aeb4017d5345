package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
	"github.com/kumquathollow/kumquathollow/internal/placement"
)

const (
	// maxResponseBytes limits a response that is buffered until it is known to be
	// complete.
	maxResponseBytes = 8 << 20
	// attemptTimeoutFactor times the route's target latency is the timeout of an
	// attempt of an idempotent request, which is then retried at another backend
	// server if its deadline allows.
	attemptTimeoutFactor = 3
	// minAttemptTimeout is the lower bound of that timeout. Opening a connection to
	// another data centre and receiving a response take much less.
	minAttemptTimeout = 300 * time.Millisecond
	// connectionFraction is the fraction of a backend server's connection limit that
	// all routers together use.
	connectionFraction = 0.8
	// refusedRetryAfter is the Retry-After if a backend server was at capacity or
	// could not be reached.
	refusedRetryAfter = 200 * time.Millisecond
)

func itoa(n int) string { return strconv.Itoa(n) }

// attempt sends the request to one backend server and reports the outcome to
// placement.
func (x *exchange) attempt(picked *placement.PickResult) attemptResult {
	sentAt := time.Now()
	x.silence = x.f.prober.watchSilence(sentAt)
	defer func() { x.silence.Stop() }()
	x.counted = x.f.opts.View.BeginAttempt(x.service.Name, x.route.Name, picked.Version, picked.ID, sentAt)
	res := x.send(picked, sentAt)
	if res.err != nil {
		x.reportConfirming(false)
	}
	latency := time.Since(sentAt)
	if x.firstEvent > 0 {
		latency = x.startedAt.Add(x.firstEvent).Sub(sentAt)
	}
	if x.r.Context().Err() != nil {
		res.outcome = placement.Neutral
		res.err = errkind.New(errkind.ClientGone, "the client closed its connection during an attempt")
	}
	x.recordAttempt(x.counted, res, latency)
	picked.Done(res.outcome, latency, time.Now())
	x.f.roomQueueFor(x.service.Name).requestEnded()
	return res
}

func (x *exchange) send(picked *placement.PickResult, sentAt time.Time) attemptResult {
	ctx, cancel := x.attemptContext()
	defer cancel()
	resp, err := x.f.opts.Pool.Do(ctx, x.backendTarget(picked.Server), x.backendRequest(picked, sentAt))
	if errors.Is(err, backend.ErrNotSent) {
		return x.processNotConfirmed(picked, err)
	}
	if err != nil {
		return x.transportFailure(err)
	}
	defer resp.Close()
	x.sends++
	x.unframed, x.serverDeadline = resp.EndsWithConnection(), resp.Deadline
	if resp.Opened {
		picked.RecordOpened()
	}
	info := x.f.opts.Protocol.ParseResponse(resp.Response)
	if info.Load != nil {
		picked.RecordLoad(*info.Load, time.Now())
	}
	if !info.OtherInstance {
		x.recordNotice(picked, info, sentAt)
	}
	switch {
	case info.OtherInstance:
		return attemptResult{err: errkind.New(errkind.BackendRefused, "the address of server %q belongs to another incarnation now", picked.ID), sent: true, retryable: true, outcome: placement.Unreachable}
	case info.NotExecuted:
		return x.notExecuted(picked, resp, info)
	case resp.StatusCode == http.StatusSwitchingProtocols || resp.Header.Get("Content-Encoding") != "":
		return x.invalidResponse("the response of server %q switches protocols or has a content encoding, which the router does not support", picked.ID)
	case resp.StatusCode < 300 && (info.ID != x.requestInfo.ID || !info.Signed):
		return x.invalidResponse("the successful response of server %q does not name the request or is not signed", picked.ID)
	case impliesNotExecuted(resp.StatusCode):
		return x.invalidResponse("server %q responded with status %d but did not state that it did not run the request", picked.ID, resp.StatusCode)
	case x.lastEventID != "" && (resp.StatusCode != http.StatusOK || !httpheader.IsEventStream(resp.Header)):
		return x.streamNotContinued(picked, resp)
	case resp.StatusCode < 300 && httpheader.IsEventStream(resp.Header):
		return x.forwardStream(picked, resp)
	}
	return x.forwardResponse(picked, resp, info)
}

// impliesNotExecuted reports whether clients take the status to mean that the
// request has not run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// attemptContext returns the context of one attempt. It has a timeout of its own if
// the attempt can be followed by a retry. Streams have a timeout for each event
// instead.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	remaining := time.Until(x.deadline)
	if !x.route.Idempotent() || isStreaming(x) || x.sends+1 >= x.route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	return context.WithTimeout(x.ctx, min(remaining, max(minAttemptTimeout, attemptTimeoutFactor*x.route.Target)))
}

// backendTarget returns the target for a server with this router's share of its connections.
func (x *exchange) backendTarget(s *placement.Server) backend.Target {
	target := serverTarget(s)
	if n := x.service.MaxConnections; n > 0 {
		target.MaxConnections = max(1, int(connectionFraction*float64(n))/x.f.opts.Fleet.Routers())
	}
	return target
}

func (x *exchange) backendRequest(picked *placement.PickResult, now time.Time) *backend.Request {
	h := make(http.Header, len(x.r.Header)+4)
	httpheader.CopyEndToEnd(h, x.r.Header, "")
	delete(h, "Content-Length")
	o := BackendHeaders{
		Instance: picked.ID, Timeout: deadline.TimeoutFor(x.deadline.Sub(now)), Priority: x.route.Priority,
	}
	o.LastEventID, o.HasLastEventID = x.resumeAfter(picked)
	if x.workspace != nil {
		o.Workspace = x.workspace.Name
		if x.workspace.Priority != nil {
			o.Priority = *x.workspace.Priority
		}
	}
	if picked.CacheSource != nil && x.service.Engine != nil && x.service.Engine.FetchesCache {
		o.CacheSource = picked.CacheSource.Address
	}
	x.f.opts.Protocol.SetBackendHeaders(h, o)
	target := x.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.r.URL.RequestURI()
	}
	request := &backend.Request{
		Method: x.r.Method, Target: target, Host: x.r.Host, Header: h, Body: x.body,
		HasBody: x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != "",
		Kind:    x.route.Name,
		ID:      x.requestInfo.ID, IDHeader: x.f.opts.Protocol.IDHeader(), NonIdempotent: !x.route.Idempotent(), Timeout: o.Timeout,
		ReserveHead: x.reserveHead, OnConfirm: func() { x.reportConfirming(true) },
	}
	x.identify(request, picked, o)
	return request
}

// transportFailure classifies an error of the connection to a backend server that
// occurred before a response was received.
func (x *exchange) transportFailure(err error) attemptResult {
	if !backend.MayHaveBeenSent(err) {
		x.failedDials++
		res := attemptResult{err: errkind.Wrap(err, errkind.NoBackend, "could not obtain a connection to the server").WithRetryAfter(refusedRetryAfter), retryable: true, outcome: placement.Unreachable}
		if errkind.Is(err, errkind.QueueFull) {
			res.outcome = placement.Neutral
			return res
		}
		x.unreachable++
		x.f.prober.start()
		return res
	}
	x.sends++
	return attemptResult{err: err, sent: true, mayHaveRun: true, retryable: true, outcome: placement.Failure}
}

func (x *exchange) notExecuted(picked *placement.PickResult, resp *backend.Response, info ResponseInfo) attemptResult {
	resp.Discard(x.ctx)
	if resp.StatusCode == http.StatusBadRequest {
		return attemptResult{err: errkind.New(errkind.BadRequest, "server %q rejected the request as malformed", picked.ID), sent: true, outcome: placement.Neutral}
	}
	outcome := placement.Refused
	if info.Notice.StayAway > 0 {
		outcome = placement.Neutral // It gets no requests for as long as it asked, and needs no probe then.
	}
	retryAfter := x.f.opts.Fleet.RetryAfter(x.service.Name, x.requestHash, refusedRetryAfter, time.Now())
	err := errkind.New(errkind.BackendRefused, "server %q did not run the request and responded with status %d", picked.ID, resp.StatusCode).WithRetryAfter(retryAfter)
	return attemptResult{err: err, sent: true, retryable: true, outcome: outcome}
}

// recordNotice records, counts and logs what the server says of itself.
func (x *exchange) recordNotice(picked *placement.PickResult, info ResponseInfo, sentAt time.Time) {
	log := x.f.opts.Log
	if info.InvalidRetryAfter != "" {
		if suppressed, ok := x.f.sampler.Allow("invalid retry-after", time.Now()); ok {
			log.Warn("retry-after ignored", "server", picked.ID, "request", x.requestInfo.ID, "value", info.InvalidRetryAfter, "because", "it names no usable time", "left-out", suppressed)
		}
	}
	if info.InvalidLimit != "" {
		if suppressed, ok := x.f.sampler.Allow("invalid limit", time.Now()); ok {
			log.Warn("limit ignored", "server", picked.ID, "request", x.requestInfo.ID, "value", info.InvalidLimit, "because", "it names no usable rate", "left-out", suppressed)
		}
	}
	if info.InvalidRefusals != "" {
		if suppressed, ok := x.f.sampler.Allow("invalid refusals", time.Now()); ok {
			log.Warn("limit of refusals ignored", "server", picked.ID, "request", x.requestInfo.ID, "value", info.InvalidRefusals, "because", "it names no usable rate", "left-out", suppressed)
		}
	}
	if !picked.RecordNotice(info.Notice, sentAt, time.Now()) {
		return
	}
	if info.Notice.HasLimit {
		x.f.opts.Metrics.Counter("forward.notice.limit").Inc(1)
	}
	if info.Notice.HasRefusals {
		x.f.opts.Metrics.Counter("forward.notice.refusals").Inc(1)
	}
	if info.Notice.Leaving {
		x.f.opts.Metrics.Counter("forward.notice.leaving").Inc(1)
	}
	if info.Notice.StayAway > 0 {
		x.f.opts.Metrics.Counter("forward.notice.stay_away").Inc(1)
	}
	if suppressed, ok := x.f.sampler.Allow("server notice", time.Now()); ok {
		log.Info("server notice", "server", picked.ID, "born", picked.Born, "service", picked.Service, "request", x.requestInfo.ID,
			"leaving", info.Notice.Leaving, "for", info.Notice.StayAway,
			"limited", info.Notice.HasLimit, "per-second", info.Notice.Limit, "fails-by-refusing", info.Notice.HasRefusals, "refusals-per-second", info.Notice.Refusals, "left-out", suppressed)
	}
}

// invalidResponse returns the result for a response that cannot be attributed to
// the request and is dropped.
func (x *exchange) invalidResponse(format string, args ...any) attemptResult {
	return attemptResult{err: errkind.New(errkind.BackendCrossed, format, args...), sent: true, mayHaveRun: true, retryable: true, outcome: placement.Failure}
}

// streamNotContinued returns the result for a response that cannot follow the events that the
// client already has. It is dropped, whatever it says.
func (x *exchange) streamNotContinued(picked *placement.PickResult, resp *backend.Response) attemptResult {
	resp.Discard(x.ctx)
	outcome := placement.Neutral
	if resp.StatusCode >= 500 {
		outcome = placement.Failure
	}
	return attemptResult{
		err:  errkind.New(errkind.StreamBroken, "server %q did not continue the stream after event %q and responded with status %d", picked.ID, x.lastEventID, resp.StatusCode),
		sent: true, mayHaveRun: true, retryable: true, outcome: outcome,
	}
}

// forwardResponse buffers a response that is not a stream and relays it once it is
// complete.
func (x *exchange) forwardResponse(picked *placement.PickResult, resp *backend.Response, info ResponseInfo) attemptResult {
	body, err := resp.ReadAll(maxResponseBytes, x.reserveResponse)
	if err != nil {
		return attemptResult{err: err, sent: true, mayHaveRun: true, retryable: !errors.Is(err, deadline.ErrEnd), outcome: placement.Failure}
	}
	if !resp.Framed() && !info.Signed {
		return x.invalidResponse("the response of server %q has neither a length nor a signature", picked.ID)
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= 500 && x.route.Idempotent() {
		x.errorResponse = buffered
		return attemptResult{err: errkind.New(errkind.BackendFailed, "server %q failed with status %d", picked.ID, resp.StatusCode), sent: true, mayHaveRun: true, retryable: true, outcome: placement.Failure}
	}
	outcome := placement.Success
	if resp.StatusCode >= 500 {
		outcome = placement.Failure
	} else {
		x.f.opts.View.RecordSurvival(x.subjects)
	}
	return attemptResult{err: x.writeResponse(buffered), sent: true, mayHaveRun: true, outcome: outcome}
}
