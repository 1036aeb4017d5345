// Package grantor is the RPC layer of package admission: it carries permit
// requests, permits, results and load reports between the routers and the
// grantor of each data centre.
//
// A Server runs in every process that votes on, or may hold, a data centre's
// grantor lease. It answers vote requests and, if it is declared as a candidate,
// tries to acquire the lease. While it holds the lease it runs an
// admission.Core; a single goroutine, the control goroutine, owns all of its
// state. A Client runs in every router and keeps one session with the grantor of
// each data centre of its region.
//
// A router must start a permit within the permit's start window. The router
// counts the window from when it sent the request, which is never later than
// the moment from which the grantor counts it. If the window has passed, the
// router returns the permit unused.
package grantor
