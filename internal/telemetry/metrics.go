package telemetry

import (
	"net/http"
	"runtime"

	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are the usual values for an exponentially decaying sample.
// They weight it to about the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	set metrics.Registry
}

// NewRegistry returns a registry that contains only gauges of the Go runtime.
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

// Counter returns the counter with the given name and creates it if necessary.
func (r *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r.set)
}

// Meter returns the meter with the given name and creates it if necessary.
func (r *Registry) Meter(name string) metrics.Meter {
	return metrics.GetOrRegisterMeter(name, r.set)
}

// Histogram returns the histogram with the given name and creates it if necessary. Names
// end with the unit, such as "_us".
func (r *Registry) Histogram(name string) metrics.Histogram {
	return r.set.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// Gauge registers a gauge that calls read whenever the metrics are served. If a metric
// with the name exists already, the call has no effect.
func (r *Registry) Gauge(name string, read func() int64) {
	_ = r.set.Register(name, metrics.NewFunctionalGauge(read))
}

// Handler returns a handler that serves all metrics as one JSON object.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r.set, w)
	})
}
