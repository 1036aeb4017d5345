// Package inventory merges what backend servers announce of themselves into the
// list of servers that a process knows.
//
// Announcements come late, out of order, repeatedly and over several processes.
// They are ordered by the start of the server's incarnation and, within one, by
// sequence. An address belongs to the incarnation that started last. A server
// that is gone is remembered for a while, so that a late announcement does not
// bring it back.
//
// Table is a pure state machine: the time is an argument.
package inventory
