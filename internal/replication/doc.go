// Package replication implements a replicated command log in the manner of
// Raft. A command is committed once a majority of the group's voters holds it.
//
// Core is a deterministic state machine: it consumes messages, the time and a
// seeded random source, and returns what has to be persisted, sent and applied
// (Ready). It does no I/O and starts no goroutines, so that tests can run
// thousands of schedules in virtual time. Group runs one Core with a Storage,
// the connections to its peers and a StateMachine.
//
// Elections use a pre-vote, and voters refuse candidates while they hear from a
// leader. A leader that has lost contact with a majority steps down. Reads are
// confirmed by a heartbeat round, so correctness does not depend on clocks. A
// voter set changes by one voter at a time, through a log entry that takes
// effect when it is committed; a new voter first catches up as a learner.
//
// A voter is identified by its disk. Votes and acknowledgements count only if
// they come from the disk named in the voter set, and every voter remembers the
// highest term and index that it has seen each disk acknowledge (pb.Mark). After
// a start, a voter does not vote until the other voters have confirmed that its
// disk holds everything it has acknowledged. A disk that holds less, because it
// was rolled back, is quarantined.
//
// Limits: a rolled-back disk goes undetected if every process that saw the lost
// acknowledgements is unreachable until ConfirmTimeout has passed. A few dozen
// voters and learners are possible; the group is designed for three or five.
package replication
