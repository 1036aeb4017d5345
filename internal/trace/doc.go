// Package trace reads, writes and generates traces: records of the requests that
// callers send, with their times.
//
// A trace is a file of JSON lines, one Record each, ordered by time. A record of
// a model call holds the sizes of the chat's messages instead of their texts. The
// texts are a function of the workspace, the chat and the position of the message,
// so the requests of a chat repeat its earlier messages byte for byte. Two records
// with the same idempotency key are a request and its resend, and have the same
// body.
//
// Generate makes a trace from a Profile and a seed. The trace has chats that
// continue after pauses, message lengths with a heavy tail (log-normal),
// workspaces of different sizes, and plain calls, some of which must not be
// repeated.
//
// Limits: pauses are shortened so that a trace can be replayed in seconds, and the
// later messages of a chat do not depend on the responses to the earlier ones.
package trace
