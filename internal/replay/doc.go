// Package replay replays a recorded trace against a running fleet and checks the
// responses that callers got against the requests that ran.
//
// Play sends each record at its time. It behaves like the platform's load balancer
// and an ordinary client: it picks a router that reports ready, goes to another
// router when a connection is refused, retries after Retry-After, resumes an
// interrupted stream through another router, and retries a non-repeatable call
// with the same idempotency key. Each HTTP exchange is recorded as an Exchange.
// Meanwhile, Balancer samples the configuration revision in force at the routers.
//
// Check is a pure function of an Observation (trace, exchanges, ledgers, samples
// and operator events). For each promise, it returns the number of cases checked
// and all violations. NewReport adds statistics.
//
// Limits: timestamps of different processes are compared directly, so the fleet
// must run on one machine. The check of load skew uses averages over windows,
// because a ledger does not contain the time at which a permit was granted.
package replay
