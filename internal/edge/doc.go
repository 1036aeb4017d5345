// Package edge is the router process of a fleet whose members are not declared:
// it takes clients' requests, follows the directory, and forwards.
//
// The process is ready while it holds a confirmed configuration and hears the
// directory's quorum; a router that is cut off says so, and the balancer turns
// to others. At a signal to stop it becomes unready first, goes on serving until
// the balancer has had time to see it, finishes what it has read, and ends.
package edge
