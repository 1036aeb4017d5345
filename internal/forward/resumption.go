package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// isResumption reports whether the request continues a stream of which the client has events. One of them may have
// the id 0.
func (x *exchange) isResumption() bool {
	return x.route.Resumable && (x.requestInfo.Resumes != "" || x.requestInfo.LastEventID != "")
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
	// The report of the origin of a stream that the client names may be on its way.
	suffice := func() bool { return x.requestInfo.Resumes == "" && len(x.possibleOrigins()) <= 1 }
	origin, known, serversKnown := x.f.opts.View.StreamOrigin(x.ctx, x.stream(), suffice)
	if known {
		if !origin.IsCertain() {
			if err := x.confirmOrigin(origin, clock.SinceBoot()); err != nil {
				return err
			}
		}
		x.f.opts.Metrics.Counter("forward.resumed.known").Inc(1)
		x.resumedBy = "origin"
		return x.continueAt(origin.Certain())
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
func (x *exchange) beginStream(picked *placement.PickResult, resp *backend.Response) {
	if !x.route.Resumable || x.origin.Version != "" || picked.Version == "" {
		return
	}
	x.origin = streamorigin.Origin{Service: x.service.Name, Version: picked.Version}
	process := resp.Process()
	if process.Told && process.Born == picked.Born {
		x.recordOrigin(x.origin)
		return
	}
	x.began = &beginning{server: picked.ID, born: picked.Born, since: process.ConnectedAt}
	if process.Told {
		x.began.born, x.began.told = process.Born, true // It has not announced itself yet.
	}
	// If another process has told its start there, the stream does not go on: the incarnation is found replaced.
	x.recordOrigin(streamorigin.Origin{Service: x.service.Name, Version: picked.Version, Server: picked.ID, Born: picked.Born})
}

// beginning is the incarnation at which a stream began within this response, until it is known that it has the version of the
// exchange's origin: it was taken for the one that runs at its address since a time by the boot clock, or has told its start.
type beginning struct {
	server string
	born   int64
	told   bool
	since  time.Duration
}

// recordOrigin records what began the stream, unless it was begun by another request.
func (x *exchange) recordOrigin(o streamorigin.Origin) {
	if !x.isResumption() {
		x.f.opts.View.RecordOrigin(x.stream(), o, x.versionsDiffer())
	}
}

// versionsDiffer reports whether servers of several versions of the service are known.
func (x *exchange) versionsDiffer() bool { return len(x.f.opts.Fleet.Versions(x.service.Name)) > 1 }

// confirmBeginning returns an error unless the server at which the stream began within this response is known to have the
// version of its origin.
func (x *exchange) confirmBeginning() error {
	if x.began == nil {
		return nil
	}
	if x.began.told {
		s := x.f.opts.Fleet.LatestIncarnation(x.began.server)
		if s == nil || s.Born != x.began.born || s.Service != x.origin.Service || s.Version == "" {
			return x.originNotConfirmed(x.began.server, errors.Newf("its process started at %d, and has not announced itself", x.began.born))
		}
		x.origin.Version = s.Version
	} else {
		o := x.origin
		o.Server, o.Born = x.began.server, x.began.born
		if err := x.confirmOrigin(o, x.began.since); err != nil {
			return err
		}
	}
	x.began = nil
	x.recordOrigin(x.origin)
	return nil
}

// confirmOrigin returns an error unless the incarnation that an origin names is known to have begun its stream, which it was
// taken for since a time by the boot clock. Its process tells, if it still runs. If it does not, another one can have
// begun the stream only if it had not announced itself: that is ruled out where the fleet has known no other version, and the
// process that runs now, if there is one, has announced itself.
func (x *exchange) confirmOrigin(o streamorigin.Origin, since time.Duration) error {
	run, cause := backend.Unreached, errors.Newf("the process that started at %d has been replaced", o.Born)
	if s := x.f.opts.Fleet.LatestIncarnation(o.Server); s != nil && s.Born == o.Born && s.Service == o.Service && s.Version == o.Version {
		run, cause = x.f.opts.Pool.RunsSince(x.ctx, x.backendTarget(s), since)
	}
	hasOneVersion := func() bool {
		versions := x.f.opts.Fleet.Versions(o.Service)
		return len(versions) == 1 && versions[0] == o.Version
	}
	switch run {
	case backend.Runs:
		return nil
	case backend.Untold:
		cause = x.f.opts.View.ConfirmVersion(x.ctx, fleetview.Connection{Server: o.Server, Born: o.Born, Software: o.Certain(), OpenedAt: since})
		if cause == nil {
			return nil
		}
	case backend.Replaced:
		if !hasOneVersion() || x.f.opts.View.AwaitReplacement(x.ctx, o.Server, o.Born) != nil {
			break
		}
		next := x.f.opts.Fleet.LatestIncarnation(o.Server)
		if run, cause = x.f.opts.Pool.RunsSince(x.ctx, x.backendTarget(next), clock.SinceBoot()); run == backend.Runs && hasOneVersion() {
			return nil
		}
	case backend.Unreached:
		if err := x.f.opts.View.AwaitServers(x.ctx, clock.SinceBoot()); err == nil && hasOneVersion() {
			return nil
		}
	}
	return x.originNotConfirmed(o.Server, cause)
}

func (x *exchange) originNotConfirmed(server string, cause error) error {
	x.f.opts.Metrics.Counter("forward.resumed.unconfirmed").Inc(1)
	x.resumedBy = "no confirmed origin"
	if cause == nil {
		cause = errors.New("servers of several versions are known by now")
	}
	return errkind.Wrap(cause, errkind.StreamNotResumable, "the stream began at server %q, whose software version then is not known", server).
		WithRetryAfter(refusedRetryAfter)
}

// identify has the process that the request is sent to tell its start, if that matters. A stream that begins where several
// versions serve can be resumed only if its own is known, also once its server has ended.
func (x *exchange) identify(request *backend.Request, picked *placement.PickResult, headers BackendHeaders) {
	goesOn := x.origin.Version != ""
	request.Identify, request.MustIdentify = x.route.Resumable && (goesOn || x.versionsDiffer()), goesOn
	if !request.Identify {
		return
	}
	request.Check = func(ctx context.Context, process backend.Process) error {
		x.silence.Stop()
		if err := x.checkProcess(ctx, picked, process); err != nil {
			return err
		}
		sentAt := time.Now()
		x.silence = x.f.prober.watchSilence(sentAt)
		headers.Timeout = deadline.TimeoutFor(x.deadline.Sub(sentAt))
		request.Timeout = headers.Timeout
		x.f.opts.Protocol.SetBackendHeaders(request.Header, headers)
		return nil
	}
}

// checkProcess returns an error if the request must not be sent to a process that was picked as an incarnation: a stream goes
// on only if the process is known to have its version, and begins rather at a server whose version is known.
func (x *exchange) checkProcess(ctx context.Context, picked *placement.PickResult, process backend.Process) error {
	if process.Told && process.Born > picked.Born {
		x.f.opts.View.RecordEnd(picked.ID, picked.Born) // What started since may be cold.
	}
	switch {
	case process.Told && process.Born == picked.Born:
		return nil
	case process.Told && (x.origin.Version != "" || x.failedDials+1 < maxFailedDials && x.hasOther(picked)):
		return errkind.New(errkind.NoBackend, "the process at server %q started at %d, and not at %d", picked.ID, process.Born, picked.Born)
	case x.origin.Version == "":
		return nil
	}
	return x.f.opts.View.ConfirmVersion(ctx, fleetview.Connection{Server: picked.ID, Born: picked.Born, Software: x.origin, OpenedAt: process.ConnectedAt})
}

// processNotConfirmed returns the result for a server to which the request was not sent, since another version may run
// there. Other servers can be asked.
func (x *exchange) processNotConfirmed(picked *placement.PickResult, cause error) attemptResult {
	x.failedDials++
	x.f.opts.Metrics.Counter("forward.process_unconfirmed").Inc(1)
	kind := errkind.NoBackend
	if x.origin.Version != "" {
		kind = errkind.StreamNotResumable
	}
	err := errkind.Wrap(cause, kind, "it is not known which software version runs at server %q", picked.ID).WithRetryAfter(refusedRetryAfter)
	return attemptResult{err: err, retryable: true, outcome: placement.Neutral}
}
