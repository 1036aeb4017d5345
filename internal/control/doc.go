// Package control implements the control process. It replicates the configuration
// of the fleet and serves the calls of operators and of the other processes.
//
// State is the replicated state machine. It holds the declared objects by revision,
// the audit trail with the change ids, and the claims. It is deterministic: it uses
// neither a clock nor random numbers, and the time is part of each command in the
// log. Server implements the Control service on every process and forwards to the
// leader the calls that only the leader may serve. Each process serves the
// Distribution service from its own state.
//
// Before the leader proposes a change, it checks the whole configuration that would
// result. The command carries the base revision and the digest of the checked
// configuration. Both must match when the command is applied, so a configuration
// that was not checked never takes effect.
//
// Limits: changes are processed one at a time. The configuration is held in memory
// twice, encoded and decoded. SaveSnapshot builds the snapshot in memory.
package control
