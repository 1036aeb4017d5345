// Package rpc listens and dials for drpc between the fleet's processes.
//
// A drpc connection carries one call at a time, so a Dialer keeps a bounded
// pool of connections per address. TLS, when given, is mutual.
package rpc
