package telemetry

import (
	"net/http"
	"runtime"

	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are the customary values for an exponentially
// decaying sample of about the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Registry holds one process's metrics. It is safe for concurrent use.
type Registry struct {
	set metrics.Registry
}

// NewRegistry returns an empty registry with gauges of the Go runtime, which
// are read when the metrics are served.
func NewRegistry() *Registry {
	r := &Registry{set: metrics.NewRegistry()}
	r.Gauge("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	r.Gauge("process.heap_bytes", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse)
	})
	return r
}

// Counter returns the counter of that name, created on first use.
func (r *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r.set)
}

// Meter returns the meter of that name, created on first use.
func (r *Registry) Meter(name string) metrics.Meter {
	return metrics.GetOrRegisterMeter(name, r.set)
}

// Histogram returns the histogram of that name, created on first use. Names end
// in the unit, such as "_us".
func (r *Registry) Histogram(name string) metrics.Histogram {
	return r.set.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// Gauge registers a gauge whose value is read when the metrics are served.
// A second gauge of the same name is ignored.
func (r *Registry) Gauge(name string, read func() int64) {
	_ = r.set.Register(name, metrics.NewFunctionalGauge(read))
}

// Handler serves all metrics as JSON.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r.set, w)
	})
}
