// Package backend speaks HTTP/1.1 with backend servers over connections that it
// keeps.
//
// It exists beside net/http's client because a router must know what that hides:
// whether a byte of a request may have left, whether bytes came that belong to no
// request, and which request an answer names. A connection serves one request at
// a time. It is kept only if the request was sent whole, the answer was read
// whole, and nothing followed it; before it is used again it is checked for
// bytes or an end that came meanwhile.
package backend
