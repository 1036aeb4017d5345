package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// cutPath is a TCP path to a target that ends its connections in order, as the kernel does for a killed process,
// once limit bytes went in one direction.
type cutPath struct {
	listener net.Listener
	target   string
	// toTarget selects the direction, and relayed counts its bytes.
	toTarget       bool
	limit, relayed int64
}

// run relays one connection.
func (p *cutPath) run() {
	c, err := p.listener.Accept()
	if err != nil {
		return
	}
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	var wg sync.WaitGroup
	relay := func(dst, src net.Conn, limited bool) {
		defer wg.Done()
		r := io.Reader(src)
		if limited {
			r = io.LimitReader(src, p.limit)
		}
		n, _ := io.Copy(dst, r) // Either end of the path may end first.
		if limited {
			p.relayed = n
			// What the other direction brings is still read, since the kernel resets a connection that is
			// closed with bytes unread.
			_, _ = dst.(*net.TCPConn).CloseWrite(), src.(*net.TCPConn).CloseWrite()
			return
		}
		_ = dst.(*net.TCPConn).CloseWrite() // The connection may have ended.
	}
	wg.Add(2)
	go relay(s, c, p.toTarget)
	go relay(c, s, !p.toTarget)
	wg.Wait()
	_, _ = c.Close(), s.Close()
}

var sentMessages = []string{"part one", "part two", "part three"}

func sendAll(s drpc.Stream) error {
	for i := range sentMessages {
		if err := s.MsgSend(&sentMessages[i], textEncoding{}); err != nil {
			return err
		}
	}
	return nil
}

// receiveAll returns the number of messages before the error that ended the stream.
func receiveAll(s drpc.Stream) (n int, err error) {
	for {
		var m string
		if err := s.MsgRecv(&m, textEncoding{}); err != nil {
			return n, err
		}
		n++
	}
}

// Guards against a stream or a call between processes, such as a list, a snapshot or a change, that passes for whole
// at a receiver although the process that sent it was killed: the kernel ends its connections in order, after any byte.
func TestAConnectionThatEndsInOrderEndsNoStream(t *testing.T) {
	https := httptest.NewTLSServer(nil)
	defer https.Close()
	const uncut = 1 << 20
	type result struct {
		messages int
		// err is the error of the last receive, or of the call; began is set if it is that of a receive.
		err   error
		began bool
	}
	// exchange reports what the receiver got through a path that is cut, and the bytes that the path relayed.
	exchange := func(withTLS, atServer, call bool, limit int64) (result, int64) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		received := make(chan result, 1)
		handler := handlerFunc(func(s drpc.Stream) error {
			switch {
			case call:
				var m string
				if err := s.MsgRecv(&m, textEncoding{}); err != nil {
					return err
				}
				return s.MsgSend(&sentMessages[2], textEncoding{})
			case atServer:
				n, err := receiveAll(s)
				received <- result{n, err, true}
				return nil
			}
			return sendAll(s)
		})
		listener, d := l, NewFleetDialer()
		if withTLS {
			listener = tls.NewListener(l, &tls.Config{Certificates: https.TLS.Certificates})
			d.conf = &tls.Config{InsecureSkipVerify: true}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		var served, relayed sync.WaitGroup
		served.Go(func() { _ = Serve(ctx, listener, handler) })
		defer served.Wait()
		defer cancel()
		pl, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		path := &cutPath{listener: pl, target: l.Addr().String(), toTarget: atServer, limit: limit}
		relayed.Go(path.run)
		got := func() result {
			defer func() { _ = pl.Close() }()
			c, err := d.DialUnpooled(ctx, pl.Addr().String())
			if err != nil {
				return result{err: err}
			}
			defer func() { _ = c.Close() }()
			if call {
				var m string
				err := c.Invoke(ctx, "/test", textEncoding{}, &sentMessages[0], &m)
				if err == nil && m != sentMessages[2] {
					t.Errorf("a call that was cut after %d bytes returned %q", limit, m)
				}
				return result{err: err}
			}
			s, err := c.NewStream(ctx, "/test", textEncoding{})
			if err != nil {
				return result{err: err}
			}
			if !atServer {
				n, err := receiveAll(s)
				return result{n, err, true}
			}
			if sendAll(s) == nil {
				_ = s.CloseSend() // The path may have been cut.
			}
			cut := time.NewTimer(50 * time.Millisecond)
			defer cut.Stop()
			if limit >= uncut {
				cut.Stop()
			}
			select {
			case r := <-received:
				return r
			case <-ctx.Done():
				return result{err: ctx.Err()}
			case <-cut.C: // The request itself may have been cut.
				return result{err: errors.New("nothing was received")}
			}
		}()
		cancel()
		relayed.Wait()
		return got, path.relayed
	}
	for _, withTLS := range []bool{false, true} {
		for name, kind := range map[string]struct{ atServer, call bool }{"to the client": {}, "to the server": {atServer: true}, "call": {call: true}} {
			t.Run(fmt.Sprintf("tls %t, %s", withTLS, name), func(t *testing.T) {
				r, size := exchange(withTLS, kind.atServer, kind.call, uncut)
				if whole := errors.Is(r.err, io.EOF) && r.messages == len(sentMessages); !whole && !kind.call || kind.call && r.err != nil {
					t.Fatalf("without a cut: %d messages, %v", r.messages, r.err)
				}
				const lastBytes = 160 // Those of the messages; a TLS handshake comes before them.
				cut := 0
				for limit := max(0, size-lastBytes); limit < size; limit++ {
					r, _ := exchange(withTLS, kind.atServer, kind.call, limit)
					switch {
					case r.err != nil && !(r.began && errors.Is(r.err, io.EOF)):
						cut++
					case !kind.call && r.messages != len(sentMessages):
						t.Errorf("cut after %d of %d bytes: ended in order after %d messages", limit, size, r.messages)
					}
				}
				t.Logf("%d of %d cuts were seen", cut, min(size, lastBytes))
				if cut == 0 {
					t.Error("no cut was seen")
				}
			})
		}
	}
}

// errStream is a stream whose receives fail with err.
type errStream struct {
	drpc.Stream
	err error
}

func (s errStream) MsgRecv(drpc.Message, drpc.Encoding) error { return s.err }

// Guards against a receive on a connection with TLS that fails, and is told to be the end of the stream because the
// connection has ended at the end of a record, which TLS reports as an end in order.
func TestTheEndOfAConnectionIsNoEndOfAStream(t *testing.T) {
	for _, tc := range []struct {
		received error
		inOrder  bool
	}{{net.ErrClosed, false}, {context.Canceled, false}, {io.EOF, true}} {
		client, server := net.Pipe()
		_ = server.Close()
		raw := &failureConn{Conn: client}
		if _, err := raw.Read(make([]byte, 1)); err != io.EOF {
			t.Fatal(err)
		}
		err := causeStream{errStream{err: tc.received}, raw}.MsgRecv(nil, nil)
		if errors.Is(err, io.EOF) != tc.inOrder {
			t.Errorf("a receive that met %v returned %v, want the end in order %t", tc.received, err, tc.inOrder)
		}
	}
}
