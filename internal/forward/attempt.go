package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httphead"
	"github.com/kumquathollow/kumquathollow/internal/placement"
)

const (
	// maxAnswerBytes bounds an answer that is held to be checked as a whole.
	maxAnswerBytes = 8 << 20
	// slowAnswer is the multiple of the target after which an idempotent request
	// is sent to another server while there is time.
	slowAnswer = 3
	// leastPatience bounds that from below: a connection between data centres
	// opens and answers well within it.
	leastPatience = 300 * time.Millisecond
	// connectionMargin is the part of a server's connections that routers use.
	connectionMargin = 0.8
	// refusedRetry is the advice after a server refused for lack of room.
	refusedRetry = 200 * time.Millisecond
)

func itoa(n int) string { return strconv.Itoa(n) }

// attempt sends the request to one server.
func (x *exchange) attempt(place *placement.Place) result {
	sentAt := time.Now()
	res := x.try(place, sentAt)
	latency := time.Since(sentAt)
	if x.firstEvent > 0 {
		latency = x.began.Add(x.firstEvent).Sub(sentAt)
	}
	if x.r.Context().Err() != nil {
		res.outcome = placement.Neutral
		res.err = errkind.New(errkind.ClientGone, "the client left")
	}
	place.Done(res.outcome, latency, time.Now())
	return res
}

func (x *exchange) try(place *placement.Place, sentAt time.Time) result {
	ctx, cancel := x.patience()
	defer cancel()
	resp, err := x.f.opts.Pool.Do(ctx, x.target(place), x.request(place, sentAt))
	if err != nil {
		return x.unanswered(err)
	}
	defer resp.Close()
	x.sends++
	a := x.f.opts.Protocol.Answer(resp.Response)
	if a.Load != nil {
		place.Reported(*a.Load, time.Now())
	}
	switch {
	case a.OtherInstance:
		return result{err: errkind.New(errkind.BackendRefused, "another server has the address of %q", place.ID), sent: true, again: true, outcome: placement.Unreachable}
	case a.NotExecuted:
		return x.notExecuted(place, resp)
	case resp.StatusCode == http.StatusSwitchingProtocols || resp.Header.Get("Content-Encoding") != "":
		return x.unusable("the answer of server %q is not in the form that was asked for", place.ID)
	case resp.StatusCode < 300 && (a.ID != x.call.ID || !a.Signed):
		return x.unusable("the success of server %q does not name the request or is not signed", place.ID)
	case saysNotRun(resp.StatusCode):
		return x.unusable("server %q answered %d without stating that it did not run the request", place.ID, resp.StatusCode)
	case resp.StatusCode < 300 && isEventStream(resp.Header):
		return x.stream(place, resp)
	}
	return x.whole(place, resp, a)
}

// saysNotRun reports whether clients read the status as a statement that the
// request has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// patience bounds an attempt that another one may follow.
func (x *exchange) patience() (context.Context, context.CancelFunc) {
	left := time.Until(x.deadline)
	if !x.route.Idempotent() || isStreaming(x) || x.sends+1 >= x.route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	return context.WithTimeout(x.ctx, min(left, max(leastPatience, slowAnswer*x.route.Target)))
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func (x *exchange) target(place *placement.Place) backend.Target {
	t := backend.Target{ID: place.ID + "/" + strconv.FormatInt(place.Born, 10), Address: place.Address}
	if n := x.service.MaxConnections; n > 0 {
		t.MaxConnections = max(1, int(connectionMargin*float64(n))/x.f.opts.Fleet.Routers())
	}
	return t
}

func (x *exchange) request(place *placement.Place, now time.Time) *backend.Request {
	h := make(http.Header, len(x.r.Header)+4)
	httphead.CopyEndToEnd(h, x.r.Header, "")
	delete(h, "Content-Length")
	o := Outgoing{
		Instance: place.ID, Patience: x.deadline.Sub(now), Priority: x.route.Priority,
		LastEvent: x.call.LastEvent, HasLastEvent: x.call.HasLastEvent,
	}
	if x.workspace != nil {
		o.Workspace = x.workspace.Name
		if x.workspace.Priority != nil {
			o.Priority = *x.workspace.Priority
		}
	}
	if place.Source != nil && x.service.Engine != nil && x.service.Engine.Fetches {
		o.Source = place.Source.Address
	}
	if x.lastEvent != "" {
		o.LastEvent, o.HasLastEvent = x.lastEvent, true
	}
	x.f.opts.Protocol.Outgoing(h, o)
	target := x.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.r.URL.RequestURI()
	}
	return &backend.Request{
		Method: x.r.Method, Target: target, Host: x.r.Host, Header: h, Body: x.body,
		HasBody: x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != "",
		ID:      x.call.ID, IDHeader: x.f.opts.Protocol.IDHeader(), Fragile: !x.route.Idempotent(),
	}
}

// unanswered says what an exchange without an answer means.
func (x *exchange) unanswered(err error) result {
	if !backend.Sent(err) {
		x.dials++
		res := result{err: errkind.Wrap(err, errkind.NoBackend, "the server could not be reached").WithRetryAfter(refusedRetry), again: true, outcome: placement.Unreachable}
		if errkind.Is(err, errkind.QueueFull) {
			res.outcome = placement.Neutral
		}
		return res
	}
	x.sends++
	return result{err: err, sent: true, mayHaveRun: true, again: true, outcome: placement.Bad}
}

func (x *exchange) notExecuted(place *placement.Place, resp *backend.Response) result {
	// The body only matters for keeping the connection.
	_, _ = resp.ReadAll(maxAnswerBytes)
	if resp.StatusCode == http.StatusBadRequest {
		return result{err: errkind.New(errkind.BadRequest, "server %q refused the request as malformed", place.ID), sent: true, outcome: placement.Neutral}
	}
	err := errkind.New(errkind.BackendRefused, "server %q refused the request with status %d", place.ID, resp.StatusCode).WithRetryAfter(refusedRetry)
	return result{err: err, sent: true, again: true, outcome: placement.Bad}
}

// unusable is for answers that belong to nobody.
func (x *exchange) unusable(format string, args ...any) result {
	return result{err: errkind.New(errkind.BackendCrossed, format, args...), sent: true, mayHaveRun: true, again: true, outcome: placement.Bad}
}

// whole takes an answer that is not a stream.
func (x *exchange) whole(place *placement.Place, resp *backend.Response, a Answer) result {
	body, err := resp.ReadAll(maxAnswerBytes)
	if err != nil {
		return result{err: err, sent: true, mayHaveRun: true, again: true, outcome: placement.Bad}
	}
	if !resp.Framed() && !a.Signed {
		return x.unusable("the answer of server %q has neither a length nor a signature", place.ID)
	}
	ans := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= 500 && x.route.Idempotent() {
		x.failure = ans
		return result{err: errkind.New(errkind.BackendFailed, "server %q failed with status %d", place.ID, resp.StatusCode), sent: true, mayHaveRun: true, again: true, outcome: placement.Bad}
	}
	outcome := placement.Good
	if resp.StatusCode >= 500 {
		outcome = placement.Bad
	}
	return result{err: x.pass(ans), sent: true, mayHaveRun: true, outcome: outcome}
}
