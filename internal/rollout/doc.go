// Package rollout moves the requests of a backend service from one software version to another,
// and decides by what callers get whether the new version stays.
//
//   - Rollout is the replicated state of one order. It tells a router which versions a request
//     may go to (Versions).
//   - Recorder counts, at a router, what came of the attempts at each version (recorder.go).
//   - Collector adds the counts of all routers up (collector.go).
//   - Judge compares the versions on the same route in the same time (judge.go).
//   - Controller decides on the next phase of a rollout (controller.go).
//
// The target first gets a small share of the requests while the judge compares (observing),
// then all of them for as long as requests at other versions take to complete (shifting). It
// succeeds before its time is over, or is rolled back. The shift comes as late as the requests
// allow, because a version may turn bad late, and what it gets until then is bounded.
//
// All of it is deterministic: the current time is an argument. A router that has not had its
// state confirmed for MaxStateAge sends nothing to the target.
//
// Limits: while all requests go to the target, there is nothing to compare it with in the same
// seconds; lateness does not count then. Counts lag by up to a second. docs/design/rollouts.md.
package rollout
