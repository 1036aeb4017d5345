// Package capacity works out what each role holds, sends and computes at the
// target's size.
//
// A Probe measures one quantity at three sizes or more. A Fit is the straight
// line through its samples; its slope is the cost of one more unit of size.
// docs/CAPACITY.md states each figure as slope × size, and a test holds the page
// to the committed samples.
//
// Limits: a probe runs in one process on one machine, so figures for the network
// between machines are counts of bytes and messages, not times.
package capacity
