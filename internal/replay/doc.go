// Package replay plays a recorded trace against a running fleet, as callers
// would, and checks what the callers were told against what ran.
//
// Player sends the records at their times. It does what the platform's balancer
// and an ordinary client do: it picks a router whose readiness endpoint says
// yes, goes to another router when a connection is refused, comes back after
// Retry-After, resumes a broken stream through another router, and sends a call
// that may not be repeated again with the same key. Each HTTP exchange is kept
// as an Exchange. Monitor samples the routers' revision in force meanwhile.
//
// Check is a pure function from an Observation (trace, exchanges, ledgers,
// samples, operator events) to a Report: each promise with the number of cases
// checked and every violation.
//
// Limits: all clocks are taken to be one clock, so the fleet must run on one
// machine; the check of load skew works on averages over windows, because a
// ledger does not show the instant at which a place was granted.
package replay
