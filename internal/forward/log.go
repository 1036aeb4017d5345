package forward

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/placement"
)

// recordOutcome updates the metrics for a completed request and logs it.
func (x *exchange) recordOutcome(err error) {
	duration := time.Since(x.startedAt)
	x.recordDuration(err, duration)
	kind := errkind.Of(err)
	m := x.f.opts.Metrics
	m.Histogram("forward.request_us").Update(duration.Microseconds())
	if x.firstEvent > 0 {
		m.Histogram("forward.first_event_us").Update(x.firstEvent.Microseconds())
	}
	outcome := string(kind)
	level := hclog.Info
	if err == nil {
		outcome = "answered"
	} else {
		row := errkind.Lookup(kind)
		level = max(hclog.Info, row.Level)
		if !x.headerSent {
			x.status = row.Status
		}
	}
	m.Counter("forward.outcome." + outcome).Inc(1)
	suppressed, ok := x.f.sampler.Allow("request "+outcome, time.Now())
	if !ok {
		return
	}
	fields := x.logFields("outcome", outcome, "status", x.status, "took", duration.Round(time.Microsecond), "sends", x.sends, "unreached", x.failedDials)
	if x.eventsSent > 0 {
		fields = append(fields, "events", x.eventsSent, "first-event", x.firstEvent.Round(time.Microsecond))
	}
	if x.unframed {
		fields = append(fields, "without-length", true)
	}
	if timeout := x.serverDeadline.Timeout(); timeout > 0 {
		fields = append(fields, "server-timeout", timeout, "server-left", x.serverDeadline.Left(time.Now()).Round(time.Microsecond))
	}
	if err != nil {
		fields = append(fields, "error", err)
	}
	if suppressed > 0 {
		fields = append(fields, "left-out", suppressed)
	}
	x.f.opts.Log.Log(level, "request", fields...)
}

// logFields returns the log fields for the state that determined how the request
// was handled, including the time since the configuration was last confirmed.
func (x *exchange) logFields(extra ...any) []any {
	fields := []any{"request", x.requestInfo.ID, "revision", x.view.Revision}
	if x.view.Configuration != nil {
		age, _ := x.f.opts.View.ConfirmationAge()
		fields = append(fields, "version", x.view.Configuration.Version, "confirmed-ago", age.Round(time.Millisecond))
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	if x.workspace != nil {
		fields = append(fields, "workspace", x.workspace.Name)
	}
	if x.requestInfo.Resumes != "" {
		fields = append(fields, "resumes", x.requestInfo.Resumes)
	}
	if x.resumedBy != "" {
		fields = append(fields, "resumed-by", x.resumedBy, "stream-version", x.origin.Version)
	}
	if x.received != nil {
		fields = append(fields, "handed-off-by", x.received.Router)
	}
	if len(x.handedOffTo) > 0 {
		fields = append(fields, "handed-off-to", x.handedOffTo)
	}
	if x.lastPicked != nil {
		fields = append(fields, "server", x.lastPicked.ID, "server-version", x.lastPicked.Version, "born", x.lastPicked.Born, "rank", x.lastPicked.Rank, "load", x.lastPicked.Load, "pool", x.lastPicked.PoolSize)
		if x.lastPicked.CacheSource != nil {
			fields = append(fields, "cache-source", x.lastPicked.CacheSource.ID)
		}
	}
	return append(fields, extra...)
}

// maxLoggedPartBytes limits the part ids in a log line, since clients choose them.
const maxLoggedPartBytes = 200

// sharedPartIDs lists the ids of the prompt's shared parts for the log.
func (x *exchange) sharedPartIDs() string {
	var ids []string
	for _, part := range x.sharedParts() {
		ids = append(ids, part.ID)
	}
	list := strings.Join(ids, ",")
	return list[:min(len(list), maxLoggedPartBytes)]
}

// logFailedAttempt counts and logs an attempt that did not produce the client's
// response.
func (f *Forwarder) logFailedAttempt(x *exchange, p *placement.PickResult, res attemptResult) {
	kind := errkind.Of(res.err)
	f.opts.Metrics.Counter("forward.attempt." + string(kind)).Inc(1)
	if errors.Is(res.err, backend.ErrEndUnconfirmed) {
		f.opts.Metrics.Counter("forward.ends.unconfirmed").Inc(1)
	}
	f.countEnd(res.err)
	suppressed, ok := f.sampler.Allow("attempt "+string(kind), time.Now())
	if !ok {
		return
	}
	f.opts.Log.Warn("attempt failed", "request", x.requestInfo.ID, "server", p.ID, "address", p.Address, "server-version", p.Version, "route", x.route.Name, "prompt", x.sharedPartIDs(), "fingerprint", x.fingerprint.String(),
		"sent", res.sent, "may-have-run", res.mayHaveRun, "may-repeat", res.retryable, "events", x.eventsSent, "after", time.Since(x.startedAt).Round(time.Microsecond),
		"left", time.Until(x.deadline).Round(time.Millisecond), "error", res.err, "left-out", suppressed)
}

// countEnd counts an end of a response that its server may have stopped at its deadline.
func (f *Forwarder) countEnd(err error) {
	if errors.Is(err, deadline.ErrEnd) {
		f.opts.Metrics.Counter("forward.ends.at_deadline").Inc(1)
	}
}

// logFailedHandoff counts and logs that another router did not produce the client's response.
func (f *Forwarder) logFailedHandoff(x *exchange, address string, res attemptResult) {
	kind := errkind.Of(res.err)
	f.opts.Metrics.Counter("forward.handoff." + string(kind)).Inc(1)
	f.countEnd(res.err)
	suppressed, ok := f.sampler.Allow("handoff "+string(kind), time.Now())
	if !ok {
		return
	}
	f.opts.Log.Warn("handoff failed", "request", x.requestInfo.ID, "router", address, "may-have-run", res.mayHaveRun, "may-repeat", res.retryable, "events", x.eventsSent,
		"after", time.Since(x.startedAt).Round(time.Microsecond), "left", time.Until(x.deadline).Round(time.Millisecond), "error", res.err, "left-out", suppressed)
}

// recordIrregularity counts and logs what is irregular in the ids that a server, maybe behind another router, wrote.
func (x *exchange) recordIrregularity(what irregularity, server, id, previous string) {
	x.f.opts.Metrics.Counter("forward.streams." + string(what)).Inc(1)
	suppressed, ok := x.f.sampler.Allow("ids "+string(what), time.Now())
	if !ok {
		return
	}
	fields := []any{"ids", what, "request", x.requestInfo.ID, "server", server, "event", limitID(id), "after", limitID(previous), "events", x.eventsSent, "left-out", suppressed}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	if len(x.handedOffTo) > 0 {
		fields = append(fields, "handed-off-to", x.handedOffTo)
	}
	x.f.opts.Log.Warn("irregular ids", fields...)
}

// maxLoggedIDBytes limits an event's id in a log line or error, since servers choose it.
const maxLoggedIDBytes = 80

func limitID(id string) string { return id[:min(len(id), maxLoggedIDBytes)] }
