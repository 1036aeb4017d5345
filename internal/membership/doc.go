// Package membership tells the control group which processes of the fleet live.
//
// A process joins by its settings and keys alone: its Sender reports, in a
// heartbeat, its name, its incarnation (new with every start), its data centre
// and the revision that it has in force. The control group lists what it heard;
// a replaced VM is the same name with another incarnation. A Sender asks one
// control process until that fails, so the traffic is one small call per node
// and interval, whatever the size of the fleet.
//
// Limits: membership is for operators' eyes. No decision on traffic reads it.
package membership
