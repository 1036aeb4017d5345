// Package replication keeps a log of commands identical on a majority of the
// control group's voters.
//
// Core is a pure state machine in the manner of Raft: it is given messages,
// the time and a seeded random source, and yields what is to be made durable,
// sent and applied (Ready). It does no I/O and starts no goroutine, so that
// tests drive thousands of schedules in virtual time. Group runs one Core with
// a Storage, a Transport and a StateMachine.
//
// Elections use a pre-vote and stickiness to a live leader, a leader steps down
// without contact to a majority, and reads are confirmed by a heartbeat round,
// so no promise rests on clocks. A voter set changes one voter at a time, by a
// log entry that takes effect when it is committed; a new voter catches up as
// a learner first.
//
// A voter is bound to its disk. Votes and acknowledgements count only from the
// disk that the voter set names, and voters remember what they saw every disk
// promise (Mark). After a start a voter does not vote before the others have
// confirmed that its disk shows no less; one that shows less is quarantined.
//
// Limits: a rolled-back disk goes unnoticed if every process that saw the lost
// promises is unreachable for the whole confirmation time. Up to a few dozen
// voters and learners are reasonable; the group is meant for three or five.
package replication
