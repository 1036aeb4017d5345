package dispatch

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httphead"
)

const (
	streamBufferBytes = 1 << 10
	resumeBackoff     = 50 * time.Millisecond
	maxResumeBackoff  = time.Second
	eventStreamType   = "text/event-stream"
)

var eventEnd = []byte("\n\n")

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}

// streaming is a server's stream on its way to the caller.
type streaming struct {
	*run
	resp   *http.Response
	id     string // at the server; empty if it cannot be resumed
	offset int64  // of the next byte from the server
	tries  int    // reconnections since the last byte
	kept   []byte // for the claim
	total  int64
	// callerErr is set when the caller stopped reading a claimed run, which goes
	// on to its end so that its answer can be recorded.
	callerErr error
}

// stream passes a stream on unbuffered. The caller's header is sent with the
// first byte, so that a stream cut before it can still be refused cleanly.
func (r *run) stream(resp *http.Response, offset int64) attemptResult {
	s := &streaming{run: r, resp: resp, id: resp.Header.Get(HeaderStream), offset: offset}
	defer func() { _ = s.resp.Body.Close() }()
	if !isFramed(resp) {
		return r.unreadable("the server's stream has no frames, so a cut would not show")
	}
	err := s.copy()
	if err == nil {
		return attemptResult{}
	}
	if errkind.Is(err, errkind.ClientGone) || errkind.Is(err, errkind.BackendTimeout) {
		s.cancel()
	}
	return attemptResult{err: err, mayHaveRun: true, again: true}
}

// cancel ends the run at the server, so that the place is free when the permit is given back.
func (s *streaming) cancel() {
	_ = s.resp.Body.Close()
	if s.id != "" {
		s.x.d.side.cancelStream(s.permit.Address(), s.id)
	}
}

func (s *streaming) copy() error {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := s.resp.Body.Read(*buf)
		if n > 0 {
			if werr := s.pass((*buf)[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			return s.finish()
		default:
			if err := s.reopen(err); err != nil {
				return err
			}
		}
	}
}

// pass writes one chunk through to the caller.
func (s *streaming) pass(p []byte) error {
	s.begin()
	if s.offset == 0 {
		s.result.FirstByte = time.Since(s.sentAt)
	}
	s.offset += int64(len(p))
	s.total += int64(len(p))
	s.tries = 0
	s.result.OutputTokens += bytes.Count(p, eventEnd)
	s.kept = s.x.claim.keep(s.x.q, s.kept, p)
	if s.callerErr != nil {
		return nil
	}
	err := s.x.write(p)
	if err == nil {
		err = s.x.rc.Flush()
	}
	if err != nil {
		err = errkind.Wrap(err, errkind.ClientGone, "the caller stopped reading")
	}
	if s.x.claim != nil {
		s.callerErr = err
		return nil
	}
	return err
}

// begin sends the header once. The outcome follows as a trailer, since it is not
// known before the end.
func (s *streaming) begin() {
	x := s.x
	if x.headerSent {
		return
	}
	h := x.w.Header()
	httphead.CopyEndToEnd(h, s.resp.Header, ownPrefix)
	delete(h, "Content-Length")
	h.Set(HeaderRequestID, x.id)
	h.Set("Trailer", HeaderOutcome)
	x.headerSent = true
	x.w.WriteHeader(http.StatusOK)
	x.releaseBody() // a stream may last long, and no attempt follows it
}

func (s *streaming) finish() error {
	s.begin()
	outcome := s.ended(http.StatusOK)
	s.x.claim.answered(s.resp, outcome, s.kept, s.total)
	if s.callerErr != nil {
		return s.callerErr
	}
	s.x.w.Header().Set(HeaderOutcome, string(outcome))
	_ = s.x.rc.SetWriteDeadline(time.Now().Add(s.x.d.limits.StallTime))
	return nil
}

// reopen continues a cut stream from the server at the exact offset. It tries a
// bounded number of times without a new byte.
func (s *streaming) reopen(cause error) error {
	_ = s.resp.Body.Close()
	for s.id != "" && s.tries < s.x.d.limits.ResumeTries {
		if s.x.ctx.Err() != nil {
			break
		}
		s.tries++
		resp, gone := s.reconnect()
		if resp != nil {
			s.resp = resp
			s.x.d.metrics.resumed.Inc(1)
			return nil
		}
		if gone {
			break
		}
		backOff(s.x.ctx, s.tries)
	}
	if s.x.ctx.Err() != nil {
		return s.lost(cause)
	}
	return errkind.Wrap(cause, errkind.StreamBroken, "the stream broke off at byte %d", s.offset)
}

// reconnect asks for the rest. gone is true if the server has it no more.
func (s *streaming) reconnect() (resp *http.Response, gone bool) {
	req := streamRequest(s.x.ctx, s.permit.Address(), s.id, s.offset, s.attempt)
	resp, err := s.x.d.transport.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	if isRestOf(resp, s.id, s.attempt) {
		return resp, false
	}
	drain(resp.Body)
	_ = resp.Body.Close()
	return nil, resp.StatusCode == http.StatusGone || resp.StatusCode == http.StatusNotFound
}

// streamRequest asks a server for a stream's bytes from the offset on.
func streamRequest(ctx context.Context, address, stream string, offset int64, attempt string) *http.Request {
	req := &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http", Host: address, Path: "/v1/streams/" + stream,
			RawQuery: "offset=" + strconv.FormatInt(offset, 10),
		},
		Header: http.Header{HeaderAttempt: {attempt}, "User-Agent": nil},
		Host:   address,
	}
	return req.WithContext(ctx)
}

// isRestOf reports whether an answer is the rest of this very stream.
func isRestOf(resp *http.Response, stream, attempt string) bool {
	return isEventStream(resp) && isFramed(resp) &&
		resp.Header.Get(HeaderStream) == stream && resp.Header.Get(HeaderAttempt) == attempt
}

func backOff(ctx context.Context, try int) {
	d := min(resumeBackoff<<try, maxResumeBackoff)
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
