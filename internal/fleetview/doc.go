// Package fleetview is a router's view of the fleet: the configuration in force,
// the data centres that are taken out, and the backend servers.
//
// The router follows every directory process that it knows of. What it hears is
// merged by one goroutine, which publishes immutable snapshots; a revision is
// never replaced by an older one within the life of the process. A confirmation
// says that the revision held was the newest when the router asked, so the time
// since then bounds how far behind the router may be. That time includes any
// suspension of the VM.
package fleetview
