package forward

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

// crashCheckTimeout limits how long the check of a server waits for a connection.
const crashCheckTimeout = time.Second

// crashDetector finds out whether a server whose response broke off has ended, and reports
// it with the subjects of the requests that broke off with it.
type crashDetector struct {
	pool   *backend.Pool
	report func(quarantine.Crash)

	mu sync.Mutex
	// pending holds the subjects to report by server, while the server is being checked.
	pending map[quarantine.Incarnation][]quarantine.Subject
}

func newCrashDetector(pool *backend.Pool, report func(quarantine.Crash)) *crashDetector {
	return &crashDetector{pool: pool, report: report, pending: map[quarantine.Incarnation][]quarantine.Subject{}}
}

// responseBroken starts a check of the server, unless one is already running.
func (d *crashDetector) responseBroken(server quarantine.Incarnation, target backend.Target, suspects []quarantine.Subject) {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspected, running := d.pending[server]
	d.pending[server] = append(suspected, suspects...)
	if !running {
		go d.check(server, target)
	}
}

func (d *crashDetector) check(server quarantine.Incarnation, target backend.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	ended := d.pool.Refused(ctx, target)
	d.mu.Lock()
	suspects := d.pending[server]
	delete(d.pending, server)
	d.mu.Unlock()
	if ended {
		d.report(quarantine.Crash{Server: server, Suspects: suspects})
	}
}

// reportCrash passes a crash on to the directory.
func (f *Forwarder) reportCrash(c quarantine.Crash) {
	if !f.opts.View.ReportCrash(c) {
		return
	}
	f.opts.Metrics.Counter("forward.servers_ended").Inc(1)
	if suppressed, ok := f.sampler.Allow("server ended", time.Now()); ok {
		f.opts.Log.Warn("server ended under requests", "server", c.Server.Server, "born", c.Server.Born, "suspects", len(c.Suspects), "left-out", suppressed)
	}
}

// checkCrash has the server of a failed attempt checked if its connection broke before the
// request was known to be survived.
func (x *exchange) checkCrash(picked *placement.PickResult, res attemptResult) {
	if !res.sent || !res.mayHaveRun || res.survived || x.ctx.Err() != nil {
		return
	}
	switch errkind.Of(res.err) {
	case errkind.StreamBroken, errkind.BackendLost:
		x.f.crashes.responseBroken(quarantine.Incarnation{Server: picked.ID, Born: picked.Born}, x.backendTarget(picked.Server), x.subjects)
	}
}

// checkQuarantine returns an error if the request must not be sent to a server because of a
// quarantine.
func (x *exchange) checkQuarantine() error {
	q := x.f.opts.View.Refuses(x.subjects)
	if q == nil {
		return nil
	}
	return x.quarantineError(q)
}

func (x *exchange) quarantineError(q *fleetview.Quarantine) error {
	retryAfter := q.Subject.TestAfter(q.Strikes)
	if q.Subject.Request {
		return errkind.New(errkind.RequestQuarantined, "the request with fingerprint %s to service %q is quarantined since servers ended under it (%s, strikes: %d)", x.fingerprint, x.service.Name, q.Subject, q.Strikes).
			WithRetryAfter(retryAfter)
	}
	id := ""
	for i, part := range x.sharedParts() {
		if x.subjects[i] == q.Subject {
			id = part.ID
		}
	}
	return errkind.New(errkind.PromptQuarantined, "prompt part %q of service %q is quarantined since servers ended under it (%s, strikes: %d)", id, x.service.Name, q.Subject, q.Strikes).
		WithRetryAfter(retryAfter)
}
