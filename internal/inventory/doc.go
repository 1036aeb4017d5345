// Package inventory merges the announcements of backend servers into the list of
// servers that a process knows.
//
// Announcements can arrive late, out of order, more than once and through several
// processes. They are ordered by the start time of the server's incarnation and,
// within one incarnation, by sequence number. An address belongs to the incarnation
// that started last. A server that is gone is kept as a tombstone for a while, so
// that a late announcement does not bring it back.
//
// Table is a deterministic state machine: the current time is an argument.
package inventory
