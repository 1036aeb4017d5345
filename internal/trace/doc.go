// Package trace holds recorded traces: what callers sent, and when.
//
// A trace is a file of JSON lines, one Record each, ordered by time. A record
// does not hold the texts of a chat but the sizes of its messages; the texts
// are a function of the workspace, the chat and the message's position, so a
// returning chat repeats its earlier messages byte for byte. Two records of one
// idempotency key are a request and its resend and have the same body.
//
// Generate makes a trace by seed from a Profile: chats that return after
// pauses, lengths with a heavy tail (log-normal), workspaces of different size,
// and plain calls, some of which may not be repeated.
//
// Limits: pauses are compressed so that a trace plays in seconds, and a chat's
// later messages do not depend on the answers that it got.
package trace
