// Package registry takes the announcements of backend servers over HTTP and
// hands each to the grantor of the server's data centre.
//
// A server announces itself with POST /v1/announce every second or so, to any
// router. An announcement is checked on its own and against the declarations in
// force: its service and data centre must be declared, its address must be an IP
// and port, and it must show the service's announce key where one is declared.
// The router keeps no list of servers; the grantor orders announcements by
// incarnation and sequence. Sizes are bounded so that a faulty server cannot
// make a router grow.
package registry
