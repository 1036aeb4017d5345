package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// ResumePath is the path at which clients request the rest of a stream, through
// any router: GET /v1/resume/{request id}?offset=N with N the number of bytes
// received so far.
const ResumePath = "/v1/resume/"

const resumeMaxWait = 2 * time.Second

// resume serves the rest of a stream that began through any router.
func (d *Dispatcher) resume(x *exchange, set *config.Set, r *http.Request) error {
	workspace, err := readIdentity(config.NameSource{Header: HeaderWorkspace}, r.Header, nil)
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
		return errkind.New(errkind.BadRequest, "the query parameter offset must be the number of bytes received so far")
	}
	route := &resolvedRoute{service: svc, repeatable: true, priority: defaultPriority, deadline: defaultDeadline, maxWait: resumeMaxWait}
	x.q = &request{id: x.baseID, set: set, route: route, policy: resolvePolicy(set, svc, ws), workspace: workspace, httpRequest: r}
	x.requestID, x.baseID = ref.id, baseIDOf(ref.id)
	x.body = newRequestBody(nil)
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(r.Context(), route.deadline)
	defer cancel()
	x.deadline = x.startedAt.Add(route.deadline)
	return d.resumeFrom(x, ref, offset)
}

// resumeFrom relays the stream from the offset on. It needs a permit for the
// stream's own server, since the run may still be in progress.
func (d *Dispatcher) resumeFrom(x *exchange, ref streamRef, offset int64) error {
	ask := x.newAsk(x.startedAt)
	ask.Server = ref.server
	permit, err := d.opts.Permits.Acquire(x.ctx, ref.dataCentre, ask)
	if err != nil {
		return notRunError(err)
	}
	a := newAttempt(x, permit)
	a.sentAt = time.Now()
	server := deadline.ServerOfOtherRouter(ref.stopsAt, longestDeadline(x.q.route.service), time.Now())
	a.resumed = &server
	a.result.Outcome = errkind.Unknown
	defer func() {
		a.result.Duration = time.Since(a.sentAt)
		permit.Done(a.result)
	}()
	req := streamRequest(x.ctx, permit.Address(), ref.id, offset, a.attemptID)
	resp, err := d.transport.RoundTrip(req.WithContext(a.tracker.trace(x.ctx)))
	if err != nil {
		return errkind.Wrap(err, errkind.StreamBroken, "the request for the rest of the stream failed at its server")
	}
	if !continuesStream(resp, ref.id, a.attemptID) {
		_ = resp.Body.Close()
		return errkind.New(errkind.StreamGone, "the server no longer keeps the stream")
	}
	d.metrics.resumedStreams.Inc(1)
	a.checkEnd(resp)
	return a.forwardStream(resp, offset).err
}

// longestDeadline returns the longest deadline of the service's routes.
func longestDeadline(svc *config.Service) (longest time.Duration) {
	for i := range svc.Routes {
		longest = max(longest, durationOrDefault(svc.Routes[i].Deadline, defaultDeadline))
	}
	return longest
}

// isCompleted asks the server whether the run of a resumed stream, which has ended when the server may have stopped it,
// was completed. Which attempt ran there is not known to this router.
func (r *attempt) isCompleted() bool {
	x := r.x
	for i := 1; i <= x.q.policy.maxAttempts && x.ctx.Err() == nil; i++ {
		switch state, _ := x.d.backendClient.attemptState(r.permit.Address(), x.baseID+"-"+strconv.Itoa(i)); state {
		case AttemptCompleted:
			return true
		case AttemptUnknown: // It may have run under the next one.
		default:
			return false
		}
	}
	return false
}
