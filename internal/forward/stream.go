package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// A resumable stream is resumed at another backend server if its first event
	// takes longer than firstEventTimeoutFactor times the route's target latency, or
	// a later one longer than nextEventTimeoutFactor times the route's MaxGap.
	firstEventTimeoutFactor = 2
	nextEventTimeoutFactor  = 3
	// eventBufferBytes is enough for a typical event.
	eventBufferBytes = 1 << 10
	// clientWriteTimeout limits how long a write to a client that does not read may
	// block.
	clientWriteTimeout = 5 * time.Second
)

func isStreaming(x *exchange) bool { return x.route.Repeat == catalog.Stream }

// forwardStream relays events as they arrive. The response header is sent to the
// client with the first event, so that a stream that fails before its first event
// can still get an error status.
func (x *exchange) forwardStream(picked *placement.PickResult, resp *backend.Response) attemptResult {
	br := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	survived, firstEventAt := false, time.Time{}
	check := x.newContinuity()
	check.server = picked.ID
	if x.lastEventID != "" {
		x.f.opts.Metrics.Counter("forward.resumed.in_response").Inc(1)
	}
	for events := 0; ; events++ {
		event, err := x.nextEvent(resp, br)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0:
			resp.MarkBodyRead()
			if err := check.end(); err != nil && !x.believe(picked, err) {
				return x.wronglyContinued(picked, err)
			}
			x.recordPace(events, firstEventAt)
			x.f.opts.View.RecordSurvival(x.subjects)
			return x.streamEnded(resp)
		default:
			x.brokeInside = len(bytes.TrimSpace(event)) > 0
			x.mayHaveEnded = x.mayHaveEnded || !x.brokeInside && errors.Is(err, backend.ErrEndUnconfirmed)
			res := x.streamBroken(picked, err)
			res.survived = survived
			return res
		}
		switch now := time.Now(); {
		case firstEventAt.IsZero():
			firstEventAt = now
			x.counted.RecordFirst(now, x.route.Target)
		case !survived && now.Sub(firstEventAt) >= quarantine.SurvivalTime:
			survived = true
			x.f.opts.View.RecordSurvival(x.subjects)
		}
		if events == paceEvents {
			x.recordPace(events, firstEventAt)
		}
		parsed := parseEvent(event)
		isNew, err := check.isNew(parsed)
		if err != nil {
			return x.wronglyContinued(picked, err)
		}
		if !isNew {
			continue
		}
		x.beginStream(picked, resp)
		if err := x.writeEvent(resp.Response, parsed); err != nil {
			return attemptResult{err: err, sent: true, mayHaveRun: true, outcome: placement.Neutral}
		}
	}
}

// recordPace counts the time per event of the attempt's stream after its first event.
func (x *exchange) recordPace(events int, firstEventAt time.Time) {
	if events > 1 {
		x.counted.RecordPace(time.Since(firstEventAt) / time.Duration(events-1))
	}
}

// nextEvent reads one complete event. A truncated event is returned together with
// an error.
func (x *exchange) nextEvent(resp *backend.Response, br *bufio.Reader) ([]byte, error) {
	if timeout := x.eventTimeout(); timeout > 0 {
		if err := resp.SetReadTimeout(x.ctx, timeout); err != nil {
			return nil, err
		}
	}
	var event []byte
	for atLineStart := true; ; {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return event, err
		case atLineStart && len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0:
			return event, nil
		}
		atLineStart = err == nil
		if len(event) > maxEventBytes {
			return event, errkind.New(errkind.StreamBroken, "a stream event exceeds the limit of %d bytes", maxEventBytes)
		}
		if err := x.reserveEvent(len(event)); err != nil {
			return event, err
		}
	}
}

// eventTimeout returns how long to wait for the next event. 0 means that only the
// request's deadline applies.
func (x *exchange) eventTimeout() time.Duration {
	if !x.route.Resumable || x.sends >= x.route.MaxAttempts {
		return 0
	}
	if x.eventsSent == 0 {
		return firstEventTimeoutFactor * x.route.Target
	}
	return nextEventTimeoutFactor * x.route.MaxGap
}

// newContinuity returns the check of what the next server, or router, writes: the client has the
// events of this response, or those up to the one that its request names.
func (x *exchange) newContinuity() *continuity {
	c := &continuity{numbering: x.f.numberingOf(x.service), after: positionAfter(x.lastID()), fromEarlier: x.asksEarlier}
	c.isFirst = c.after.id == "" && !x.requestInfo.HasLastEventID
	c.observe = func(what irregularity, id, previous string) { x.recordIrregularity(what, c.server, id, previous) }
	return c
}

func (x *exchange) writeEvent(resp *http.Response, event streamEvent) error {
	x.writeHeader(resp)
	if x.eventsSent == 0 {
		x.firstEvent = time.Since(x.startedAt)
	}
	x.eventsSent++
	x.mayHaveEnded = false
	// An error is ignored: a client that does not read is detected at its own
	// deadline at the latest.
	_ = x.rc.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, err := x.w.Write(event.text)
	if err == nil {
		err = x.rc.Flush()
	}
	if err != nil {
		return errkind.Wrap(err, errkind.ClientGone, "write a stream event to the client")
	}
	// After numbers, an id that is none is no place in the stream: it cannot be compared with what follows.
	if event.id != "" && (positionAfter(event.id).known || !positionAfter(x.lastEventID).known) {
		x.lastEventID, x.afterUnnumbered = event.id, false
	} else if event.hasData {
		x.afterUnnumbered = true
	}
	return nil
}

// writeHeader sends the header of the first backend server's response to the client,
// once.
func (x *exchange) writeHeader(resp *http.Response) {
	if x.headerSent {
		return
	}
	httpheader.CopyEndToEnd(x.w.Header(), resp.Header, "")
	x.w.Header().Del("Content-Length")
	x.headerSent, x.status = true, resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) streamEnded(resp *backend.Response) attemptResult {
	x.writeHeader(resp.Response)
	return attemptResult{sent: true, mayHaveRun: true, outcome: placement.Success}
}

// believe reports whether a client that has resumed a stream itself is told that nothing is left of it,
// although the server wrote no event: another one has said so too, or none is left to ask. That is so only
// where no server can be asked to write the last event again.
func (x *exchange) believe(picked *placement.PickResult, err error) bool {
	if x.eventsSent > 0 || !errors.Is(err, errNothingLeft) || x.canAskEarlier() {
		return false
	}
	agreed := x.nothingLeft
	x.nothingLeft = true
	return agreed || x.sends >= x.route.MaxAttempts || !x.hasOther(picked)
}

// hasOther reports whether the stream may be continued at another server than the one that was picked.
func (x *exchange) hasOther(picked *placement.PickResult) bool {
	return slices.ContainsFunc(x.f.opts.Fleet.Servers(x.service.Name), func(s *placement.Server) bool {
		return s.ID != picked.ID && !slices.Contains(x.excluded, s.ID) && (x.origin.Version == "" || s.Version == x.origin.Version)
	})
}

// wronglyContinued returns the result for a server that did not go on where the client's events end, or whose
// ids do not rise.
func (x *exchange) wronglyContinued(picked *placement.PickResult, cause error) attemptResult {
	res := x.streamBroken(picked, cause)
	if errors.Is(cause, errNotRising) {
		x.mayHaveEnded = true // What it repeats may be the whole stream.
		res.survived = true   // Its connection has not broken.
		return res
	}
	x.f.opts.Metrics.Counter("forward.resumed.wrong").Inc(1)
	if errors.Is(cause, errNothingLeft) {
		if !x.asksEarlier && x.canAskEarlier() {
			x.askAgain = append(x.askAgain, picked.ID)
		}
		x.mayHaveEnded = true
		res.survived, res.outcome = true, placement.Neutral // Its response was whole.
	}
	return res
}

func (x *exchange) streamBroken(picked *placement.PickResult, cause error) attemptResult {
	res := attemptResult{sent: true, mayHaveRun: true, retryable: true, outcome: placement.Failure}
	switch {
	case errors.Is(cause, deadline.ErrEnd):
		res.err = errkind.Wrap(cause, errkind.BackendTimeout, "server %q ended the stream after %d events", picked.ID, x.eventsSent)
		res.retryable = false // No time is left.
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		res.err = errkind.Wrap(cause, errkind.BackendTimeout, "the deadline passed after %d stream events; the last attempt was at server %q", x.eventsSent, picked.ID)
	case x.ctx.Err() != nil:
		res.err = errkind.New(errkind.ClientGone, "the client closed its connection after %d stream events", x.eventsSent)
	default:
		res.err = errkind.Wrap(cause, errkind.StreamBroken, "the stream from server %q broke after %d events", picked.ID, x.eventsSent)
	}
	return res
}
