package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Request is what is sent to a server.
type Request struct {
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the client's request had a body, empty or not.
	HasBody bool
	// ID is the id that the answer must name, and IDHeader the header for it.
	ID, IDHeader string
	// Fragile requests may run once only, so they avoid connections that the
	// server may be about to close.
	Fragile bool
}

// Response is an answer whose header has been read. Close must be called.
type Response struct {
	*http.Response
	p       *Pool
	c       *conn
	stop    func() bool
	written <-chan error
	whole   bool
}

// inlineBody is the size up to which a request is written before the answer is
// read; a server that answers early has at least such a window open.
const inlineBody = 2 << 10

// maxSkipped bounds the answers to other requests that are passed over.
const maxSkipped = 4

// Sent reports whether an error of Do leaves open that the server got the
// request.
func Sent(err error) bool {
	k := errkind.Of(err)
	return err != nil && k != errkind.Unreachable && k != errkind.QueueFull
}

// Do sends a request and returns the answer that names it. Errors of kinds
// unreachable and queue-full say that nothing was sent; after others the server
// may have run the request. ctx bounds the whole exchange, the body included.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := p.get(ctx, t, r.Fragile)
	if err != nil {
		return nil, err
	}
	resp := &Response{p: p, c: c, stop: c.watch(ctx)}
	resp.written = c.write(r)
	resp.Response, err = c.read(r)
	if err != nil {
		resp.Response = nil
		resp.Close()
		return nil, errkind.Wrap(err, errkind.BackendLost, "the connection to server %q broke before its answer", t.ID)
	}
	c.noteIdleTime(resp.Header)
	return resp, nil
}

// write sends the request; a long body goes beside the reading of the answer,
// since a server may answer early and read the rest later.
func (c *conn) write(r *Request) <-chan error {
	done := make(chan error, 1)
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
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

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// The headers were parsed by net/http, so names and values hold no line breaks.
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

var errForeign = errors.New("only answers to other requests came")

// read returns the first answer that names the request. Answers that name
// another one belong to nobody.
func (c *conn) read(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxSkipped {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if got := resp.Header.Get(r.IDHeader); got == "" || got == r.ID {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// Framed reports whether the end of the answer shows without the connection's.
func (r *Response) Framed() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// ReadAll reads the whole body, up to the bound. A nil error says it is whole.
func (r *Response) ReadAll(bound int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, bound+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BackendLost, "the answer broke off after %d bytes", len(body))
	}
	if int64(len(body)) > bound {
		return nil, errkind.New(errkind.BackendLost, "the answer is over %d bytes", bound)
	}
	r.whole = true
	return body, nil
}

// Ended says that the body was read to its end by other means than ReadAll.
func (r *Response) Ended() { r.whole = true }

// lingerWrite is how long a request that was answered early may still be written.
const lingerWrite = 50 * time.Millisecond

// Close keeps the connection if the exchange is whole and nothing followed it,
// else closes it, which makes the server drop the request.
func (r *Response) Close() {
	cancelled := !r.stop()
	if !r.whole || cancelled || r.Response == nil || r.Response.Close || !r.Framed() || r.c.br.Buffered() > 0 || !r.sentWhole() {
		_ = r.c.Close()
		return
	}
	r.p.put(r.c)
}

func (r *Response) sentWhole() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
	}
	t := time.NewTimer(lingerWrite)
	defer t.Stop()
	select {
	case err := <-r.written:
		return err == nil
	case <-t.C:
		return false
	}
}

// Wait bounds the wait for the next bytes of the body. It fails if ctx, which
// bounds the exchange, has ended.
func (r *Response) Wait(ctx context.Context, patience time.Duration) error {
	if err := r.c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	// The end of ctx sets a deadline in the past, which this one may have replaced.
	return ctx.Err()
}
