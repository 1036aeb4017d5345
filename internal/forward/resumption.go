package forward

import (
	"strconv"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// isResumption reports whether the request continues a stream of which the client has events.
func (x *exchange) isResumption() bool {
	return x.route.Resumable && (x.requestInfo.Resumes != "" || x.requestInfo.LastEventID != "" && x.requestInfo.LastEventID != "0")
}

// lastID returns the id of the last event that the client has of the stream that the request continues; empty if
// there is none.
func (x *exchange) lastID() string {
	if x.lastEventID == "" && x.route != nil && x.isResumption() {
		return x.requestInfo.LastEventID
	}
	return x.lastEventID
}

// canAskEarlier reports whether a server can be asked to write the last event that the client has again, which
// it can only if it knows the stream. Asked from that event on, a server of a stream that has ended answers as
// one that does not know it. The event before it is known only where ids are consecutive numbers.
func (x *exchange) canAskEarlier() bool {
	id := x.lastID()
	if id == "" {
		return false
	}
	at := positionAfter(id)
	return at.known && strconv.FormatUint(at.last, 10) == id && (at.last > 0 || x.lastEventID != "") && x.f.numberingOf(x.service).isConsecutive()
}

// resumeAfter returns the id of the event after which the next server is to go on; it is valid only if ok is
// set. That is the last one that the client has or, if the stream may have ended with it, the one before. The last
// server that can be asked is always asked from there, since no other one could confirm what it says.
func (x *exchange) resumeAfter(picked *placement.PickResult) (id string, ok bool) {
	isLast := func() bool { return x.sends+1 >= x.route.MaxAttempts || !x.hasOther(picked) }
	x.asksEarlier = x.canAskEarlier() && (x.mayHaveEnded || !x.brokeInside && isLast())
	switch at := positionAfter(x.lastID()); {
	case x.asksEarlier && at.last > 1:
		return strconv.FormatUint(at.last-1, 10), true
	case x.asksEarlier:
		return "", false // From the first event on.
	case x.lastEventID != "":
		return x.lastEventID, true
	}
	return x.requestInfo.LastEventID, x.requestInfo.HasLastEventID
}

// stream returns the stream that the request begins or resumes.
func (x *exchange) stream() streamorigin.Stream {
	id := x.requestInfo.ID
	if x.requestInfo.Resumes != "" {
		id = x.requestInfo.Resumes
	}
	return streamorigin.StreamOf(x.caller(), id)
}

// resolveOrigin finds out which software version began the stream that the request resumes,
// since only that one can continue it. What this router knows of servers shows nothing by itself:
// the stream may have begun at one of which it has not heard yet. If nobody knows the origin, the
// request goes on only if the directory confirms that this router knows all servers, and they have
// one version of one service.
func (x *exchange) resolveOrigin() error {
	switch {
	case x.received != nil && x.received.Origin.Version != "":
		return x.continueAt(x.received.Origin)
	case !x.isResumption():
		return nil
	}
	origin, known, serversKnown := x.f.opts.View.StreamOrigin(x.ctx, x.stream(), func() bool { return len(x.possibleOrigins()) <= 1 })
	if known {
		x.f.opts.Metrics.Counter("forward.resumed.known").Inc(1)
		x.resumedBy = "origin"
		return x.continueAt(origin)
	}
	possible := x.possibleOrigins()
	if serversKnown && len(possible) <= 1 {
		x.f.opts.Metrics.Counter("forward.resumed.one_version").Inc(1)
		x.resumedBy = "one version"
		if len(possible) == 1 {
			return x.continueAt(possible[0])
		}
		return nil
	}
	x.f.opts.Metrics.Counter("forward.resumed.unknown").Inc(1)
	return errkind.New(errkind.StreamNotResumable, "it is not known which software version began the stream of request %q; the services of route %q have servers of %d versions, all of which are known: %t", x.requestInfo.Resumes, x.route.Name, len(possible), serversKnown).
		WithRetryAfter(refusedRetryAfter)
}

// possibleOrigins returns the software versions of the servers of all services at which the stream may
// have begun. Versions of the same name of two services differ.
func (x *exchange) possibleOrigins() (origins []streamorigin.Origin) {
	for _, service := range x.f.opts.View.Snapshot().StreamServices(x.route, x.r.URL.Path, time.Now()) {
		for _, version := range x.f.opts.Fleet.Versions(service) {
			origins = append(origins, streamorigin.Origin{Service: service, Version: version})
		}
	}
	return origins
}

// continueAt has the request sent to the service and version that began its stream. The route may not have
// that service any more.
func (x *exchange) continueAt(origin streamorigin.Origin) error {
	for _, share := range x.route.Split {
		if share.Service == origin.Service && share.Weight > 0 {
			x.origin, x.service = origin, x.view.Configuration.Service(origin.Service)
			return nil
		}
	}
	return errkind.New(errkind.StreamNotResumable, "the stream began at service %q, to which route %q sends no requests any more", origin.Service, x.route.Name).WithRetryAfter(refusedRetryAfter)
}

// beginStream fixes the version that began the stream, before its first event is relayed: no
// other version can continue it. The report of a new stream does not wait while several
// versions serve, since this router may be lost before the next one. It is not sent any
// earlier: until its first event, the stream may still begin at another version.
func (x *exchange) beginStream(picked *placement.PickResult, connectedAt time.Duration) {
	if !x.route.Resumable || x.origin.Version != "" || picked.Version == "" {
		return
	}
	x.origin = streamorigin.Origin{Service: x.service.Name, Version: picked.Version}
	began := x.connectionTo(picked, connectedAt)
	if !x.f.opts.View.IsConfirmed(began) {
		x.began = &began
	}
	if !x.isResumption() {
		mixed := len(x.f.opts.Fleet.Versions(x.service.Name)) > 1
		x.f.opts.View.RecordOrigin(x.stream(), began, mixed)
	}
}

// connectionTo returns a connection to a server that is taken to have the version of the stream.
func (x *exchange) connectionTo(picked *placement.PickResult, connectedAt time.Duration) fleetview.Connection {
	return fleetview.Connection{Server: picked.ID, Born: picked.Born, Software: x.origin, OpenedAt: connectedAt}
}

// confirmOrigin returns an error unless the server at which the stream began within this response is known to have had
// the version of origin.
func (x *exchange) confirmOrigin() error {
	if x.began == nil {
		return nil
	}
	if err := x.f.opts.View.ConfirmVersion(x.ctx, *x.began); err != nil {
		x.f.opts.Metrics.Counter("forward.resumed.unconfirmed").Inc(1)
		return errkind.Wrap(err, errkind.StreamNotResumable, "the stream began at server %q, whose software version then is not known", x.began.Server).
			WithRetryAfter(refusedRetryAfter)
	}
	x.began = nil
	return nil
}

// versionNotConfirmed returns the result for a server to which a continuation was not sent, since another version may run
// there. Other servers can be asked on connections that lead to known versions.
func (x *exchange) versionNotConfirmed(picked *placement.PickResult, cause error) attemptResult {
	x.failedDials++
	x.f.opts.Metrics.Counter("forward.resumed.unconfirmed").Inc(1)
	err := errkind.Wrap(cause, errkind.StreamNotResumable, "it is not known which software version runs at server %q", picked.ID).WithRetryAfter(refusedRetryAfter)
	return attemptResult{err: err, retryable: true, outcome: placement.Neutral}
}
