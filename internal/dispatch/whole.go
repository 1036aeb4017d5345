package dispatch

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httphead"
)

// maxHeld bounds the answers that are held until they are whole, so that a cut
// one can still be tried again or refused cleanly. Longer ones are passed on as
// they come.
const maxHeld = 32 << 10

var heldBuffers = sync.Pool{New: func() any { b := make([]byte, maxHeld); return &b }}

// whole passes on an answer that is not a stream.
func (r *run) whole(resp *http.Response) attemptResult {
	buf := heldBuffers.Get().(*[]byte)
	defer heldBuffers.Put(buf)
	n, err := io.ReadFull(resp.Body, *buf)
	held := (*buf)[:n]
	switch err {
	case io.EOF, io.ErrUnexpectedEOF:
		// ReadFull gives ErrUnexpectedEOF for a short whole body as well as for a
		// cut one; one more read tells them apart.
		if _, again := resp.Body.Read((*buf)[n:]); again != io.EOF {
			return r.cut(again)
		}
		return r.deliver(resp, held)
	case nil:
		return r.passOn(resp, *buf)
	default:
		return r.cut(err)
	}
}

func (r *run) cut(err error) attemptResult {
	return attemptResult{err: r.lost(err), mayHaveRun: true, again: true}
}

// retryable reports whether a whole answer says that the server itself is in
// trouble, and a repeatable request may do better elsewhere.
func (r *run) retryable(status int) bool {
	x := r.x
	if !x.q.route.repeatable || x.attempts >= x.q.limits.maxAttempts {
		return false
	}
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// deliver writes an answer that is held whole.
func (r *run) deliver(resp *http.Response, body []byte) attemptResult {
	x := r.x
	outcome := r.ended(resp.StatusCode)
	if r.retryable(resp.StatusCode) {
		return attemptResult{err: errkind.New(errkind.BackendFailed, "the server answered %d", resp.StatusCode), mayHaveRun: true, again: true}
	}
	x.claim.answered(resp, outcome, body, int64(len(body)))
	r.writeHeader(resp, outcome)
	if err := x.write(body); err != nil {
		return attemptResult{err: errkind.Wrap(err, errkind.ClientGone, "the caller took no answer"), mayHaveRun: true}
	}
	return attemptResult{}
}

// passOn writes an answer longer than the held part as it comes. buf, which is
// full, is used for the rest as well.
func (r *run) passOn(resp *http.Response, buf []byte) attemptResult {
	x := r.x
	kept := x.claim.keep(x.q, nil, buf)
	r.writeHeader(resp, outcomeOf(resp.StatusCode))
	chunk, total, clientErr := buf, int64(0), error(nil)
	for {
		total += int64(len(chunk))
		if clientErr == nil {
			clientErr = x.write(chunk)
		}
		if clientErr != nil && x.claim == nil {
			return attemptResult{err: errkind.Wrap(clientErr, errkind.ClientGone, "the caller stopped reading"), mayHaveRun: true}
		}
		n, err := resp.Body.Read(buf)
		chunk = buf[:n]
		kept = x.claim.keep(x.q, kept, chunk)
		if err == io.EOF && n == 0 {
			break
		}
		if err != nil && err != io.EOF {
			return attemptResult{err: r.lost(err), mayHaveRun: true}
		}
	}
	x.claim.answered(resp, r.ended(resp.StatusCode), kept, total)
	if clientErr != nil {
		return attemptResult{err: errkind.Wrap(clientErr, errkind.ClientGone, "the caller stopped reading"), mayHaveRun: true}
	}
	return attemptResult{}
}

// writeHeader sends status and headers of a server's answer.
func (r *run) writeHeader(resp *http.Response, o errkind.Outcome) {
	x := r.x
	h := x.w.Header()
	httphead.CopyEndToEnd(h, resp.Header, ownPrefix)
	setOutcome(h, x.id, o)
	if resp.ContentLength >= 0 && x.q.http.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.headerSent = true
	x.w.WriteHeader(resp.StatusCode)
}

// write sends bytes to the caller within the time for a stalled reader.
func (x *exchange) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.d.limits.StallTime))
	_, err := x.w.Write(p)
	return err
}
