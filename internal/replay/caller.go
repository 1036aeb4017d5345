package replay

import (
	"context"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

const (
	// minBackoff is the pause before a caller tries again if the answer names none.
	minBackoff = 200 * time.Millisecond
	// maxBackoff bounds how long the caller follows Retry-After, so that a replay stays short.
	maxBackoff = 3 * time.Second
)

// caller is one caller with one record of the trace.
type caller struct {
	client   *Client
	balancer *Balancer
	patience time.Duration
	index    int
	record   trace.Record

	start     time.Time
	firstByte time.Time
	exchanges []Exchange
	resumes   int
	// received is what came of the stream that is being resumed.
	received int
	stream   string
}

// step is what the caller does after an exchange.
type step int

const (
	stepDone step = iota
	stepAgain
	stepResume
)

// run sends the record until it has an end, and returns all exchanges.
func (c *caller) run(ctx context.Context) (Result, []Exchange) {
	req, err := c.record.Request()
	if err != nil {
		return Result{Record: c.index, Final: FinalNotRun, Kind: errkind.BadRequest}, nil
	}
	want := standin.ResponseBytes(req)
	ctx, cancel := context.WithTimeout(ctx, c.patience+defaultPatience)
	defer cancel()
	c.start = time.Now()
	avoid := ""
	var last reply
	for {
		r, ok := c.balancer.Pick(avoid)
		if !ok {
			if !c.pause(ctx, minBackoff) {
				return c.result(last, FinalNotRun), c.exchanges
			}
			continue
		}
		last = c.client.Send(ctx, r, request{
			record: c.index, req: req, key: c.record.Key, want: want, resume: c.stream, offset: c.received,
		})
		c.note(last)
		if last.NotSent {
			c.balancer.Down(r.Name)
		}
		next, wait := c.decide(last)
		if next == stepDone || !c.pause(ctx, wait) {
			return c.result(last, final(c.exchanges, last)), c.exchanges
		}
		avoid = r.Name
	}
}

func (c *caller) note(r reply) {
	c.exchanges = append(c.exchanges, r.Exchange)
	if c.firstByte.IsZero() && r.Status == 200 && len(r.body) > 0 {
		c.firstByte = r.FirstByte
	}
	if r.Resumed {
		c.resumes++
	}
}

// decide returns what to do after an exchange, and how long to wait before it.
func (c *caller) decide(r reply) (step, time.Duration) {
	switch {
	case r.NotSent:
		return stepAgain, 0
	case r.Verdict == AnswerWhole || r.Verdict == AnswerWrong:
		return stepDone, 0
	case r.Verdict == AnswerBroken && c.record.Stream && c.streamID(r) != "":
		c.stream = c.streamID(r)
		c.received += len(r.body)
		return stepResume, minBackoff
	case r.Resumed && r.Broken():
		return stepResume, minBackoff
	case r.Resumed && r.Outcome == errkind.NotRun:
		return stepResume, backoff(r)
	case r.Resumed:
		c.stream, c.received = "", 0 // the stream is gone: a call that may be repeated starts over
		return stepAgain, minBackoff
	case r.Broken():
		return stepAgain, minBackoff
	}
	row := errkind.Lookup(r.Kind)
	switch {
	case row.Retry == errkind.RetryLater, r.Kind == errkind.InProgress:
		return stepAgain, backoff(r)
	case r.Outcome == errkind.Unknown && r.Kind != errkind.OutcomeUnknown && r.Kind != errkind.KeyTooOld:
		return stepAgain, backoff(r)
	case r.Outcome == errkind.Failed && c.record.Kind != trace.KindOnce:
		return stepAgain, backoff(r)
	}
	return stepDone, 0
}

func (c *caller) streamID(r reply) string {
	if r.Resumed {
		return c.stream
	}
	return r.RequestID
}

func backoff(r reply) time.Duration {
	return min(max(r.RetryAfter, minBackoff), maxBackoff)
}

// pause waits; it returns false when the caller's patience is over.
func (c *caller) pause(ctx context.Context, d time.Duration) bool {
	if time.Since(c.start)+d > c.patience {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// final returns what the caller knows in the end.
func final(all []Exchange, last reply) Final {
	switch {
	case last.Verdict == AnswerWhole:
		return FinalWhole
	case last.Kind == errkind.AnswerNotKept:
		return FinalNotKept
	case last.Outcome == errkind.Failed:
		return FinalFailed
	}
	for _, e := range all {
		if !e.NotSent && e.Outcome != errkind.NotRun {
			return FinalUnknown
		}
	}
	return FinalNotRun
}

func (c *caller) result(last reply, f Final) Result {
	r := Result{Record: c.index, Final: f, Kind: last.Kind, Total: time.Since(c.start), Exchanges: len(c.exchanges), Resumes: c.resumes}
	if !c.firstByte.IsZero() {
		r.FirstByte = c.firstByte.Sub(c.start)
	}
	return r
}
