// Package assignment assigns the key space of each pool to its backend servers.
//
// A pool's key space is divided into places, and each place is assigned to one
// server, which is the home of the place's keys. A server that joins takes no keys
// from one that stays, since the prompts of a key that moves have to be computed
// again on the new server: it takes over the place of a server that left, or
// remains a spare that serves overflow from loaded servers. A place keeps its hash
// when its server changes.
//
// The places are part of the state that the directory replicates, so that all
// routers agree on them, and a restarted router finds the same homes as before.
// The leader's Assigner decides; it reads no clock.
//
// Limits: how long a spare has waited, or a place has been vacant, is not
// replicated. Both are counted from zero after a change of leader.
package assignment
