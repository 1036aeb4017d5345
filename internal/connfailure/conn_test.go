package connfailure

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endedConn is a connection whose reads find an end. A write returns writeErr once writes are stopped, or
// at once.
type endedConn struct {
	net.Conn
	writeErr       error
	begun, stopped chan struct{}
	blocks         bool
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.begun)
	if c.blocks {
		<-c.stopped
	}
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.stopped)
	return nil
}

// Guards against a failure that a write was told of, and that a read passes off as the end of the peer's
// side, also if the write is in progress when the read finds the end; and against the opposite.
func TestAFailureThatAWriteIsToldIsNoEnd(t *testing.T) {
	for _, tc := range []struct {
		err    error
		failed bool
	}{
		{syscall.ECONNRESET, true}, {syscall.ETIMEDOUT, true}, {syscall.EPIPE, false}, {os.ErrDeadlineExceeded, false}, {nil, false},
	} {
		for _, blocks := range []bool{false, true} {
			raw := &endedConn{blocks: blocks, begun: make(chan struct{}), stopped: make(chan struct{})}
			if tc.err != nil {
				raw.writeErr = &net.OpError{Op: "write", Err: tc.err}
			}
			c, written := &Conn{Conn: raw}, make(chan struct{})
			go func() {
				_, _ = c.Write([]byte("x"))
				close(written)
			}()
			<-raw.begun
			if !blocks {
				<-written
			}
			_, err := c.Read(make([]byte, 1))
			if tc.failed && !errors.Is(err, tc.err) || !tc.failed && err != io.EOF {
				t.Errorf("write told %v, in progress %t: the read returned %v", tc.err, blocks, err)
			}
		}
	}
}

// Guards against a failure that a read was told of and that the next read takes for the end: the kernel
// reports it once, and to writes after it as EPIPE.
func TestAReadAfterAFailedReadFailsToo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &Conn{Conn: dialed}
	defer func() { _ = c.Close() }()
	_ = peer.(*net.TCPConn).SetLinger(0)
	_ = peer.Close()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, 1)
	if _, err := c.Read(b); err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("the first read: %v", err)
	}
	if _, err := c.Write(b); err == nil {
		t.Fatal("a write succeeded")
	}
	if _, err := c.Read(b); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the second read was told %v, want the failure of the connection", err)
	}
}
