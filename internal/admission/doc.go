// Package admission implements the admission control of a data centre's
// grantor: for each request, it selects the backend server that may run it,
// queues the request, or refuses it.
//
// A router sends an ask (grantpb.Ask) for each request. The core answers it with
// a permit, which entitles the router to start one run at one server and occupies
// one slot there, or with a refusal; until then the ask is queued.
//
// A Core lives for one term of the grantor lease. It counts every permit that may
// lead to a running request, so that limits are enforced by exact counts rather
// than by reported load:
//
//   - a permit is granted only while the server's requests in flight are below
//     its limit: the smallest of its capacity, the declared limit, its cold
//     capacity while it is cold, and the load bound of its pool. The limit is zero
//     while the server is out of service, leaving, silent, ejected or not yet
//     confirmed;
//   - the declared limits of the data centre and of the workspace are enforced
//     in the same way;
//   - nothing is granted at or after the end of the lease.
//
// A permit is counted until its result arrives, its run's deadline passes, or a
// load report that was measured after the permit's start window shows that the
// run is gone. A load report bounds what is running: at most what ran when it was
// measured, plus the permits that may have been started since. This bound does not
// depend on the router, so a router that has failed or is paused occupies slots
// only until the next report.
//
// A new grantor does not know the permits of its predecessor. Its term therefore
// begins with an opening period: it waits until the start windows of all earlier
// permits have passed, and then uses a server only after a report measured since.
// Whatever that report shows beyond the permits that routers have registered is
// counted as running.
//
// The core performs no I/O: the caller passes the monotonic time of each event and
// carries out the returned effects. It is not safe for concurrent use.
package admission
