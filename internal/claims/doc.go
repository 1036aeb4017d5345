// Package claims is the router's side of the claims that the control group
// keeps on a quorum.
//
// A claim is resent under the same attempt id until its answer comes, through
// whichever control process answers, so a lost answer neither loses the right to
// run nor gives it twice. Outcomes are recorded in the background from a bounded
// queue and in no fixed order, which is safe because each names its own attempt.
//
// Limits: outcomes that are still queued when the process dies are lost; the
// control group then holds the claim as unknown and never grants it again.
package claims
