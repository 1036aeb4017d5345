// Package distribution replicates the accepted configuration to every node.
//
// A Watcher holds the newest configuration that a node knows of. It watches two
// sources at a time, control processes or relays, and applies an update only if its
// revision is newer by (epoch, number). A node therefore never goes back to an
// older revision, whether an update is late or repeated, a source lags, or the node
// restarts. A delta applies only to the revision that it was made from; after a gap
// the stream is reopened from the revision in force.
//
// A Relay serves the configuration that a Watcher or the control group's state
// publishes to it. It keeps a bounded log of changes. A watcher whose revision is
// within the log gets one merged delta, any other gets the whole configuration in
// parts.
//
// Each message states the age of its confirmation: the time since a control process
// with a quorum confirmed that the revision is the newest. Relays add the time for
// which they have held the confirmation. A node whose latest confirmation is older
// than a bound is isolated, however many relays it can still reach. The watcher's
// state machine is the deterministic core in core.go; the current time and the
// messages are its inputs.
//
// Limits: that an update is in force at one node says nothing about the others;
// kqctl status shows them. The two sources are trusted to state the control group's
// state correctly; access to the role of a source is restricted by mutual TLS only.
package distribution
