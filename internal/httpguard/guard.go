// Package httpguard finds requests that net/http reads in one way and another
// program could read in another: those with both a length and a chunked body.
// net/http drops the length before a handler sees it, so the guard looks at the
// bytes of the header itself.
//
// It also bounds how long a connection may be idle by a limit that may change
// while the server runs.
package httpguard

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Listener wraps the connections of a listener. Hook must be the server's
// ConnState and Context its ConnContext.
type Listener struct {
	net.Listener
	// IdleTime returns how long a connection may be idle; 0 means no bound.
	IdleTime func() time.Duration
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, idleTime: l.IdleTime, heading: true}, nil
}

// maxHead bounds the bytes of one header that are kept; a longer header of a
// chunked request is refused.
const maxHead = 64 << 10

// conn keeps the bytes of the current request's header.
type conn struct {
	net.Conn
	idleTime func() time.Duration

	mu sync.Mutex
	// heading is true from the end of one request to the end of the next header.
	heading bool
	idle    bool
	head    []byte
	// ahead is the byte of the next request that was read during the last one.
	ahead []byte
}

var headEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	idle := c.idle
	c.idle = false
	c.mu.Unlock()
	if idle {
		if d := c.idleTime(); d > 0 {
			if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
				return 0, err
			}
		}
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.heading:
		c.head = append(c.head, p[:n]...)
		c.heading = len(c.head) < maxHead && !bytes.Contains(c.head, headEnd)
	case n == 1 && len(p) == 1:
		// The server reads one byte ahead while a request is answered, to see
		// whether the client leaves.
		c.ahead = append(c.ahead[:0], p[0])
	}
	return n, err
}

// State is to be the server's ConnState.
func State(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || s != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.heading = true, true
	c.head = append(c.head[:0], c.ahead...)
	c.ahead = c.ahead[:0]
}

type connKey struct{}

// Context is to be the server's ConnContext.
func Context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Check refuses a request with both a length and a chunked body. It must be
// called before the body is read.
func Check(r *http.Request) error {
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	end := bytes.Index(c.head, headEnd)
	if end < 0 {
		return errkind.New(errkind.BadRequest, "the header of a chunked request could not be checked")
	}
	for line := range bytes.Lines(c.head[:end]) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return errkind.New(errkind.BadRequest, "the request has both a length and a chunked body")
		}
	}
	return nil
}
