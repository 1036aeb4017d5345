// Package callerconn tells whether the caller of an HTTP request has closed its connection.
//
// The context of a request is canceled when net/http reads the end of the connection, on another
// goroutine. A process that was stopped finds a request and the end of its connection in the same
// socket, and may act on the request before that goroutine runs. HasGone asks the kernel instead.
package callerconn
