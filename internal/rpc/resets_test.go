package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// textEncoding encodes messages of type *string.
type textEncoding struct{}

func (textEncoding) Marshal(m drpc.Message) ([]byte, error) { return []byte(*m.(*string)), nil }

func (textEncoding) Unmarshal(b []byte, m drpc.Message) error {
	*m.(*string) = string(b)
	return nil
}

type handlerFunc func(s drpc.Stream) error

func (f handlerFunc) HandleRPC(s drpc.Stream, _ string) error { return f(s) }

// lateReaderConn is a connection whose reader, once hold is set, looks again only after a write has
// failed.
type lateReaderConn struct {
	net.Conn
	// writeEndsLast has a write that fails once hold is set return only after the reader has seen the end.
	// Before that there may be no reader: drpc starts none on a connection that is closed at once.
	writeEndsLast bool
	hold          atomic.Bool
	// held is closed once the reader waits, failed once a write has failed, and ended once the reader has
	// seen the end.
	held, failed, ended             chan struct{}
	heldOnce, failedOnce, endedOnce sync.Once
	// end is what the reader was told; valid once ended is closed.
	end error
}

func newLateReaderConn(c net.Conn, writeEndsLast bool) *lateReaderConn {
	return &lateReaderConn{Conn: c, writeEndsLast: writeEndsLast, held: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{})}
}

func (c *lateReaderConn) Read(p []byte) (int, error) {
	for {
		if c.hold.Load() {
			c.heldOnce.Do(func() { close(c.held) })
			<-c.failed
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err := c.Conn.Read(p)
		var timeout net.Error
		if n == 0 && errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		if err != nil {
			c.endedOnce.Do(func() {
				c.end = err
				close(c.ended)
			})
		}
		return n, err
	}
}

func (c *lateReaderConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failedOnce.Do(func() { close(c.failed) })
		if c.writeEndsLast && c.hold.Load() {
			<-c.ended
		}
	}
	return n, err
}

// resetAfterMessage receives one message, has reset end the connection, sends until that fails, and returns
// the error of the next receive.
func resetAfterMessage(t *testing.T, s drpc.Stream, c *lateReaderConn, reset func()) error {
	var m string
	if err := s.MsgRecv(&m, textEncoding{}); err != nil || m != "part" {
		return errors.Newf("the first message is %q, %v", m, err)
	}
	c.hold.Store(true)
	<-c.held
	reset()
	for {
		if err := s.MsgSend(&m, textEncoding{}); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	<-c.ended
	if c.writeEndsLast && !errors.Is(c.end, io.EOF) {
		t.Errorf("the reader was told %v, want a plain end", c.end)
	}
	return s.MsgRecv(&m, textEncoding{})
}

// recordingListener passes on the connections that it accepts, wrapped by wrap.
type recordingListener struct {
	net.Listener
	accepted chan net.Conn
	wrap     func(net.Conn) net.Conn
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c = l.wrap(c)
	l.accepted <- c
	return c, nil
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a stream between processes, such as a snapshot, a session or a request that was handed off,
// that ends in order although its connection was reset: the kernel tells one call only, which may be a send.
func TestAResetThatASendIsToldDoesNotEndAStreamInOrder(t *testing.T) {
	https := httptest.NewTLSServer(nil)
	defer https.Close()
	for _, withTLS := range []bool{false, true} {
		for _, atServer := range []bool{false, true} {
			for _, writeEndsLast := range []bool{false, true} {
				t.Run(fmt.Sprintf("tls %t, at server %t, write ends last %t", withTLS, atServer, writeEndsLast), func(t *testing.T) {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					dialed, result := make(chan net.Conn, 1), make(chan error, 1)
					rl := recordingListener{Listener: l, accepted: make(chan net.Conn, 1), wrap: func(c net.Conn) net.Conn { return c }}
					if atServer {
						rl.wrap = func(c net.Conn) net.Conn { return newLateReaderConn(c, writeEndsLast) }
					}
					part := "part"
					handler := handlerFunc(func(s drpc.Stream) error {
						if atServer {
							result <- resetAfterMessage(t, s, (<-rl.accepted).(*lateReaderConn), func() { resetConn(<-dialed) })
							return nil
						}
						_ = s.MsgSend(&part, textEncoding{}) // If it is not sent, the other side fails.
						<-s.Context().Done()
						return nil
					})
					listener, d := net.Listener(rl), NewFleetDialer()
					if withTLS {
						listener = tls.NewListener(rl, &tls.Config{Certificates: https.TLS.Certificates})
						d.conf = &tls.Config{InsecureSkipVerify: true}
					}
					d.Dial = func(ctx context.Context, address string) (net.Conn, error) {
						c, err := NetDialer(time.Second).DialContext(ctx, "tcp", address)
						if err != nil {
							return nil, err
						}
						dialed <- c
						if atServer {
							return c, nil
						}
						return newLateReaderConn(c, writeEndsLast), nil
					}
					ctx, cancel := context.WithCancel(t.Context())
					var wg sync.WaitGroup
					wg.Go(func() { _ = Serve(ctx, listener, handler) })
					defer wg.Wait()
					defer cancel()
					c, err := d.DialUnpooled(ctx, l.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = c.Close() }()
					s, err := c.NewStream(ctx, "/test", textEncoding{})
					if err != nil {
						t.Fatal(err)
					}
					if err := s.MsgSend(&part, textEncoding{}); err != nil && !atServer { // The server may reset the connection before this returns.
						t.Fatal(err)
					}
					if atServer {
						err = <-result
					} else {
						err = resetAfterMessage(t, s, lateReaderOf(c), func() { resetConn(<-rl.accepted) })
					}
					if err == nil || errors.Is(err, io.EOF) {
						t.Errorf("the stream ended with %v, want the failure of its connection", err)
					}
				})
			}
		}
	}
}

// lateReaderOf returns the connection below c.
func lateReaderOf(c drpc.Conn) *lateReaderConn {
	var raw any = c
	if cc, ok := c.(causeConn); ok {
		raw = cc.raw.Conn.(*tls.Conn).NetConn()
	} else {
		raw = c.(interface{ Transport() drpc.Transport }).Transport()
	}
	return raw.(*countingConn).Conn.(*lateReaderConn)
}
