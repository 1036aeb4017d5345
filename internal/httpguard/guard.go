// Package httpguard rejects requests that have both a Content-Length header and
// a chunked body. net/http and another HTTP implementation can disagree on where
// such a request ends, which allows request smuggling. net/http drops the
// Content-Length before a handler sees it, so the package records the raw bytes
// of the header.
//
// It also applies an idle timeout to connections and a timeout to request headers; both
// may change while the server runs. Handler has clients of HTTP/1.0 see that a response is cut.
package httpguard

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/memory"
)

// Listener wraps the connections of a listener to record request headers and
// apply the idle timeout. ConnState must be the server's ConnState and
// ConnContext its ConnContext.
type Listener struct {
	net.Listener
	// IdleTimeout returns how long a connection may be idle; 0 means no limit.
	IdleTimeout func() time.Duration
	// HeaderTimeout returns how long a request's header may take from its first byte; 0
	// means no limit.
	HeaderTimeout func() time.Duration

	// headers is the memory of request headers.
	headers   memory.Budget
	limitOnce sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.limitOnce.Do(func() { l.headers.Limit = maxHeaderMemory })
	return &conn{Conn: c, idleTimeout: l.IdleTimeout, headerTimeout: l.HeaderTimeout, headers: &l.headers, readingHeader: true}, nil
}

// maxHeaderBytes limits the bytes that are recorded of one header; a chunked
// request with a longer header is rejected.
const maxHeaderBytes = 64 << 10

// conn records the bytes of the current request's header.
type conn struct {
	net.Conn
	idleTimeout, headerTimeout func() time.Duration
	headers                    *memory.Budget

	mu sync.Mutex
	// reserved is the memory reserved for the current request's header.
	reserved int64
	// readingHeader is true from the end of a request to the end of the next
	// request's header, or to maxHeaderBytes.
	readingHeader bool
	idle          bool
	header        []byte
	// readAhead is the byte of the next request that was read while the current one
	// was being served.
	readAhead []byte
}

var headerEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	idle := c.idle
	c.idle = false
	c.mu.Unlock()
	if idle {
		if d := c.idleTimeout(); d > 0 {
			if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
				return 0, err
			}
		}
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readingHeader:
		first := len(c.header) == 0 && n > 0
		c.header = append(c.header, p[:n]...)
		c.readingHeader = len(c.header) < maxHeaderBytes && !bytes.Contains(c.header, headerEnd)
		if d := c.headerTimeout(); first && c.readingHeader && d > 0 && err == nil {
			err = c.SetReadDeadline(time.Now().Add(d)) // net/http lifts it after the header.
		}
		if refused := c.chargeHeader(); refused != nil {
			return 0, refused
		}
	case n == 1 && len(p) == 1:
		// While it serves a request, net/http reads one byte ahead to detect
		// that the client has disconnected.
		c.readAhead = append(c.readAhead[:0], p[0])
	}
	return n, err
}

// ConnState is the callback for http.Server.ConnState. An idle connection starts to
// record the next request's header.
func ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || s != http.StateIdle && s != http.StateClosed && s != http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headers.Release(c.reserved)
	c.reserved = 0
	if s != http.StateIdle {
		c.header = nil
		return
	}
	c.idle, c.readingHeader = true, true
	if cap(c.header) > freeHeaderCost {
		c.header = nil // Idle connections keep little memory.
	}
	c.header = append(c.header[:0], c.readAhead...)
	c.readAhead = c.readAhead[:0]
}

type connKey struct{}

// ConnContext is the callback for http.Server.ConnContext. It stores the connection
// in the request context for CheckFraming.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// CheckFraming rejects a request with both a Content-Length header and a chunked body. It
// also rejects a chunked request whose header was not recorded in full: one that
// exceeds maxHeaderBytes or is pipelined. It must be called before the body is read.
func CheckFraming(r *http.Request) error {
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	end := bytes.Index(c.header, headerEnd)
	if end < 0 {
		return errkind.New(errkind.BadRequest, "the header of a chunked request was not recorded in full (it is pipelined or longer than 64 KiB) and cannot be checked for Content-Length")
	}
	for line := range bytes.Lines(c.header[:end]) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return errkind.New(errkind.BadRequest, "the request has both a Content-Length header and a chunked body")
		}
	}
	return nil
}
