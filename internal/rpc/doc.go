// Package rpc provides listeners and dialers for drpc between the processes of the
// fleet.
//
// A drpc connection carries one call at a time, so a Dialer keeps a bounded
// pool of connections per address. If TLS is configured, it is mutual.
package rpc
