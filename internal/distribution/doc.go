// Package distribution brings the accepted configuration to every node.
//
// A Watcher holds the newest configuration that a node knows of. It watches two
// sources at a time, control processes or relays, and takes an update only if
// its revision is newer by (epoch, number), so a node never steps back: not for
// a late or repeated update, not for a source that is behind, not after a
// restart. A delta counts only on the revision that it was made from; after a
// gap the source is asked again from the revision in force.
//
// A Relay serves what a Watcher, or the control group's state, publishes. It
// keeps a bounded log of changes and answers a watcher that is within it with
// one merged delta, any other with the whole configuration in parts.
//
// News carries its age: the time since a control process with a quorum said
// that the revision is the newest. Relays add the time that they have held it.
// A node whose news is older than a bound is isolated, however many relays it
// can still reach. The state of the watcher is the pure core in core.go; time
// and messages are its inputs.
//
// Limits: an update in force at one node says nothing of the others; kqctl
// status does. Two sources are trusted to tell the truth about the control
// group, as far as mutual TLS admits them.
package distribution
