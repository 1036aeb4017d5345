package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingBodyBytes is more than the socket buffers of both ends hold.
const blockingBodyBytes = 64 << 20

// observedConn tells when a write has failed, and holds writes back until ready is closed.
type observedConn struct {
	net.Conn
	ready  <-chan struct{}
	failed chan struct{}
	once   sync.Once
}

func (c *observedConn) Write(p []byte) (int, error) {
	<-c.ready
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// endingServer answers a connection with a response without a length, and then ends it.
type endingServer struct {
	// early is set if the server neither waits for the request nor reads any of it.
	early bool
	// end ends the connection once it is called.
	end func(c *net.TCPConn)
	// bodyBytes is the size of the request's body.
	bodyBytes int
	// readsRest is set if the server reads the rest of the request after the end of its response.
	readsRest bool
}

// exchange sends a request to the server, lets the writer of the request meet the end of the
// connection before the reader looks for it, and returns the body that was read.
func (s endingServer) exchange(t *testing.T) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, ready, headRead, ended := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	if !s.early {
		close(ready)
	}
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := raw.(*net.TCPConn)
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		if !s.early {
			if _, err := http.ReadRequest(br); err != nil {
				t.Errorf("read the request: %v", err)
			}
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
		if s.early {
			<-dialed
		} else {
			<-headRead
		}
		s.end(c)
		if s.early {
			close(ready)
		}
		close(ended)
		if s.readsRest {
			_, _ = io.Copy(io.Discard, br)
		}
	}()
	var conn *observedConn
	pool := NewPool(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		close(dialed)
		conn = &observedConn{Conn: raw, ready: ready, failed: make(chan struct{})}
		return conn, nil
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	resp, err := pool.Do(ctx, Target{ID: "s", Address: l.Addr().String()}, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", ID: "1", IDHeader: "X-Id", Body: []byte(strings.Repeat("b", s.bodyBytes)), HasBody: true,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	close(headRead)
	<-ended
	if !s.readsRest {
		select {
		case <-conn.failed:
		case <-ctx.Done():
			t.Fatal("the write of the request did not fail")
		}
	}
	body, err := resp.ReadAll(1<<20, func(int64) error { return nil })
	return string(body), err
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against a response without a length that passes for whole although its connection was reset: the
// kernel reports a reset once, and the writer of the request may be the one to be told.
func TestAResetThatTheWriterIsToldIsNoEndOfAResponse(t *testing.T) {
	for name, s := range map[string]endingServer{
		"body on its way":       {bodyBytes: blockingBodyBytes, end: reset},
		"before a short body":   {bodyBytes: 100, early: true, end: reset},
		"before a long body":    {bodyBytes: inlineBodyBytes + 1, early: true, end: reset},
		"before a blocked body": {bodyBytes: blockingBodyBytes, early: true, end: reset},
	} {
		t.Run(name, func(t *testing.T) {
			if body, err := s.exchange(t); err == nil {
				t.Errorf("%q was taken for a whole response", body)
			}
		})
	}
}

// Guards against a whole response that is taken for broken: the server ends it in order while the rest of
// the request is on its way, and reads on or resets the connection after it.
func TestAResponseMayEndBeforeItsRequest(t *testing.T) {
	for name, s := range map[string]endingServer{
		"the rest is read": {bodyBytes: blockingBodyBytes, readsRest: true, end: func(c *net.TCPConn) { _ = c.CloseWrite() }},
		"then reset": {bodyBytes: blockingBodyBytes, end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.Close() // With unread data, this resets the connection.
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if body, err := s.exchange(t); err != nil || body != "part" {
				t.Errorf("%q, error %v, want a whole response", body, err)
			}
		})
	}
}
