package dispatch

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

const (
	streamBufferBytes = 1 << 10
	resumeBackoff     = 50 * time.Millisecond
	maxResumeBackoff  = time.Second
)

var eventEnd = []byte("\n\n")

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && httpheader.IsEventStream(resp.Header)
}

// streamForwarder relays a server's stream to the client.
type streamForwarder struct {
	*attempt
	resp       *http.Response
	streamID   string // id at the server; empty if the stream cannot be resumed
	offset     int64  // of the next byte from the server
	reconnects int    // reconnections since the last received byte
	recorded   []byte // copy of the response to record with the claim
	received   int64  // bytes received through this router
	// clientErr is set if the client stopped reading the response of a claimed
	// request. The run continues to its end so that its response can be recorded.
	clientErr error
}

// forwardStream relays a stream unbuffered. The response header is sent to the
// client with the first byte, so that a stream that breaks before its first byte
// can still get an error status.
func (r *attempt) forwardStream(resp *http.Response, offset int64) attemptResult {
	s := &streamForwarder{attempt: r, resp: resp, streamID: resp.Header.Get(HeaderStream), offset: offset}
	defer func() { _ = s.resp.Body.Close() }()
	if !isFramed(resp) {
		return r.invalidResponse("the server's stream has no framing, so a truncation could not be detected")
	}
	err := s.copyToClient()
	if err == nil {
		return attemptResult{}
	}
	if errkind.Is(err, errkind.ClientGone) || errkind.Is(err, errkind.BackendTimeout) {
		s.cancel()
	}
	return attemptResult{err: err, mayHaveRun: true, retryable: !errors.Is(err, deadline.ErrEnd)}
}

// cancel ends the run at the server, so that its slot is free when the permit is
// released.
func (s *streamForwarder) cancel() {
	_ = s.resp.Body.Close()
	if s.streamID != "" {
		s.x.d.backendClient.cancelStream(s.permit.Address(), s.streamID)
	}
}

func (s *streamForwarder) copyToClient() error {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := s.resp.Body.Read(*buf)
		if n > 0 {
			if werr := s.forwardChunk((*buf)[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			return s.finish()
		case errors.Is(err, deadline.ErrEnd):
			if s.resumed != nil && s.isCompleted() {
				return s.finish()
			}
			return s.connectionLostError(err) // No time is left.
		default:
			if err := s.resume(err); err != nil {
				return err
			}
		}
	}
}

// forwardChunk writes one chunk to the client.
func (s *streamForwarder) forwardChunk(p []byte) error {
	s.sendHeader()
	if s.x.body.isSent() {
		s.x.releaseBody() // Streams can be long, and no retry follows.
	}
	if s.offset == 0 {
		s.result.FirstByte = time.Since(s.sentAt)
	}
	s.offset += int64(len(p))
	s.received += int64(len(p))
	s.reconnects = 0
	s.result.OutputTokens += bytes.Count(p, eventEnd)
	s.recorded = s.x.claim.appendRecorded(s.x.q, s.recorded, p)
	if s.clientErr != nil {
		return nil
	}
	err := s.x.write(p)
	if err == nil {
		err = s.x.rc.Flush()
	}
	if err != nil {
		err = errkind.Wrap(err, errkind.ClientGone, "write stream data to the client")
	}
	if s.x.claim != nil {
		s.clientErr = err
		return nil
	}
	return err
}

// sendHeader sends the response header, once. The outcome is sent as a trailer,
// since it is not known before the end.
func (s *streamForwarder) sendHeader() {
	x := s.x
	if x.headerSent {
		return
	}
	h := x.w.Header()
	httpheader.CopyEndToEnd(h, s.resp.Header, internalHeaderPrefix)
	delete(h, "Content-Length")
	h.Set(HeaderRequestID, x.requestID)
	h.Set("Trailer", HeaderOutcome)
	x.headerSent = true
	x.w.WriteHeader(http.StatusOK)
}

func (s *streamForwarder) finish() error {
	s.sendHeader()
	outcome := s.recordOutcome(http.StatusOK)
	s.x.claim.recordResponse(s.resp, outcome, s.recorded, s.received)
	if s.clientErr != nil {
		return s.clientErr
	}
	s.x.w.Header().Set(HeaderOutcome, string(outcome))
	_ = s.x.rc.SetWriteDeadline(time.Now().Add(s.x.d.limits.ClientWriteTimeout))
	return nil
}

// resume continues a broken stream from the server at the exact offset. The
// number of reconnections without a new byte is limited.
func (s *streamForwarder) resume(cause error) error {
	_ = s.resp.Body.Close()
	if s.x.headerSent {
		s.x.releaseBody() // The connection to which it was written is closed, and no retry follows.
	}
	for s.streamID != "" && s.reconnects < s.x.d.limits.MaxResumeAttempts {
		if s.x.ctx.Err() != nil {
			break
		}
		s.reconnects++
		resp, gone := s.reconnect()
		if resp != nil {
			s.resp = resp
			s.x.d.metrics.resumedStreams.Inc(1)
			return nil
		}
		if gone {
			break
		}
		sleepBackoff(s.x.ctx, s.reconnects)
	}
	if s.x.ctx.Err() != nil {
		return s.connectionLostError(cause)
	}
	return errkind.Wrap(cause, errkind.StreamBroken, "the stream from the server broke at offset %d and could not be resumed", s.offset)
}

// reconnect requests the rest of the stream. gone is true if the server no longer
// has it.
func (s *streamForwarder) reconnect() (resp *http.Response, gone bool) {
	req := streamRequest(s.x.ctx, s.permit.Address(), s.streamID, s.offset, s.attemptID)
	resp, err := s.x.d.transport.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	if continuesStream(resp, s.streamID, s.attemptID) {
		s.checkEnd(resp)
		return resp, false
	}
	drainBody(resp.Body)
	_ = resp.Body.Close()
	return nil, resp.StatusCode == http.StatusGone || resp.StatusCode == http.StatusNotFound
}

// streamRequest returns a request to a server for the bytes of a stream from the
// offset on.
func streamRequest(ctx context.Context, address, stream string, offset int64, attemptID string) *http.Request {
	req := &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http", Host: address, Path: "/v1/streams/" + stream,
			RawQuery: "offset=" + strconv.FormatInt(offset, 10),
		},
		Header: http.Header{HeaderAttempt: {attemptID}, "User-Agent": nil},
		Host:   address,
	}
	return req.WithContext(ctx)
}

// continuesStream reports whether a response is the rest of this stream.
func continuesStream(resp *http.Response, stream, attemptID string) bool {
	return isEventStream(resp) && isFramed(resp) &&
		resp.Header.Get(HeaderStream) == stream && resp.Header.Get(HeaderAttempt) == attemptID
}

func sleepBackoff(ctx context.Context, try int) {
	d := min(resumeBackoff<<try, maxResumeBackoff)
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
