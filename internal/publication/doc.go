// Package publication implements the replicated state of the directory: the latest
// configuration, the list of evacuated data centres, the servers' places, and which
// servers leave.
//
// The configuration with the highest version is in force. Publishing a version that is
// not higher succeeds and has no effect, so operators may repeat a change at any
// process and in any order. Each command that has an effect increments the revision,
// by which routers order what they receive from several processes. Departures of servers
// are no part of it: routers learn of them by announcements.
//
// A configuration is compressed against the one in force, since a change usually
// touches little of it. A command whose base is no longer in force is rejected, and
// its proposer resubmits the full document.
//
// Machine implements replication.StateMachine. It reads no clock.
package publication
