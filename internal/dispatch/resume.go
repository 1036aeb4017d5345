package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// ResumePath is where callers ask for the rest of a stream, through any router:
// GET /v1/resume/{request id}?offset=N with N the number of bytes they have.
const ResumePath = "/v1/resume/"

const resumeWait = 2 * time.Second

// resume serves the rest of a stream that began through any router.
func (d *Dispatcher) resume(x *exchange, set *config.Set, r *http.Request) error {
	workspace, err := find(config.Identity{Header: HeaderWorkspace}, r.Header, nil)
	if err != nil {
		return err
	}
	ref, err := parseStreamRef(strings.TrimPrefix(r.URL.Path, ResumePath), workspace)
	if err != nil {
		return err
	}
	ws, err := authorise(set, ref.service, workspace, r.Header)
	if err != nil {
		return err
	}
	svc := set.Services[ref.service]
	if svc == nil || set.DataCentres[ref.dataCentre] == nil {
		return errkind.New(errkind.StreamGone, "the stream's service or data centre is no longer declared")
	}
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		return errkind.New(errkind.BadRequest, "offset must be the number of bytes that you have")
	}
	route := &treatment{service: svc, repeatable: true, priority: defaultPriority, deadline: defaultDeadline, maxWait: resumeWait}
	x.q = &request{id: x.base, set: set, route: route, limits: limitsFor(set, svc, ws), workspace: workspace, http: r}
	x.id, x.base = ref.id, baseOf(ref.id)
	x.body = newSentBody(nil)
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(r.Context(), route.deadline)
	defer cancel()
	x.deadline = x.began.Add(route.deadline)
	return d.resumeAt(x, ref, offset)
}

// resumeAt needs a place at the stream's own server, since the run may go on.
func (d *Dispatcher) resumeAt(x *exchange, ref streamRef, offset int64) error {
	ask := x.newAsk(x.began)
	ask.Server = ref.server
	permit, err := d.opts.Permits.Ask(x.ctx, ref.dataCentre, ask)
	if err != nil {
		return asRefusal(err)
	}
	run := newRun(x, permit)
	run.sentAt = time.Now()
	run.result.Outcome = errkind.Unknown
	defer func() {
		run.result.Duration = time.Since(run.sentAt)
		permit.Done(run.result)
	}()
	req := streamRequest(x.ctx, permit.Address(), ref.id, offset, run.attempt)
	resp, err := d.transport.RoundTrip(req.WithContext(run.sending.trace(x.ctx)))
	if err != nil {
		return errkind.Wrap(err, errkind.StreamBroken, "the stream's server could not be reached")
	}
	if !isRestOf(resp, ref.id, run.attempt) {
		_ = resp.Body.Close()
		return errkind.New(errkind.StreamGone, "the server no longer keeps the stream")
	}
	d.metrics.resumed.Inc(1)
	return run.stream(resp, offset).err
}
