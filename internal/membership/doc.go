// Package membership reports to the control group which processes of the fleet are
// running.
//
// A process joins with only its settings and keys. Its Sender sends heartbeats with
// its name, its incarnation (new at every start), its data centre and the revision
// that it has in force. The control group lists the processes that it received
// heartbeats from; a replaced VM shows up as the same name with another incarnation. A
// Sender stays with one control process until a call to it fails, so the traffic is
// one small call per node and interval, independent of the size of the fleet.
//
// Limits: membership is informational, for operators. No traffic decision uses it.
package membership
