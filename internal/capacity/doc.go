// Package capacity estimates the memory, network traffic and processor time of
// each role at the target size of the fleet.
//
// A Probe measures one quantity at three or more sizes. A Fit is the linear
// regression through its samples; its slope is the cost of one more unit of size.
// docs/CAPACITY.md states each figure as slope × size, and a test checks the
// page against the committed samples.
//
// Limits: a probe runs in one process on one machine, so the figures for network
// traffic are counts of bytes and messages, not times.
package capacity
