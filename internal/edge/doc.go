// Package edge is the router process of a fleet whose members are discovered rather
// than declared. It accepts client requests, follows the directory, and forwards the
// requests to backend servers.
//
// The process is ready while it has a confirmed configuration and is in contact with
// a quorum of the directory. A router that is cut off reports that it is not ready,
// and the load balancer moves its traffic to other routers. On a signal to stop, the
// process becomes unready, continues to serve until the load balancer has had time
// to notice, completes the requests in flight, and exits.
package edge
