// Package control is the control process: the replicated state of the fleet and
// the calls that operators and the other processes make on it.
//
// State is the state machine that the log drives: the declared objects by
// revision, the audit trail with the change ids, and the claims. It reads no
// clock and draws no random number; time enters the log with each command. The
// Server answers the Control service on any process and forwards to the leader
// what only the leader may answer. The Distribution service is answered by each
// process from its own state.
//
// A change is checked as a whole set by the leader before it is proposed. The
// command names the revision and the digest of the set that was checked; where
// it is applied, both must fit, so that only a checked set ever comes in force.
//
// Limits: changes are taken one at a time; the set is held in memory twice, as
// declared and decoded; SaveSnapshot builds its copy in memory.
package control
