package forward

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/placement"
)

// finished counts the request and writes its line.
func (x *exchange) finished(err error) {
	took := time.Since(x.began)
	kind := errkind.Of(err)
	m := x.f.opts.Metrics
	m.Histogram("forward.request_us").Update(took.Microseconds())
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
	leftOut, ok := x.f.sampler.Allow("request "+outcome, time.Now())
	if !ok {
		return
	}
	fields := x.fields("outcome", outcome, "status", x.status, "took", took.Round(time.Microsecond), "sends", x.sends, "unreached", x.dials)
	if x.events > 0 {
		fields = append(fields, "events", x.events, "first-event", x.firstEvent.Round(time.Microsecond))
	}
	if err != nil {
		fields = append(fields, "error", err)
	}
	if leftOut > 0 {
		fields = append(fields, "left-out", leftOut)
	}
	x.f.opts.Log.Log(level, "request", fields...)
}

// fields returns what decided about the request, with its age.
func (x *exchange) fields(more ...any) []any {
	fields := []any{"request", x.call.ID, "revision", x.view.Revision}
	if x.view.Set != nil {
		age, _ := x.f.opts.View.Age()
		fields = append(fields, "version", x.view.Set.Version, "confirmed-ago", age.Round(time.Millisecond))
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	if x.workspace != nil {
		fields = append(fields, "workspace", x.workspace.Name)
	}
	if x.last != nil {
		fields = append(fields, "server", x.last.ID, "rank", x.last.Rank, "load", x.last.Load, "pool", x.last.PoolSize)
		if x.last.Source != nil {
			fields = append(fields, "cache-source", x.last.Source.ID)
		}
	}
	return append(fields, more...)
}

// logAttempt tells of an attempt that did not answer the client.
func (f *Forwarder) logAttempt(x *exchange, p *placement.Place, res result) {
	kind := errkind.Of(res.err)
	f.opts.Metrics.Counter("forward.attempt." + string(kind)).Inc(1)
	leftOut, ok := f.sampler.Allow("attempt "+string(kind), time.Now())
	if !ok {
		return
	}
	f.opts.Log.Warn("attempt failed", "request", x.call.ID, "server", p.ID, "address", p.Address, "route", x.route.Name,
		"sent", res.sent, "may-have-run", res.mayHaveRun, "may-repeat", res.again, "events", x.events, "after", time.Since(x.began).Round(time.Microsecond),
		"left", time.Until(x.deadline).Round(time.Millisecond), "error", res.err, "left-out", leftOut)
}
