package dispatch

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// maxBufferedResponse is the size up to which a response is buffered until it is
// complete, so that the request can still be retried or refused if the response
// is truncated. Longer responses are relayed as they arrive.
const maxBufferedResponse = 32 << 10

var responseBuffers = sync.Pool{New: func() any { b := make([]byte, maxBufferedResponse); return &b }}

// forwardResponse relays a response that is not a stream.
func (r *attempt) forwardResponse(resp *http.Response) attemptResult {
	buf := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(buf)
	n, err := io.ReadFull(resp.Body, *buf)
	buffered := (*buf)[:n]
	switch err {
	case io.EOF, io.ErrUnexpectedEOF:
		// ReadFull returns ErrUnexpectedEOF both for a short complete body and for a
		// truncated one; one more read distinguishes them.
		if _, readErr := resp.Body.Read((*buf)[n:]); readErr != io.EOF {
			return r.truncatedResult(readErr)
		}
		return r.forwardBuffered(resp, buffered)
	case nil:
		return r.forwardLarge(resp, *buf)
	default:
		return r.truncatedResult(err)
	}
}

func (r *attempt) truncatedResult(err error) attemptResult {
	return attemptResult{err: r.connectionLostError(err), mayHaveRun: true, retryable: !errors.Is(err, deadline.ErrEnd)}
}

// isRetryableStatus reports whether the status of a complete response means that
// the server itself is failing and that a repeatable request may succeed
// elsewhere.
func (r *attempt) isRetryableStatus(status int) bool {
	x := r.x
	if !x.q.route.repeatable || x.attempts >= x.q.policy.maxAttempts {
		return false
	}
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// forwardBuffered writes a response that has been buffered completely.
func (r *attempt) forwardBuffered(resp *http.Response, body []byte) attemptResult {
	x := r.x
	outcome := r.recordOutcome(resp.StatusCode)
	if r.isRetryableStatus(resp.StatusCode) {
		return attemptResult{err: errkind.New(errkind.BackendFailed, "the server responded with status %d", resp.StatusCode), mayHaveRun: true, retryable: true}
	}
	x.claim.recordResponse(resp, outcome, body, int64(len(body)))
	r.writeHeader(resp, outcome)
	if err := x.write(body); err != nil {
		return attemptResult{err: errkind.Wrap(err, errkind.ClientGone, "write the response to the client"), mayHaveRun: true}
	}
	return attemptResult{}
}

// forwardLarge relays a response longer than the buffer as it arrives. buf is
// full, and is reused for the rest.
func (r *attempt) forwardLarge(resp *http.Response, buf []byte) attemptResult {
	x := r.x
	recorded := x.claim.appendRecorded(x.q, nil, buf)
	r.writeHeader(resp, outcomeOf(resp.StatusCode))
	chunk, total, clientErr := buf, int64(0), error(nil)
	for {
		total += int64(len(chunk))
		if clientErr == nil {
			clientErr = x.write(chunk)
		}
		if clientErr != nil && x.claim == nil {
			return attemptResult{err: errkind.Wrap(clientErr, errkind.ClientGone, "write the response to the client"), mayHaveRun: true}
		}
		n, err := resp.Body.Read(buf)
		chunk = buf[:n]
		recorded = x.claim.appendRecorded(x.q, recorded, chunk)
		if err == io.EOF && n == 0 {
			break
		}
		if err != nil && err != io.EOF {
			return attemptResult{err: r.connectionLostError(err), mayHaveRun: true}
		}
	}
	x.claim.recordResponse(resp, r.recordOutcome(resp.StatusCode), recorded, total)
	if clientErr != nil {
		return attemptResult{err: errkind.Wrap(clientErr, errkind.ClientGone, "write the response to the client"), mayHaveRun: true}
	}
	return attemptResult{}
}

// writeHeader sends the status and headers of a server's response.
func (r *attempt) writeHeader(resp *http.Response, o errkind.Outcome) {
	x := r.x
	h := x.w.Header()
	httpheader.CopyEndToEnd(h, resp.Header, internalHeaderPrefix)
	setOutcomeHeaders(h, x.requestID, o)
	if resp.ContentLength >= 0 && x.q.httpRequest.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.headerSent = true
	x.w.WriteHeader(resp.StatusCode)
}

// write sends bytes to the client. It fails if the client does not read them
// within ClientWriteTimeout.
func (x *exchange) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.d.limits.ClientWriteTimeout))
	_, err := x.w.Write(p)
	return err
}
