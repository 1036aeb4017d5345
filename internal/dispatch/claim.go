package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// claimTimeout limits the wait for a quorum; the request is refused after it.
	claimTimeout = 3 * time.Second
	// attemptQueryInterval is the time between queries for an attempt of unknown
	// outcome.
	attemptQueryInterval = time.Second
	// attemptQueryGrace is how long after the deadline the server is still
	// queried.
	attemptQueryGrace = 10 * time.Second
)

// claim is this router's right to run a request that may not be repeated. Its
// methods do nothing on a nil receiver, which stands for a repeatable request.
type claim struct {
	key       *controlpb.ClaimKey
	attemptID string
	fence     uint64
	state     controlpb.ClaimState
	response  *controlpb.RecordedAnswer
}

// runClaimed claims the request, runs it, and settles the claim with what is
// known for certain. The run does not end with the client's connection: its
// response is recorded for a resend by the client.
func (x *exchange) runClaimed(r *http.Request) error {
	route := x.q.route
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(context.WithoutCancel(r.Context()), route.deadline)
	defer cancel()

	granted, err := x.acquireClaim()
	if err != nil || !granted {
		return err
	}
	err = x.runAttempts()
	x.settle()
	return err
}

// acquireClaim records the request on a quorum. It returns false without an error
// if the client has been sent the recorded response.
func (x *exchange) acquireClaim() (bool, error) {
	q := x.q
	c := &claim{
		key:       &controlpb.ClaimKey{Service: q.route.service.Name, Workspace: q.workspace, IdempotencyKey: q.idempotencyKey},
		attemptID: x.baseID + "-1",
	}
	ctx, cancel := context.WithTimeout(x.ctx, claimTimeout)
	defer cancel()
	resp, err := x.d.opts.Claims.Claim(ctx, &controlpb.ClaimRequest{
		Key:         c.key,
		BodyHash:    q.bodyHash(),
		AttemptId:   c.attemptID,
		Router:      x.d.opts.RouterName,
		RetentionMs: uint64(q.policy.claimRetention.Milliseconds()),
		RunMs:       uint64((q.route.deadline + attemptQueryGrace).Milliseconds()),
	})
	if err != nil {
		// The claim may have been recorded although the call failed. Nothing was sent to a
		// server, so release it.
		x.d.opts.Claims.Settle(x.ctx, &controlpb.SettleRequest{Key: c.key, AttemptId: c.attemptID})
		if errkind.Lookup(errkind.Of(err)).Outcome != errkind.NotRun {
			err = errkind.Wrap(err, errkind.NoQuorum, "the request could not be recorded, so it was not run")
		}
		return false, err
	}
	if resp.State == controlpb.ClaimState_CLAIM_STATE_GRANTED && resp.AttemptId == c.attemptID {
		c.fence = resp.Fence
		x.claim = c
		return true, nil
	}
	return false, x.respondFromRecord(resp)
}

// respondFromRecord responds from the record of an earlier request with the same
// key.
func (x *exchange) respondFromRecord(resp *controlpb.ClaimResponse) error {
	switch resp.State {
	case controlpb.ClaimState_CLAIM_STATE_COMPLETED:
		return x.replayResponse(resp.Answer, errkind.Completed, errkind.AnswerNotKept)
	case controlpb.ClaimState_CLAIM_STATE_FAILED:
		return x.replayResponse(resp.Answer, errkind.Failed, errkind.BackendFailed)
	case controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS, controlpb.ClaimState_CLAIM_STATE_GRANTED:
		return errkind.New(errkind.InProgress, "a request with this idempotency key is running")
	case controlpb.ClaimState_CLAIM_STATE_KEY_CONFLICT:
		return errkind.New(errkind.KeyConflict, "the idempotency key was used for a different request")
	case controlpb.ClaimState_CLAIM_STATE_TOO_LATE:
		return errkind.New(errkind.KeyTooOld, "the idempotency key is older than the retention period of claims")
	default:
		return errkind.New(errkind.OutcomeUnknown, "a request with this idempotency key may have run; it is not run again")
	}
}

func (x *exchange) replayResponse(a *controlpb.RecordedAnswer, o errkind.Outcome, notKeptKind errkind.Kind) error {
	if a == nil || a.NotKept || a.Status == 0 {
		return errkind.New(notKeptKind, "%s", errkind.Lookup(notKeptKind).Meaning)
	}
	h := x.w.Header()
	setOutcomeHeaders(h, x.baseID, o)
	h.Set(HeaderReplayed, ranYes)
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	x.headerSent = true
	x.w.WriteHeader(int(a.Status))
	x.d.metrics.replayedResponses.Inc(1)
	if err := x.write(a.Body); err != nil {
		return errkind.Wrap(err, errkind.ClientGone, "write the recorded response to the client")
	}
	return nil
}

// appendRecorded appends p to the copy of the response that is to be recorded, up
// to one byte over the limit.
func (c *claim) appendRecorded(q *request, recorded, p []byte) []byte {
	if c == nil {
		return nil
	}
	room := q.policy.maxRecordedBytes + 1 - len(recorded)
	return append(recorded, p[:min(len(p), max(0, room))]...)
}

// recordResponse records the server's complete response for settle.
func (c *claim) recordResponse(resp *http.Response, o errkind.Outcome, recorded []byte, total int64) {
	if c == nil {
		return
	}
	c.state = controlpb.ClaimState_CLAIM_STATE_COMPLETED
	if o == errkind.Failed {
		c.state = controlpb.ClaimState_CLAIM_STATE_FAILED
	}
	c.response = &controlpb.RecordedAnswer{Status: uint32(resp.StatusCode), ContentType: resp.Header.Get("Content-Type")}
	if int64(len(recorded)) < total {
		c.response.NotKept = true
		return
	}
	c.response.Body = append([]byte(nil), recorded...)
}

// settle records the outcome of the claimed request. If the outcome is unknown,
// the server is queried in the background.
func (x *exchange) settle() {
	c := x.claim
	req := &controlpb.SettleRequest{Key: c.key, AttemptId: c.attemptID, State: c.state, Answer: c.response}
	if c.state != controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED {
		if len(c.response.Body) > x.q.policy.maxRecordedBytes {
			c.response.Body, c.response.NotKept = nil, true
		}
		x.d.opts.Claims.Settle(x.ctx, req)
		return
	}
	if !x.mayHaveRun {
		x.d.opts.Claims.Settle(x.ctx, req) // releases the claim: the request certainly did not run
		return
	}
	x.d.pendingClaims.Add(1)
	go func() {
		defer x.d.pendingClaims.Done()
		x.d.settleInBackground(x.serverAddress, req, x.deadline.Add(attemptQueryGrace))
	}()
}

// settleInBackground queries the server for the state of the attempt until the
// attempt has ended or the time is over, then records the outcome. A server that
// does not know the attempt may still receive it, so that state settles nothing.
func (d *Dispatcher) settleInBackground(address string, req *controlpb.SettleRequest, until time.Time) {
	req.State = controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	for {
		state, ok := d.backendClient.attemptState(address, req.AttemptId)
		switch {
		case state == AttemptCompleted:
			req.State = controlpb.ClaimState_CLAIM_STATE_COMPLETED
			req.Answer = &controlpb.RecordedAnswer{NotKept: true}
		case state == AttemptFailed:
			req.State = controlpb.ClaimState_CLAIM_STATE_FAILED
			req.Answer = &controlpb.RecordedAnswer{NotKept: true}
		case !ok || state == AttemptRunning || state == AttemptUnknown:
			if d.waitForNextQuery(until) {
				continue
			}
		}
		d.opts.Claims.Settle(context.Background(), req)
		return
	}
}

// waitForNextQuery waits for the query interval and reports whether the server
// may be queried once more. It returns false if no query is left before until or
// the Dispatcher is closed.
func (d *Dispatcher) waitForNextQuery(until time.Time) bool {
	if !time.Now().Add(attemptQueryInterval).Before(until) {
		return false
	}
	timer := time.NewTimer(attemptQueryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.closed:
		return false
	}
}
