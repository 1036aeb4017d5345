// Package claims is the router's client for claims. A claim is the right to run a
// request, which the control group replicates to a quorum.
//
// The client resends a claim with the same attempt id, to one control process
// after another, until it receives a response. A lost response therefore neither
// loses the right to run nor grants it twice. Outcomes are recorded in the
// background from a bounded queue, in no fixed order; that is safe because each
// outcome names its own attempt.
//
// Limits: outcomes that are still queued when the process crashes are lost. The
// control group then keeps the claim in the unknown state and never grants it
// again.
package claims
