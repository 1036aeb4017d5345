// Package routing ranks data centres and backend servers for a chat by weighted
// rendezvous hashing, without a table of chats.
//
// Every candidate has a cost that depends on the chat's hash, the candidate's name
// and its weight; candidates are ordered by ascending cost. Routers with the same
// candidates agree without communicating. A candidate that joins or leaves moves
// only the chats that it gains or loses, and a change of weight moves the minimum of
// chats. Incarnations are not part of the hash, so that a flapping server gets the
// same chats again after each restart.
//
// The chats of a workspace share a prompt prefix, so they are spread only over a
// subset of the pool: the first servers in the workspace's own rendezvous order.
// The size of the subset depends on the workspace's load (see package admission).
//
// All arithmetic of the order is on integers, so that it is the same on every machine.
// The package performs no I/O and uses neither a clock nor random numbers.
package routing
