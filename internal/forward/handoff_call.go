package forward

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/backend"
)

// confirmTime is how long after its deadline the call to another router may go on that confirms the end of a response: as
// long as that may take, and the ways between the two.
const confirmTime = backend.MaxTimePastDeadline + 40*time.Millisecond

// handoffCall bounds a call to another router: by the end of the request, or by confirmTime after its deadline while the
// other router confirms the end of a response that has ended before. It ends with the client in any case.
type handoffCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	// request is the context of the request, with its deadline.
	request context.Context
	stop    func() bool

	mu sync.Mutex
	// confirmingSince is when the other router told that the response has ended; zero if it has not.
	confirmingSince time.Time
	expiry          *time.Timer
}

func (x *exchange) newHandoffCall() *handoffCall {
	c := &handoffCall{request: x.ctx}
	c.ctx, c.cancel = context.WithCancel(x.r.Context())
	c.stop = context.AfterFunc(x.ctx, func() { c.expire(time.Until(x.deadline) + confirmTime) })
	return c
}

// expire ends the call, whose request has ended, or does so later if the end of its response is being confirmed.
func (c *handoffCall) expire(later time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmingSince.IsZero() {
		c.cancel()
		return
	}
	c.expiry = time.AfterFunc(later, c.cancel)
}

// setConfirming records since when the end of the response is being confirmed; zero if it is not.
func (c *handoffCall) setConfirming(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmingSince = since
	if since.IsZero() && c.request.Err() != nil {
		c.cancel()
	}
}

// endedAt returns when the response had ended that is complete at the given time.
func (c *handoffCall) endedAt(completeAt time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmingSince.IsZero() {
		return completeAt
	}
	return c.confirmingSince
}

// close releases what the call holds.
func (c *handoffCall) close() {
	c.stop()
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
	}
}

// reportConfirming tells the router that has handed the request off that the end of the response is confirmed, so that it
// keeps the call for that, or that it is not.
func (x *exchange) reportConfirming(confirming bool) {
	if x.received == nil || x.confirming == confirming {
		return
	}
	x.confirming = confirming
	// If the call has ended, so has the context of this request.
	_ = x.received.ReportConfirming(confirming)
}
