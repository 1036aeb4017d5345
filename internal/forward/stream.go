package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httphead"
	"github.com/kumquathollow/kumquathollow/internal/placement"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// slowFirst and slowNext are the multiples of the target, and of the longest
	// pause, after which a resumable stream goes on at another server.
	slowFirst = 2
	slowNext  = 3
	// eventBuffer holds a usual event.
	eventBuffer = 1 << 10
	// writeStall bounds the wait for a client that takes nothing.
	writeStall = 5 * time.Second
)

func isStreaming(x *exchange) bool { return x.route.Repeat == catalog.Stream }

// stream passes events on as they come. The client's header is sent with the
// first event, so that a stream that fails before it can be refused cleanly.
func (x *exchange) stream(place *placement.Place, resp *backend.Response) result {
	br := bufio.NewReaderSize(resp.Body, eventBuffer)
	for {
		event, err := x.next(resp, br)
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(event) == 0:
			resp.Ended()
			return x.streamEnded(resp)
		default:
			return x.streamBroken(place, err)
		}
		id, ok := eventID(event)
		if ok && x.isRepeated(id) {
			continue
		}
		if err := x.passEvent(resp, event); err != nil {
			return result{err: err, sent: true, mayHaveRun: true, outcome: placement.Neutral}
		}
		if ok {
			x.lastEvent = id
		}
	}
}

// next reads one whole event. An event that breaks off is returned with an error.
func (x *exchange) next(resp *backend.Response, br *bufio.Reader) ([]byte, error) {
	if p := x.eventPatience(); p > 0 {
		if err := resp.Wait(x.ctx, p); err != nil {
			return nil, err
		}
	}
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0:
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, errkind.New(errkind.StreamBroken, "an event is over %d bytes", maxEventBytes)
		}
	}
}

// eventPatience is how long to wait for the next event; 0 means the deadline.
func (x *exchange) eventPatience() time.Duration {
	if !x.route.Resumable || x.sends >= x.route.MaxAttempts {
		return 0
	}
	if x.events == 0 {
		return slowFirst * x.route.Target
	}
	return slowNext * x.route.MaxGap
}

// eventID returns the id that an event bears.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// isRepeated reports whether a resumed stream brought an event again.
func (x *exchange) isRepeated(id string) bool {
	if x.lastEvent == "" {
		return false
	}
	was, err := strconv.ParseUint(x.lastEvent, 10, 64)
	if err != nil {
		return false
	}
	is, err := strconv.ParseUint(id, 10, 64)
	return err == nil && is <= was
}

func (x *exchange) passEvent(resp *backend.Response, event []byte) error {
	x.begin(resp)
	if x.events == 0 {
		x.firstEvent = time.Since(x.began)
	}
	x.events++
	// A client that takes nothing is found by its own deadline at the latest.
	_ = x.rc.SetWriteDeadline(time.Now().Add(writeStall))
	_, err := x.w.Write(event)
	if err == nil {
		err = x.rc.Flush()
	}
	if err != nil {
		return errkind.Wrap(err, errkind.ClientGone, "the client stopped reading")
	}
	return nil
}

// begin sends the header of the first server's answer, once.
func (x *exchange) begin(resp *backend.Response) {
	if x.headerSent {
		return
	}
	httphead.CopyEndToEnd(x.w.Header(), resp.Header, "")
	x.w.Header().Del("Content-Length")
	x.headerSent, x.status = true, resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) streamEnded(resp *backend.Response) result {
	x.begin(resp)
	return result{sent: true, mayHaveRun: true, outcome: placement.Good}
}

func (x *exchange) streamBroken(place *placement.Place, cause error) result {
	res := result{sent: true, mayHaveRun: true, again: true, outcome: placement.Bad}
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		res.err = errkind.Wrap(cause, errkind.BackendTimeout, "the deadline passed after %d events from server %q", x.events, place.ID)
	case x.ctx.Err() != nil:
		res.err = errkind.New(errkind.ClientGone, "the client left after %d events", x.events)
	default:
		res.err = errkind.Wrap(cause, errkind.StreamBroken, "the stream of server %q broke off after %d events", place.ID, x.events)
	}
	return res
}
