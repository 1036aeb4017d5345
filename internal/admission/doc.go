// Package admission holds the decisions of a data centre's grantor: which
// request gets a place at which backend server, which one waits, and which one
// is refused.
//
// A Core lives for one tenure of the grantor lease. It counts every permit that
// may lead to a running request, so the limits hold exactly and not by reports:
//
//   - a server's permits never pass its bound at a grant: its capacity, the
//     declared limit, what it bears while cold, the load bound of its pool, and
//     zero while it is out, leaving, silent, ejected or not yet confirmed;
//   - the data centre's and the workspace's declared limits hold likewise;
//   - nothing is granted at or after the end of the lease.
//
// A permit counts until its result, its run's deadline, or a report of the
// server, measured later than the permit's last moment to start, that shows it
// gone. A report bounds what runs: at most what ran when it was measured, plus
// the permits that may have started since. That bound needs no word from the
// router, so a router that vanished or is paused costs places only until the
// next report.
//
// A new grantor cannot know the permits of the one before. It waits until they
// must have started, and then uses a server only after a report measured after
// that moment; what the report shows beyond the permits that routers have named
// counts as running.
//
// The core is pure: the caller passes the monotonic time of each event, and
// carries out the effects. It is not safe for concurrent use.
package admission
