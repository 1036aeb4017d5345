// Package lease implements a lease granted by a majority of voters, which store
// nothing on disk. At most one process holds the lease of a data centre at any
// time, as long as the clocks of the processes drift apart by less than
// DriftMargin over the duration of one lease.
//
// A Voter binds its vote to one candidate for the duration of the lease, counted
// from the arrival of the request. A Candidate counts from before it sent the
// request and subtracts DriftMargin, so that the lease expires at the holder
// before the votes expire. A voter that has restarted does not know its earlier
// votes, so it grants none until the longest possible lease has passed since its
// start. Any two majorities of one voter set share a voter. After a change of the
// declared set a candidate also needs a majority of the previous set, and
// operators change one voter at a time.
//
// Candidate and Voter do no I/O: the caller passes the monotonic time of each
// event, and sends the requests that they return. Neither is safe for concurrent
// use.
package lease
