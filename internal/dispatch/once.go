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
	// claimTime bounds the wait for a quorum; the request is refused after it.
	claimTime = 3 * time.Second
	// askInterval is the time between questions about an attempt of unknown outcome.
	askInterval = time.Second
	// askBeyond is how long after the deadline the server is still asked.
	askBeyond = 10 * time.Second
)

// heldClaim is this router's right to run a request that may not be repeated.
// Its methods do nothing on a nil receiver, which stands for a repeatable request.
type heldClaim struct {
	key     *controlpb.ClaimKey
	attempt string
	fence   uint64
	state   controlpb.ClaimState
	answer  *controlpb.RecordedAnswer
}

// runOnce claims the request, runs it, and settles the claim with what is surely
// known. The run does not end with the caller's connection: its answer is kept
// for the resend.
func (x *exchange) runOnce(r *http.Request) error {
	route := x.q.route
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(context.WithoutCancel(r.Context()), route.deadline)
	defer cancel()
	x.deadline = x.began.Add(route.deadline)

	granted, err := x.takeClaim()
	if err != nil || !granted {
		return err
	}
	err = x.run()
	x.settle()
	return err
}

// takeClaim records the request on a quorum. It is false without an error when
// the caller has been given the recorded answer.
func (x *exchange) takeClaim() (bool, error) {
	q := x.q
	c := &heldClaim{
		key:     &controlpb.ClaimKey{Service: q.route.service.Name, Workspace: q.workspace, IdempotencyKey: q.key},
		attempt: x.base + "-1",
	}
	ctx, cancel := context.WithTimeout(x.ctx, claimTime)
	defer cancel()
	resp, err := x.d.opts.Claims.Claim(ctx, &controlpb.ClaimRequest{
		Key:         c.key,
		BodyHash:    q.bodyHash(),
		AttemptId:   c.attempt,
		Router:      x.d.opts.Router,
		RetentionMs: uint64(q.limits.claimRetention.Milliseconds()),
		RunMs:       uint64((q.route.deadline + askBeyond).Milliseconds()),
	})
	if err != nil {
		// The claim may stand without our knowing it; nothing was sent, so give it back.
		x.d.opts.Claims.Settle(x.ctx, &controlpb.SettleRequest{Key: c.key, AttemptId: c.attempt})
		if errkind.Lookup(errkind.Of(err)).Outcome != errkind.NotRun {
			err = errkind.Wrap(err, errkind.NoQuorum, "the request could not be recorded, so it was not run")
		}
		return false, err
	}
	if resp.State == controlpb.ClaimState_CLAIM_STATE_GRANTED && resp.AttemptId == c.attempt {
		c.fence = resp.Fence
		x.claim = c
		return true, nil
	}
	return false, x.answerResend(resp)
}

// answerResend answers from the record of an earlier request with the same key.
func (x *exchange) answerResend(resp *controlpb.ClaimResponse) error {
	switch resp.State {
	case controlpb.ClaimState_CLAIM_STATE_COMPLETED:
		return x.replay(resp.Answer, errkind.Completed, errkind.AnswerNotKept)
	case controlpb.ClaimState_CLAIM_STATE_FAILED:
		return x.replay(resp.Answer, errkind.Failed, errkind.BackendFailed)
	case controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS, controlpb.ClaimState_CLAIM_STATE_GRANTED:
		return errkind.New(errkind.InProgress, "a request with this key is running")
	case controlpb.ClaimState_CLAIM_STATE_KEY_CONFLICT:
		return errkind.New(errkind.KeyConflict, "the key was used with another request")
	case controlpb.ClaimState_CLAIM_STATE_TOO_LATE:
		return errkind.New(errkind.KeyTooOld, "the key is older than the records kept")
	default:
		return errkind.New(errkind.OutcomeUnknown, "a request with this key may have run; it is not run again")
	}
}

func (x *exchange) replay(a *controlpb.RecordedAnswer, o errkind.Outcome, notKept errkind.Kind) error {
	if a == nil || a.NotKept || a.Status == 0 {
		return errkind.New(notKept, "%s", errkind.Lookup(notKept).Meaning)
	}
	h := x.w.Header()
	setOutcome(h, x.base, o)
	h.Set(HeaderReplayed, ranYes)
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	x.headerSent = true
	x.w.WriteHeader(int(a.Status))
	x.d.metrics.replayed.Inc(1)
	if err := x.write(a.Body); err != nil {
		return errkind.Wrap(err, errkind.ClientGone, "the caller took no answer")
	}
	return nil
}

// keep appends to the kept copy, up to one byte over the limit.
func (c *heldClaim) keep(q *request, kept, p []byte) []byte {
	if c == nil {
		return nil
	}
	room := q.limits.maxKept + 1 - len(kept)
	return append(kept, p[:min(len(p), max(0, room))]...)
}

// answered notes the server's whole answer.
func (c *heldClaim) answered(resp *http.Response, o errkind.Outcome, kept []byte, total int64) {
	if c == nil {
		return
	}
	c.state = controlpb.ClaimState_CLAIM_STATE_COMPLETED
	if o == errkind.Failed {
		c.state = controlpb.ClaimState_CLAIM_STATE_FAILED
	}
	c.answer = &controlpb.RecordedAnswer{Status: uint32(resp.StatusCode), ContentType: resp.Header.Get("Content-Type")}
	if int64(len(kept)) < total {
		c.answer.NotKept = true
		return
	}
	c.answer.Body = append([]byte(nil), kept...)
}

// settle records what became of the claimed run.
func (x *exchange) settle() {
	c := x.claim
	req := &controlpb.SettleRequest{Key: c.key, AttemptId: c.attempt, State: c.state, Answer: c.answer}
	if c.state != controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED {
		if len(c.answer.Body) > x.q.limits.maxKept {
			c.answer.Body, c.answer.NotKept = nil, true
		}
		x.d.opts.Claims.Settle(x.ctx, req)
		return
	}
	if !x.mayHaveRun {
		x.d.opts.Claims.Settle(x.ctx, req) // given back: the request surely did not run
		return
	}
	x.d.unsettled.Add(1)
	go func() {
		defer x.d.unsettled.Done()
		x.d.settleLater(x.address, req, x.deadline.Add(askBeyond))
	}()
}

// settleLater asks the server what became of the attempt until it knows the end
// or the time is over, then records the answer. A server that does not know the
// attempt may still be about to receive it, so that word settles nothing.
func (d *Dispatcher) settleLater(address string, req *controlpb.SettleRequest, until time.Time) {
	req.State = controlpb.ClaimState_CLAIM_STATE_UNKNOWN
	for {
		state, ok := d.side.attemptState(address, req.AttemptId)
		switch {
		case state == AttemptCompleted:
			req.State = controlpb.ClaimState_CLAIM_STATE_COMPLETED
			req.Answer = &controlpb.RecordedAnswer{NotKept: true}
		case state == AttemptFailed:
			req.State = controlpb.ClaimState_CLAIM_STATE_FAILED
			req.Answer = &controlpb.RecordedAnswer{NotKept: true}
		case !ok || state == AttemptRunning || state == AttemptUnknown:
			if d.waitToAsk(until) {
				continue
			}
		}
		d.opts.Claims.Settle(context.Background(), req)
		return
	}
}

// waitToAsk reports whether the server may be asked once more.
func (d *Dispatcher) waitToAsk(until time.Time) bool {
	if !time.Now().Add(askInterval).Before(until) {
		return false
	}
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.closed:
		return false
	}
}
