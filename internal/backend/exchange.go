package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the client's request has a body, even an empty one.
	HasBody bool
	// Kind names requests whose responses are alike in form, as those of one route. If it is empty, Target does.
	Kind string
	// ID is the request id that the response must name in the header IDHeader.
	ID, IDHeader string
	// NonIdempotent requests may run only once, so they are not sent on connections
	// that the backend server may be about to close.
	NonIdempotent bool
	// Timeout is how long the server may work on the request, as its headers say; 0 if they say nothing.
	Timeout time.Duration
	// ReserveHead is called before the head of a response takes n more bytes of memory than a
	// usual one. An error ends the exchange. nil means that the memory is not limited.
	ReserveHead func(n int64) error
	// Identify is set if the process that the connection leads to is to tell its start, unless that is known, and
	// MustIdentify if the request is not sent without an answer.
	Identify, MustIdentify bool
	// Check, if not nil, is called with what is known of that process, before the request is
	// sent. An error means that the request must not be sent on the connection.
	Check func(ctx context.Context, p Process) error
	// OnConfirm, if not nil, is called before the end of a response without a length is confirmed, by the goroutine that
	// reads the body. The response ended before its server's deadline.
	OnConfirm func()
}

func (r *Request) kind() string {
	if r.Kind != "" {
		return r.Kind
	}
	return r.Target
}

// Response is a response whose header has been read. Close must be called.
type Response struct {
	*http.Response
	// Deadline is that of the server. The end of a body whose length was not told before it is an error of cause
	// deadline.ErrEnd if the server may have stopped work there.
	Deadline deadline.Server
	// Opened is set if a connection was opened for the request.
	Opened    bool
	pool      *Pool
	conn      *conn
	stopAbort func() bool
	written   <-chan error
	bodyRead  bool
	// watched is set if the connection's pool keeps a witness for the response.
	watched bool
	// longBody is set if the request's body is longer than receiveBufferBytes.
	longBody bool
}

// inlineBodyBytes is the body size up to which a request is written completely
// before the response is read. The receive window of a backend server that responds
// early has room for at least that much, so the write does not block.
const inlineBodyBytes = 2 << 10

// receiveBufferBytes is the body size that a backend server's receive buffer holds in any case, so
// that what was sent is acknowledged even if the server does not read.
const receiveBufferBytes = 32 << 10

// maxResponses limits how many responses are read in order to find the one that
// names the request.
const maxResponses = 4

// maxDiscardedBytes limits the body of a response that is read only in order to use the
// connection again.
const maxDiscardedBytes = 64 << 10

// MayHaveBeenSent reports whether the backend server may have received the request
// although Do returned err.
func MayHaveBeenSent(err error) bool {
	k := errkind.Of(err)
	return err != nil && k != errkind.Unreachable && k != errkind.QueueFull && !errors.Is(err, ErrNotSent)
}

// Process returns what is known by now of the process that responds.
func (r *Response) Process() Process { return r.conn.pool.processOf(r.conn) }

// ErrNotSent marks the errors of requests that were not sent since the process that they would have reached was not
// known, or that of Request.Check.
var ErrNotSent = errors.New("the request was not sent")

// Do sends a request and returns the response that names it. If the error has kind
// unreachable or queue-full, or is that of Check, nothing was sent; after any other error the backend
// server may have run the request. ctx applies to the whole exchange, including the
// response body.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, opened, err := p.getIdentified(ctx, t, r)
	if err != nil {
		return nil, err
	}
	c.lastID = r.ID
	resp := &Response{Opened: opened, pool: p, conn: c, stopAbort: c.abortOnDone(ctx), watched: c.pool.beginExchange(c, t.MaxConnections)}
	if resp.longBody = len(r.Body) > receiveBufferBytes; resp.longBody {
		c.allowLateReader()
	}
	resp.Deadline = deadline.NewServer(time.Now(), r.Timeout)
	sentAt := clock.SinceBoot()
	resp.written = c.writeRequest(r)
	resp.Response, err = c.readResponse(r)
	if err != nil {
		resp.Response = nil
		resp.Close()
		return nil, errkind.Wrap(err, errkind.BackendLost, "the connection to server %q failed before a response was received", t.ID)
	}
	c.pool.recordRan(c, sentAt)
	c.updateIdleTimeout(resp.Header)
	c.pool.recordKind(r.kind(), resp.Response.Close || !resp.Framed(), time.Now())
	resp.Deadline.CheckBody(resp.Response, time.Now())
	resp.requireConfirmedEnd(ctx, r.OnConfirm)
	return resp, nil
}

// getIdentified returns a connection that leads to a process on which the request may run. If its own ended under the call, another
// one may tell.
func (p *Pool) getIdentified(ctx context.Context, t Target, r *Request) (c *conn, opened bool, err error) {
	if c, opened, err = p.get(ctx, t, r); err != nil {
		return nil, false, err
	}
	if r.Identify {
		if err = p.identify(ctx, c, r); err != nil {
			_ = c.Close()
			if c, opened, err = p.get(ctx, t, r); err != nil {
				return nil, false, err
			}
			if r.MustIdentify {
				if run, cause := p.RunsSince(ctx, t, c.connectedAt); run != Runs && run != Untold {
					err = cause
				}
			}
		}
	}
	if err == nil && r.Check != nil {
		err = r.Check(ctx, c.pool.processOf(c))
	}
	if err == nil {
		return c, opened, nil
	}
	if c.idleTimeout == 0 {
		c.idleTimeout = defaultIdleTimeout
	}
	p.put(c)
	return nil, false, errors.Mark(err, ErrNotSent)
}

// writeRequest sends the request. A body over inlineBodyBytes is written
// concurrently with reading the response, since a backend server may respond early
// and read the rest of the body later. The channel receives the result.
func (c *conn) writeRequest(r *Request) <-chan error {
	done := make(chan error, 1)
	head := encodeHeader(r)
	if len(r.Body) <= inlineBodyBytes {
		_, err := c.Conn.Write(append(head, r.Body...))
		done <- err
		return done
	}
	go func() {
		_, err := c.Conn.Write(head)
		if err == nil {
			_, err = c.Conn.Write(r.Body)
		}
		done <- err
	}()
	return done
}

var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ", "\x00", " ")

func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// The names were parsed by net/http. A value may come from elsewhere, such as the id of an
	// event, and a line break in it would begin another header or request.
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": ")
			_, _ = lineBreaks.WriteString(&b, v) // A bytes.Buffer returns no errors.
			b.WriteString("\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

var (
	errMismatchedResponse = errors.New("received only responses to other requests")
	errUnnamedResponse    = errors.New("received a response that names no request, on a connection that has served another one")
)

// readResponse returns the first response that names the request. Interim responses and
// responses that name another request are discarded. A response that names none belongs to the
// request only if it is the first on the connection: a server may repeat an earlier response.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	req, meter := &http.Request{Method: r.Method}, &headMeter{reserve: r.ReserveHead}
	for range maxResponses {
		resp, err := c.readHead(req, meter)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if !httpheader.IsFinalStatus(resp.StatusCode) {
			return nil, errkind.New(errkind.BackendLost, "the response has the status %03d, which HTTP does not have", resp.StatusCode)
		}
		first := !c.hasResponded
		c.hasResponded = true
		switch ids := resp.Header.Values(r.IDHeader); {
		case len(ids) == 1 && ids[0] == r.ID:
			return resp, nil
		case len(ids) == 0 || len(ids) == 1 && ids[0] == "":
			if first {
				return resp, nil
			}
			return nil, errUnnamedResponse
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errMismatchedResponse
		}
		if err := discardShort(resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errMismatchedResponse
}

// Framed reports whether the end of the response body is marked by a length or by
// chunked encoding, and not only by the end of the connection.
func (r *Response) Framed() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// EndsWithConnection reports whether only the end of the connection marks that of the response body.
func (r *Response) EndsWithConnection() bool { return !r.Framed() && r.Body != http.NoBody }

// initialBodyBytes is the buffer with which a body of unknown length is read.
const initialBodyBytes = 4 << 10

// ReadAll reads the complete body. It fails if the body breaks off or is longer than
// limit bytes, or if reserve, which is called before the buffer grows by n bytes, does.
func (r *Response) ReadAll(limit int64, reserve func(n int64) error) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errkind.New(errkind.BackendLost, "the response body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	size := int64(initialBodyBytes)
	if r.ContentLength >= 0 {
		size = r.ContentLength + 1 // The last byte finds the end of the body.
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			r.bodyRead = true
			return body, nil
		case errors.Is(err, deadline.ErrEnd):
			return nil, err
		case err != nil:
			return nil, errkind.Wrap(err, errkind.BackendLost, "reading the response body failed after %d bytes", len(body))
		case int64(len(body)) > limit:
			return nil, errkind.New(errkind.BackendLost, "the response body exceeds the limit of %d bytes", limit)
		case len(body) == cap(body):
			if err := reserve(int64(len(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*len(body)), body...)
		}
	}
}

// discardTimeout limits how long Discard reads.
const discardTimeout = 50 * time.Millisecond

// Discard reads the rest of a body that is not needed, if it is short and comes soon, so
// that the connection can be used again.
func (r *Response) Discard(ctx context.Context) {
	if !r.Framed() || r.SetReadTimeout(ctx, discardTimeout) != nil {
		return
	}
	r.bodyRead = discardShort(r.Body) == nil
}

// discardShort reads a body of at most maxDiscardedBytes to its end.
func discardShort(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		err = errkind.New(errkind.BackendLost, "an unneeded response body exceeds the limit of %d bytes", maxDiscardedBytes)
	}
	return err
}

// MarkBodyRead records that the caller has read the body to its end without ReadAll.
func (r *Response) MarkBodyRead() { r.bodyRead = true }

// pendingWriteTimeout is how long Close waits for the rest of a request to be
// written after an early response.
const pendingWriteTimeout = 50 * time.Millisecond

// Close returns the connection to the pool if the exchange is complete and no bytes
// followed the response. Otherwise it closes the connection, which makes the backend
// server cancel the request.
func (r *Response) Close() {
	cancelled := !r.stopAbort()
	if r.watched {
		r.watched = false
		r.conn.pool.unwatch()
	}
	if !r.bodyRead || cancelled || r.Response == nil || r.Response.Close || !r.Framed() || r.conn.br.Buffered() > 0 || !r.requestWritten() || r.longBody && !r.conn.forbidLateReader() {
		r.conn.pool.closeRequest(r.conn)
		return
	}
	r.pool.put(r.conn)
}

func (r *Response) requestWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
	}
	t := time.NewTimer(pendingWriteTimeout)
	defer t.Stop()
	select {
	case err := <-r.written:
		return err == nil
	case <-t.C:
		return false
	}
}

// SetReadTimeout limits how long reads of the body may wait, counted from now. It
// fails if ctx, the context of the exchange, is done.
func (r *Response) SetReadTimeout(ctx context.Context, timeout time.Duration) error {
	if err := r.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	// When ctx is done, abortOnDone sets a deadline in the past. The deadline set
	// here may have replaced it.
	return ctx.Err()
}
