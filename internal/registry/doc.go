// Package registry receives the announcements of backend servers over HTTP and
// forwards each to the grantor of the server's data centre.
//
// A backend server announces itself about every second with POST /v1/announce to
// any router. The router validates the announcement by itself and against the
// configuration in force: the service and the data centre must be declared, the
// address must be an IP address and port, and the request must carry the
// service's announce key if one is declared.
//
// The router keeps no list of backend servers; the grantor orders announcements
// by incarnation and sequence number. Sizes are bounded so that a faulty backend
// server cannot exhaust a router's memory.
package registry
