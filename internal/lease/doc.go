// Package lease implements a majority lease without disks: at most one process
// holds the lease of a data centre at any moment, as long as clocks run at
// rates that differ by less than DriftMargin over one lease.
//
// A Voter binds its vote to one candidate for the lease time, counted from when
// the request arrived. A Candidate counts from before it sent the request, less
// the margin, so that the holder's lease ends before any voter's does. A voter
// that starts cannot know what it voted for before, so it votes only after one
// full maximal lease. Two majorities of one voter set share a voter; when the
// declared set changes, a candidate needs a majority of the old set as well,
// and operators change one voter at a time.
//
// Both cores are pure: the caller passes the monotonic time of each event, and
// sends the messages that they return. Neither is safe for concurrent use.
package lease
