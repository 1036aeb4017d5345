package forward

import (
	"slices"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// isResumption reports whether the request continues a stream of which the client has events.
func (x *exchange) isResumption() bool {
	return x.route.Resumable && (x.requestInfo.Resumes != "" || x.requestInfo.LastEventID != "" && x.requestInfo.LastEventID != "0")
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
// one version.
func (x *exchange) resolveOrigin() error {
	if !x.isResumption() || x.origin.Version != "" {
		return nil
	}
	origin, known, serversKnown := x.f.opts.View.StreamOrigin(x.ctx, x.stream(), func() bool { return len(x.routeVersions()) <= 1 })
	if known {
		x.f.opts.Metrics.Counter("forward.resumed.known").Inc(1)
		x.origin = origin
		x.useService(origin.Service)
		return nil
	}
	versions := x.routeVersions()
	if serversKnown && len(versions) <= 1 {
		x.f.opts.Metrics.Counter("forward.resumed.one_version").Inc(1)
		if len(versions) == 1 {
			x.origin.Version = versions[0]
		}
		return nil
	}
	x.f.opts.Metrics.Counter("forward.resumed.unknown").Inc(1)
	return errkind.New(errkind.StreamNotResumable, "it is not known which software version began the stream of request %q; route %q has servers of %d versions, all of which are known: %t", x.requestInfo.Resumes, x.route.Name, len(versions), serversKnown).
		WithRetryAfter(refusedRetryAfter)
}

// routeVersions returns the software versions of the servers of all services of the route.
func (x *exchange) routeVersions() (versions []string) {
	for _, share := range x.route.Split {
		for _, version := range x.f.opts.Fleet.Versions(share.Service) {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// useService has the request sent to another service of its route. A service that the route
// no longer has is left out.
func (x *exchange) useService(name string) {
	for _, share := range x.route.Split {
		if share.Service == name && share.Weight > 0 {
			x.service = x.view.Configuration.Service(name)
		}
	}
}

// beginStream fixes the version that began the stream, before its first event is relayed: no
// other version can continue it. The report of a new stream does not wait while several
// versions serve, since this router may be lost before the next one. It is not sent any
// earlier: until its first event, the stream may still begin at another version.
func (x *exchange) beginStream(picked *placement.PickResult) {
	if !x.route.Resumable || x.origin.Version != "" || picked.Version == "" {
		return
	}
	x.origin = streamorigin.Origin{Service: x.service.Name, Version: picked.Version}
	if !x.isResumption() {
		mixed := len(x.f.opts.Fleet.Versions(x.service.Name)) > 1
		x.f.opts.View.RecordOrigin(x.stream(), x.origin, mixed)
	}
}
