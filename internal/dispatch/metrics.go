package dispatch

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// dispatcherMetrics holds the dispatcher's metrics.
type dispatcherMetrics struct {
	requests            metrics.Counter
	completed           metrics.Counter
	errorsByKind        map[errkind.Kind]metrics.Counter
	attempts            metrics.Counter
	retries             metrics.Counter
	resumedStreams      metrics.Counter
	mismatchedResponses metrics.Counter
	replayedResponses   metrics.Counter
	endsAtDeadline      metrics.Counter
	duration            metrics.Histogram
	permitWait          metrics.Histogram
}

func newDispatcherMetrics(reg *telemetry.Registry) *dispatcherMetrics {
	m := &dispatcherMetrics{
		requests:            reg.Counter("dispatch.requests"),
		completed:           reg.Counter("dispatch.answered"),
		errorsByKind:        map[errkind.Kind]metrics.Counter{},
		attempts:            reg.Counter("dispatch.attempts"),
		retries:             reg.Counter("dispatch.retries"),
		resumedStreams:      reg.Counter("dispatch.streams_resumed"),
		mismatchedResponses: reg.Counter("dispatch.answers_crossed"),
		endsAtDeadline:      reg.Counter("dispatch.ends_at_deadline"),
		replayedResponses:   reg.Counter("dispatch.answers_replayed"),
		duration:            reg.Histogram("dispatch.duration_us"),
		permitWait:          reg.Histogram("dispatch.permit_wait_us"),
	}
	for _, row := range errkind.Table {
		m.errorsByKind[row.Kind] = reg.Counter("dispatch.error." + string(row.Kind))
	}
	return m
}

func (m *dispatcherMetrics) recordRequest(err error, elapsed time.Duration) {
	m.requests.Inc(1)
	m.duration.Update(elapsed.Microseconds())
	if err == nil {
		m.completed.Inc(1)
		return
	}
	m.errorsByKind[errkind.Lookup(errkind.Of(err)).Kind].Inc(1)
}
