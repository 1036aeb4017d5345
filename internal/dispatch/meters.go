package dispatch

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// meters are the dispatcher's metrics.
type meters struct {
	requests  metrics.Counter
	completed metrics.Counter
	byKind    map[errkind.Kind]metrics.Counter
	attempts  metrics.Counter
	retries   metrics.Counter
	resumed   metrics.Counter
	crossed   metrics.Counter
	replayed  metrics.Counter
	duration  metrics.Histogram
	permit    metrics.Histogram
}

func newMeters(reg *telemetry.Registry) *meters {
	m := &meters{
		requests:  reg.Counter("dispatch.requests"),
		completed: reg.Counter("dispatch.answered"),
		byKind:    map[errkind.Kind]metrics.Counter{},
		attempts:  reg.Counter("dispatch.attempts"),
		retries:   reg.Counter("dispatch.retries"),
		resumed:   reg.Counter("dispatch.streams_resumed"),
		crossed:   reg.Counter("dispatch.answers_crossed"),
		replayed:  reg.Counter("dispatch.answers_replayed"),
		duration:  reg.Histogram("dispatch.duration_us"),
		permit:    reg.Histogram("dispatch.permit_wait_us"),
	}
	for _, row := range errkind.Table {
		m.byKind[row.Kind] = reg.Counter("dispatch.error." + string(row.Kind))
	}
	return m
}

func (m *meters) done(err error, took time.Duration) {
	m.requests.Inc(1)
	m.duration.Update(took.Microseconds())
	if err == nil {
		m.completed.Inc(1)
		return
	}
	m.byKind[errkind.Lookup(errkind.Of(err)).Kind].Inc(1)
}
