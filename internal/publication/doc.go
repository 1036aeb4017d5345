// Package publication is the replicated state of a fleet that takes whole
// configurations ordered by version: the newest configuration, the data centres
// whose backend servers are taken out, and the servers' places.
//
// The configuration with the highest version is in force. Publishing a version
// that is not higher succeeds and changes nothing, so operators may send a
// change again, to any process and in any order. Each change that has an effect
// increases the revision, by which routers order what they learn from several
// processes.
//
// A configuration travels packed relative to the one in force, since a change
// mostly touches little of it. A command whose base is no longer in force is
// refused, and its proposer sends the whole document.
//
// Machine implements replication.StateMachine; it reads no clock.
package publication
