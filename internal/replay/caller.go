package replay

import (
	"context"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

const (
	// minBackoff is the minimum delay before a retry, also without Retry-After.
	minBackoff = 200 * time.Millisecond
	// maxBackoff caps Retry-After, so that a replay stays short.
	maxBackoff = 3 * time.Second
)

// caller simulates the client that sends one record of the trace.
type caller struct {
	client   *Client
	balancer *Balancer
	timeout  time.Duration
	index    int
	record   trace.Record

	start     time.Time
	firstByte time.Time
	exchanges []Exchange
	resumes   int
	// resumeOffset is the number of bytes received of the stream being resumed.
	resumeOffset int
	stream       string
}

// step is the action of a caller after an exchange.
type step int

const (
	stepDone step = iota
	stepRetry
	stepResume
)

// run sends the record until the caller has a final result, and returns it with all
// exchanges.
func (c *caller) run(ctx context.Context) (Result, []Exchange) {
	req, err := c.record.Request()
	if err != nil {
		return Result{Record: c.index, Final: FinalNotRun, Kind: errkind.BadRequest}, nil
	}
	want := standin.ResponseBytes(req)
	ctx, cancel := context.WithTimeout(ctx, c.timeout+defaultCallerTimeout)
	defer cancel()
	c.start = time.Now()
	avoid := ""
	var last reply
	for {
		r, ok := c.balancer.Pick(avoid)
		if !ok {
			if !c.wait(ctx, minBackoff) {
				return c.result(last, FinalNotRun), c.exchanges
			}
			continue
		}
		last = c.client.Send(ctx, r, request{
			record: c.index, req: req, key: c.record.Key, wantBody: want, resumeID: c.stream, offset: c.resumeOffset,
		})
		c.recordExchange(last)
		if last.NotSent {
			c.balancer.MarkNotReady(r.Name)
		}
		next, delay := c.nextStep(last)
		if next == stepDone || !c.wait(ctx, delay) {
			return c.result(last, finalState(c.exchanges, last)), c.exchanges
		}
		avoid = r.Name
	}
}

func (c *caller) recordExchange(r reply) {
	c.exchanges = append(c.exchanges, r.Exchange)
	if c.firstByte.IsZero() && r.Status == 200 && len(r.body) > 0 {
		c.firstByte = r.FirstByte
	}
	if r.Resumed {
		c.resumes++
	}
}

// nextStep returns the action after an exchange and the delay before it.
func (c *caller) nextStep(r reply) (step, time.Duration) {
	switch {
	case r.NotSent:
		return stepRetry, 0
	case r.Verdict == VerdictComplete || r.Verdict == VerdictWrong:
		return stepDone, 0
	case r.Verdict == VerdictTruncated && c.record.Stream && c.streamID(r) != "":
		c.stream = c.streamID(r)
		c.resumeOffset += len(r.body)
		return stepResume, minBackoff
	case r.Resumed && r.Broken():
		return stepResume, minBackoff
	case r.Resumed && r.Outcome == errkind.NotRun:
		return stepResume, backoff(r)
	case r.Resumed:
		c.stream, c.resumeOffset = "", 0 // the stream is lost; a repeatable call starts over
		return stepRetry, minBackoff
	case r.Broken():
		return stepRetry, minBackoff
	}
	row := errkind.Lookup(r.Kind)
	switch {
	case row.Retry == errkind.RetryLater, r.Kind == errkind.InProgress:
		return stepRetry, backoff(r)
	case r.Outcome == errkind.Unknown && r.Kind != errkind.OutcomeUnknown && r.Kind != errkind.KeyTooOld:
		return stepRetry, backoff(r)
	case r.Outcome == errkind.Failed && c.record.Kind != trace.KindOnce:
		return stepRetry, backoff(r)
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

// wait waits for d. It returns false if that would exceed the caller's timeout or if
// ctx ends.
func (c *caller) wait(ctx context.Context, d time.Duration) bool {
	if time.Since(c.start)+d > c.timeout {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// finalState returns the final state of the record as the caller knows it.
func finalState(all []Exchange, last reply) Final {
	switch {
	case last.Verdict == VerdictComplete:
		return FinalCompleted
	case last.Kind == errkind.AnswerNotKept:
		return FinalAnswerNotKept
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
