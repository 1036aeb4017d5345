package forward

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// minUnreachable is from how many unreachable servers on a request is handed off to
	// another router. One could have crashed.
	minUnreachable = 2
	// maxHandoffs limits the routers to which a request is handed off, one after the other.
	maxHandoffs = 2
)

// Handoff hands requests off to other routers.
type Handoff interface {
	// Addresses returns the routers that take over requests.
	Addresses() []string
	// Do hands a request off to the router at address and calls receive for each part of
	// the response.
	Do(ctx context.Context, address string, req *handoffpb.ExchangeRequest, receive func(handoff.Part) error) handoff.Result
}

// CanHandOff reports whether there are routers to which requests can be handed off.
func (f *Forwarder) CanHandOff() bool {
	return f.opts.Handoff != nil && f.peers.Available(f.opts.Handoff.Addresses(), time.Now())
}

// ServeHandoff handles a request that another router has handed off. It implements
// handoff.Handler.
func (f *Forwarder) ServeHandoff(w http.ResponseWriter, r *handoff.Request) (sends int, mayHaveRun bool, err error) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.opts.Metrics.Counter("forward.handoff.taken_over").Inc(1)
	awaitRevision(r.Context(), r.Revision, func() uint64 { return f.opts.View.Snapshot().Revision })
	x := f.newExchange(w, r.Request)
	x.received = r
	x.sends, x.excluded = r.Sends, r.Excluded
	r.Server = func() (string, int64) {
		if x.lastPicked == nil {
			return "", 0
		}
		return x.lastPicked.ID, x.lastPicked.Born
	}
	err = x.serve()
	x.recordOutcome(err)
	if errors.Is(err, placement.ErrUnreachable) && !x.anyMayHaveRun {
		err = errkind.Wrap(err, errkind.NotReady, "this router reaches no server either") // Others may.
	}
	return x.sends, x.anyMayHaveRun, err
}

const (
	// maxRevisionWait is how long a handed-off request waits for the sender's revision of the
	// configuration. Routers get a new one within a few exchanges of the directory's processes.
	maxRevisionWait = 300 * time.Millisecond
	// revisionCheckInterval is how often it is looked for.
	revisionCheckInterval = 10 * time.Millisecond
)

// awaitRevision returns once current has reached the revision, after maxRevisionWait, or when
// ctx is done.
func awaitRevision(ctx context.Context, revision uint64, current func() uint64) {
	if current() >= revision {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxRevisionWait)
	defer cancel()
	tick := time.NewTicker(revisionCheckInterval)
	defer tick.Stop()
	for current() < revision {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// continueHandoff takes over what another router told of the request.
func (x *exchange) continueHandoff() {
	if x.received == nil {
		return
	}
	x.requestInfo.Timeout = max(time.Millisecond, x.received.Timeout)
	x.lastEventID = x.received.LastEventID
}

// mayHandOff reports whether the request may be handed off to another router. One that was
// handed off already may not.
func (x *exchange) mayHandOff() bool {
	return x.f.opts.Handoff != nil && x.received == nil && len(x.handedOffTo) < maxHandoffs
}

// handOffAll hands off a request that this router cannot handle because of err. It returns nil
// if the client has its response.
func (x *exchange) handOffAll(err error) error {
	for {
		res, ok := x.handOff()
		if !ok {
			return err
		}
		if res.err == nil {
			return nil
		}
		x.anyMayHaveRun = x.anyMayHaveRun || res.mayHaveRun
		if !res.retryable {
			return res.err
		}
	}
}

// handOff hands the request off to another router and relays its response. It returns false
// if there is no router left that may be tried.
func (x *exchange) handOff() (attemptResult, bool) {
	if !x.mayHandOff() {
		return attemptResult{}, false
	}
	peers := x.f.opts.Handoff
	address := x.f.peers.Choose(peers.Addresses(), x.handedOffTo, routing.Hash(x.requestInfo.ID), time.Now())
	if address == "" && x.slowPeer != "" && x.f.peers.ChooseAgain(x.slowPeer, peers.Addresses()) {
		address = x.slowPeer
	}
	if address == "" {
		return attemptResult{}, false
	}
	x.handedOffTo = append(x.handedOffTo, address)
	x.f.opts.Metrics.Counter("forward.handoff.handed_off").Inc(1)
	// The other router may have the release before, which believes that nothing is left if two servers say so. So it
	// is always asked for the last event.
	x.asksEarlier = x.canAskEarlier()
	check := x.newContinuity()
	var head handoff.Part
	req, sentAt := x.handoffRequest(), time.Now()
	// The other router may have the release before, to which a server's stop at its deadline is an end. That is no
	// sooner than its time-out after the request to it.
	server := deadline.NewServer(sentAt, time.Duration(req.TimeoutMs)*time.Millisecond)
	call := x.newHandoffCall()
	defer call.close()
	res := peers.Do(call.ctx, address, req, func(p handoff.Part) error {
		switch {
		case p.Confirming:
			call.setConfirming(time.Now())
			return nil
		case p.IsEmpty():
			call.setConfirming(time.Time{})
			return nil
		case p.Header != nil && !httpheader.IsFinalStatus(p.Status):
			// The other router may have the release before.
			return errkind.New(errkind.BackendLost, "the response that another router relays has the status %03d, which HTTP does not have", p.Status)
		case p.Header != nil:
			x.recordRemoteNotice(p, sentAt)
			head, check.server = p, p.Server
			if isWhole(p) {
				if err := server.CheckEnd(call.endedAt(time.Now())); err != nil {
					return err
				}
			}
		}
		p.Status, p.Header = head.Status, head.Header // The first part may be an event that the client has.
		return x.receivePart(p, check)
	})
	x.f.peers.Done(address, res.PeerFailed, time.Now())
	if x.slowPeer = ""; res.TimedOut {
		x.slowPeer = address
	}
	if res.Err == nil && head.Header != nil && !isWhole(head) {
		if err := check.end(); !errors.Is(err, errNothingLeft) || x.eventsSent > 0 || x.asksEarlier {
			res.Err = err
		}
		if res.Err == nil {
			res.Err = server.CheckEnd(call.endedAt(res.EndedAt))
		}
		if res.Err == nil {
			x.writeHeader(&http.Response{StatusCode: head.Status, Header: head.Header})
		}
	}
	out := x.handoffResult(res)
	if out.err != nil {
		x.f.logFailedHandoff(x, address, out)
	}
	return out, true
}

// handoffPause is how long requests of a service are not handed off because of single servers
// after another router could not reach any either: then the servers are down.
const handoffPause = 500 * time.Millisecond

// handoffPauses holds until when each service's requests are not handed off because of single
// servers. It is safe for concurrent use.
type handoffPauses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// refused records that another router had no server of the service for a request.
func (p *handoffPauses) refused(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = map[string]time.Time{}
	}
	p.until[service] = now.Add(handoffPause)
}

func (p *handoffPauses) paused(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[service])
}

// handOffForServers hands a request off because servers of its service are unreachable, while
// this router may reach others.
func (x *exchange) handOffForServers() (attemptResult, bool) {
	if x.f.handoffPauses.paused(x.service.Name, time.Now()) {
		return attemptResult{}, false
	}
	res, ok := x.handOff()
	if ok && !res.mayHaveRun && errkind.Is(res.err, errkind.NoBackend) {
		x.f.handoffPauses.refused(x.service.Name, time.Now())
	}
	return res, ok
}

func (x *exchange) handoffRequest() *handoffpb.ExchangeRequest {
	header := make(http.Header, len(x.r.Header))
	httpheader.CopyEndToEnd(header, x.r.Header, "")
	req := handoff.EncodeRequest(x.r, header, x.body)
	req.TimeoutMs = uint32(deadline.TimeoutFor(time.Until(x.deadline)).Milliseconds())
	req.Revision, req.Sends, req.Excluded = x.view.Revision, uint32(x.sends), x.sentTo
	req.LastEventId, req.OriginService, req.OriginVersion = x.lastEventID, x.origin.Service, x.origin.Version
	if x.asksEarlier {
		req.LastEventId = strconv.FormatUint(max(1, positionAfter(x.lastID()).last)-1, 10)
	}
	return req
}

// isWhole reports whether the part is a response that is no stream.
func isWhole(p handoff.Part) bool { return p.Header.Get("Content-Length") != "" }

// receivePart relays one part of another router's response to the client.
func (x *exchange) receivePart(p handoff.Part, check *continuity) error {
	whole := isWhole(p)
	reserve := func() error { return x.reserveEvent(len(p.Data)) }
	if whole {
		reserve = func() error { return x.reserveResponse(int64(len(p.Data))) }
	}
	// The part is kept until the client has read it.
	if err := reserve(); err != nil {
		return err
	}
	switch {
	case whole && x.headerSent:
		return errkind.New(errkind.StreamBroken, "the stream goes on as a response with status %d", p.Status)
	case whole:
		return x.writeResponse(&bufferedResponse{status: p.Status, header: p.Header, body: p.Data})
	case len(p.Data) == 0:
		return nil // The header of a stream without an event is sent once that is known to have ended.
	}
	event := parseEvent(p.Data)
	if isNew, err := check.isNew(event); err != nil || !isNew {
		return err
	}
	return x.writeEvent(&http.Response{StatusCode: p.Status, Header: p.Header}, event)
}

// recordRemoteNotice records what a server says of itself in a response that another router
// received: this one relays it, and may reach the server again. For how long it wants no
// requests is said to the other router only.
func (x *exchange) recordRemoteNotice(p handoff.Part, sentAt time.Time) {
	notice := x.f.opts.Protocol.ParseResponse(&http.Response{StatusCode: p.Status, Header: p.Header}).Notice
	notice.StayAway = 0
	x.f.opts.Fleet.RecordNotice(p.Server, p.Born, notice, sentAt, time.Now())
}

// handoffResult translates how an exchange with another router ended.
func (x *exchange) handoffResult(res handoff.Result) attemptResult {
	x.sends = max(x.sends, res.Sends)
	out := attemptResult{err: res.Err, sent: res.MayHaveRun, mayHaveRun: res.MayHaveRun, outcome: placement.Neutral}
	switch {
	case x.r.Context().Err() != nil:
		out.err = errkind.New(errkind.ClientGone, "the client closed its connection while another router handled its request")
	case res.Err == nil && !x.headerSent:
		out.err = errkind.New(errkind.BackendLost, "the other router completed the response without sending one")
	case res.Err != nil && !res.MayHaveRun:
		out.retryable = res.PeerFailed || slices.Contains([]errkind.Kind{errkind.NoBackend, errkind.Unreachable}, errkind.Of(res.Err))
	}
	return out
}
