// Package homes decides which backend server is the home of which prompts.
//
// A pool's keys belong to places, and each place to a server. A server that joins
// takes no key from one that stays, since each key that moves is read again: it
// takes the place of one that left, or waits as a spare that serves what others
// are too loaded for. A place keeps its hash when its server changes.
//
// The places are part of the state that the directory replicates, so that all
// routers agree on them, and routers that start again find the homes that were
// before. The leader's Keeper decides; it reads no clock.
//
// Limits: how long a spare has waited, or a place was vacant, is not replicated
// and counts anew from a change of the leader.
package homes
