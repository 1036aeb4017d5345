// Package routing ranks data centres and backend servers for a chat by weighted
// rendezvous hashing, without any table of chats.
//
// Every candidate gets a cost that depends on the chat's hash, the candidate's
// name and its weight; the lowest cost comes first. Two routers with the same
// candidates agree without talking, a candidate that joins or leaves moves only
// the chats that it gains or held, and a change of weight moves the least
// possible part. Incarnations are no part of the hash, so that a server that
// flaps finds its chats again.
//
// A workspace's chats share a prompt prefix, so they are spread over a subset
// of the pool: the first servers in the workspace's own rendezvous order. The
// size of the subset follows the workspace's load (see package admission).
//
// All arithmetic is on integers, so that results are equal on every machine.
// The package is pure: no I/O, no clock and no random numbers.
package routing
