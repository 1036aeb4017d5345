// Package telemetry provides the logger, the metrics and the admin endpoints of every
// process of the fleet. It uses hclog for logs and go-metrics for metrics. The platform's
// load balancer uses the HTTP endpoints for health and readiness checks.
//
// Metrics are served as one JSON object per registry. The health endpoint shows that the
// process is running. The readiness endpoint shows whether it accepts new work and, if
// not, the reasons. Both answer from memory and never wait for another process.
package telemetry
