// Package telemetry sets up what every process of the fleet tells about
// itself: logs by hclog, metrics by go-metrics, and the HTTP endpoints by which
// the platform's balancer asks whether a process lives and may be given work.
//
// Metrics are served as one JSON object per registry. Health says that the
// process runs; readiness says that it wants new work, with the reasons when it
// does not. Both answer from memory and never wait for another process.
package telemetry
