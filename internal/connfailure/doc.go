// Package connfailure tells the end of a connection in order from its failure.
//
// Linux reports the failure of a connection, such as a reset, to one call only. If that is a write,
// a read on another goroutine finds a plain end. A reader to whom the end of the connection means
// that what it has read is whole needs Conn.
//
// Limits: a connection that fails after the peer has ended its side counts as failed if the kernel
// reports that as anything but EPIPE, such as a time-out.
package connfailure
