package backend

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/connfailure"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// readBufferBytes is enough for a stream event or a typical response header.
	readBufferBytes = 2 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the backend server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the backend server's idle timeout for
	// which a connection is kept, so that the backend server does not close it while
	// a request is on its way.
	idleTimeoutFraction = 0.7
	// maxIdleSeconds is the longest idle timeout that is not taken for a mistake.
	maxIdleSeconds = 24 * 60 * 60
)

// conn is one connection to a backend server.
type conn struct {
	*connfailure.Conn
	// br reads from head, which measures the head of a response.
	br          *bufio.Reader
	head        *headReader
	idleSince   time.Time
	idleTimeout time.Duration
	pool        *serverPool
	// connectedAt is when the connection was opened, by the boot clock.
	connectedAt time.Duration
	closed      atomic.Bool
	// lastID is the id of the last request that was sent.
	lastID string
	// asked is set once the process has answered the call for its start, told if it has told it, which is born, and ends if
	// it ended the connection with the answer.
	asked, told, ends bool
	born              int64
	// hasResponded is set once a response other than an interim one was received.
	hasResponded bool
	// openedAt is when the connection was opened, or an earlier time at which the process that it leads to is known to
	// have run. seenOpenAt is when the connection was last known to be open, during an exchange. hasWitness is set if there was
	// a witness by then. All three are guarded by the pool's mutex.
	openedAt, seenOpenAt time.Time
	hasWitness           bool
}

// newConn wraps a connection. The end of a response without a length is that of its connection, which is
// written to meanwhile, so that a failure must not pass for it.
func newConn(dialed net.Conn, pool *serverPool) *conn {
	raw := &connfailure.Conn{Conn: dialed}
	head := &headReader{Reader: raw, onRead: pool.pool.recordHeard}
	return &conn{Conn: raw, br: bufio.NewReaderSize(head, readBufferBytes), head: head, pool: pool, connectedAt: clock.SinceBoot(), openedAt: time.Now()}
}

// readHead reads the status line and the headers of a response.
func (c *conn) readHead(req *http.Request, meter *headMeter) (*http.Response, error) {
	meter.begin()
	// A part of the head may have come with the response before.
	buffered, err := c.br.Peek(c.br.Buffered())
	if err == nil {
		err = meter.add(buffered)
	}
	if err != nil {
		return nil, err
	}
	c.head.meter = meter
	defer func() { c.head.meter = nil }()
	return http.ReadResponse(c.br, req)
}

// Close closes the connection and removes it from the pool's count of open
// connections. Later calls do nothing.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	c.pool.connClosed(c)
	return c.Conn.Close()
}

// socket returns the connection's socket, or nil if it has none.
func (c *conn) socket() syscall.RawConn {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// tcpInfo returns what the kernel knows of the connection, or nil if that cannot be asked.
func (c *conn) tcpInfo() *unix.TCPInfo {
	raw := c.socket()
	if raw == nil || c.closed.Load() {
		return nil
	}
	var info *unix.TCPInfo
	err := raw.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	if err != nil {
		return nil
	}
	return info
}

// isOpen reports whether neither side has ended the connection, also if bytes are left to read.
func (c *conn) isOpen() bool {
	info := c.tcpInfo()
	return info != nil && info.State == unix.BPF_TCP_ESTABLISHED
}

// probedAfter is how long after the last data a peer may have answered a keep-alive probe, by the kernel's coarse clock.
const probedAfter = rpc.KeepAliveIdle - 100*time.Millisecond

// sinceEnded returns how long ago the connection, which has ended, did so, or more. The end is the last packet, unless
// the kernel of the peer has answered a keep-alive probe since.
func (c *conn) sinceEnded() time.Duration {
	info := c.tcpInfo()
	if info == nil {
		return math.MaxInt64
	}
	if data := time.Duration(info.Last_data_recv) * time.Millisecond; data >= probedAfter {
		return data
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}

// repeats reports whether the last request had the id of r: an extra response to that one would pass for the response to r.
func (c *conn) repeats(r *Request) bool { return r.ID != "" && c.lastID == r.ID }

// serves reports whether r may be sent on the idle connection, which the server keeps open long enough for it.
func (c *conn) serves(r *Request, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	switch {
	case c.repeats(r):
		return false
	case r.NonIdempotent:
		return idle <= time.Duration(nonIdempotentIdleFraction*float64(c.idleTimeout))
	}
	return idle < c.idleTimeout
}

// reusable reports whether an idle connection is still open and has received no
// bytes.
func (c *conn) reusable() bool {
	raw := c.socket()
	if c.br.Buffered() > 0 || raw == nil {
		return false
	}
	nothingToRead := false
	err := raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = n < 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && nothingToRead
}

// allowLateReader keeps the connection open while the backend server does not read, for a request
// that its receive buffer may not hold. Between its packets keep-alive probes still find a server that
// has disappeared.
func (c *conn) allowLateReader() {
	if raw := c.socket(); raw != nil {
		// If it fails, the connection ends after rpc.UserTimeout, as others do.
		_ = rpc.SetUserTimeout(raw, 0)
	}
}

// forbidLateReader undoes allowLateReader. It reports false if the backend server has not taken all
// that was sent, so that the connection cannot serve another request.
func (c *conn) forbidLateReader() bool {
	raw := c.socket()
	if raw == nil || rpc.SetUserTimeout(raw, rpc.UserTimeout) != nil {
		return false
	}
	unsent := -1
	err := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return err == nil && unsent == 0
}

// updateIdleTimeout sets the idle timeout from the Keep-Alive header of a response.
func (c *conn) updateIdleTimeout(h http.Header) {
	c.idleTimeout = defaultIdleTimeout
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && 0 <= seconds && seconds <= maxIdleSeconds {
				c.idleTimeout = time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
			}
		}
	}
}

// abortOnDone aborts the connection's reads and writes when ctx is done. The
// returned function stops that; it returns false if ctx was done before.
func (c *conn) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Conn.SetDeadline(time.Unix(1, 0)) })
}
