// Package backend is an HTTP/1.1 client for backend servers with a connection pool.
//
// It is used instead of net/http's client because a router must know what that
// client hides: whether a byte of a request may have been sent, whether bytes were
// received that belong to no request, and which request a response names.
//
// A connection serves one request at a time. It is returned to the pool only if the
// request was sent completely, the response was read completely, and no bytes
// followed the response. Before a pooled connection is used again, it is checked for
// bytes or an end of file that arrived in the meantime. A response that arrives after
// that check must name the request, since it may belong to an earlier one.
package backend
