// Package fleetview maintains a router's view of the fleet: the configuration in
// force, the evacuated data centres, and the backend servers.
//
// The router has sessions with two of the directory processes that it knows, chosen by
// a selector, and replaces one that fails. One goroutine merges the updates of the
// sessions and publishes immutable snapshots. Within the life of the process, a
// revision is never replaced by an older one.
//
// A confirmation states that a revision was the newest at some time after the router
// sent the corresponding ping. The time since that ping is therefore an upper bound
// on how stale the router's state is. It is measured by the boot clock, so that it
// includes any suspension of the VM. It also names the sum of that revision's state. A
// router whose state has another one is on another history, and fetches the state as a whole.
package fleetview
