// Package deadline tells the end of a response that a server has completed from that of one that it has
// stopped at the deadline that its request named. Both may be framed alike: see docs/design/deadline-ends.md.
package deadline

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// earlyTime is how much too early a server may stop: it may count whole milliseconds, of its clock or of the
	// time that is left.
	earlyTime = 5 * time.Millisecond
	// clockRatio times the deadline is how much earlier a server stops whose clock gains one part in clockRatio on
	// the router's. Clocks that are disciplined gain at most half of that.
	clockRatio = 1000
)

// ErrEnd is the cause of the error that takes the place of the end of a response at its server's deadline.
var ErrEnd = errors.New("the server ended the response at the deadline that it was sent, where it stops work, so that the response may lack its end")

// clockTolerance is how much the wall clocks of two VMs may differ.
const clockTolerance = time.Second

// Server is the deadline that a request names to its server. The zero value is none.
type Server struct {
	sentAt  time.Time
	timeout time.Duration
	// isElsewhere is set if another router has sent the request. stopsAt is the earliest instant at which the server may
	// stop by the clock of that router; zero if it is not known.
	isElsewhere bool
	stopsAt     time.Time
}

// NewServer returns the deadline of a server that was told a time-out. sentAt is before the first byte of the
// request was sent, so that the server does not stop sooner than timeout after it.
func NewServer(sentAt time.Time, timeout time.Duration) Server {
	return Server{sentAt: sentAt, timeout: timeout}
}

// ServerOfOtherRouter returns the deadline of a server to which another router has sent the request, before now, and
// which does not stop sooner than stopsAt by the clock of that router. Zero means that this is not known, so that any end
// may be a stop, and so does a time that is further ahead than the longest time-out: the clocks differ then.
func ServerOfOtherRouter(stopsAt time.Time, longest time.Duration, now time.Time) Server {
	if stopsAt.Sub(now) > longest+clockTolerance {
		stopsAt = time.Time{}
	}
	return Server{isElsewhere: true, stopsAt: stopsAt}
}

// TimeoutFor returns the time-out to tell a server for the time that is left: whole milliseconds, and one at least.
func TimeoutFor(left time.Duration) time.Duration {
	return max(time.Millisecond, left.Truncate(time.Millisecond))
}

// Timeout returns the time-out that the server was told; 0 if none.
func (s Server) Timeout() time.Duration { return s.timeout }

// Left returns how much of the time-out is left at now, or less: the server has received the request later than it
// was sent.
func (s Server) Left(now time.Time) time.Duration { return s.sentAt.Add(s.timeout).Sub(now) }

// StopsAt returns the earliest instant at which the server may stop.
func (s Server) StopsAt() time.Time {
	return s.sentAt.Add(s.timeout - earlyTime - s.timeout/clockRatio)
}

// CheckEnd returns an error if a response that ended at endedAt, and whose length was not told before, may have been
// stopped.
func (s Server) CheckEnd(endedAt time.Time) error {
	switch {
	case s.isElsewhere && s.stopsAt.IsZero():
		return errkind.Wrap(ErrEnd, errkind.BackendTimeout, "the response ended, and its server's deadline is not known to this router")
	case s.isElsewhere && !endedAt.Add(clockTolerance).Before(s.stopsAt):
		return errkind.Wrap(ErrEnd, errkind.BackendTimeout, "the response ended %s before the server's deadline by the clock of another router, which may differ by %s", s.stopsAt.Sub(endedAt).Round(time.Millisecond), clockTolerance)
	case s.isElsewhere || s.timeout <= 0 || endedAt.Before(s.StopsAt()):
		return nil
	}
	return errkind.Wrap(ErrEnd, errkind.BackendTimeout, "the response ended %s after its request with a time-out of %s", endedAt.Sub(s.sentAt).Round(time.Millisecond), s.timeout)
}

// CheckBody makes the body of a response fail instead of ending if the server may have stopped it. begunAt is when the
// head was received. A length that was told before the deadline shows where the body ends; one that is told
// after it may be that of what the server had until then. An error response is what the server says of its stop.
func (s Server) CheckBody(resp *http.Response, begunAt time.Time) {
	if !mayHaveBody(resp) {
		return // It is whole, whatever length it states.
	}
	isLengthKnown := resp.ContentLength >= 0 && (resp.StatusCode >= 300 || s.CheckEnd(begunAt) == nil)
	if (s.timeout > 0 || s.isElsewhere) && !isLengthKnown {
		resp.Body = &CheckedBody{ReadCloser: resp.Body, Check: func() error { return s.CheckEnd(time.Now()) }}
	}
}

// mayHaveBody reports whether the request and the status of a response allow it a body.
func mayHaveBody(resp *http.Response) bool {
	isHead := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !isHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// CheckedBody is a response body whose end is an error unless Check, which is called once, returns none.
type CheckedBody struct {
	io.ReadCloser
	Check func() error
	// end is the error of reads after the end.
	end error
}

// Read implements io.Reader.
func (b *CheckedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.end = b.Check(); b.end == nil {
		b.end = io.EOF
	}
	if n > 0 {
		return n, nil
	}
	return 0, b.end
}
