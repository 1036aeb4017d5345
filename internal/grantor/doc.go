// Package grantor carries the decisions of package admission between processes.
//
// A Server runs in every process that votes on, or may hold, a data centre's
// grantor lease. It answers votes, tries to get the lease if it is declared as
// a candidate, and while it holds it runs an admission.Core in one goroutine
// that owns all control state. A Client runs in every router and keeps one
// session with the grantor of each data centre of its region.
//
// A permit must be started before its start window has passed, counted by the
// router from when it sent the ask, which is never later than the grantor
// counts. A router that finds the window passed gives the permit back unused.
package grantor
