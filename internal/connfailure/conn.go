package connfailure

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side. A read that
// finds the end stops the writes, so that none of them is told of a failure later.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error with which the connection failed before the peer had ended its side, as the
	// first call was told of it.
	failure atomic.Pointer[error]
}

// recordFailure records the error of a call unless it does not tell of a failure.
func (c *Conn) recordFailure(err error) {
	// The kernel reports EPIPE to a write after the peer has ended its side.
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) {
		c.failure.CompareAndSwap(nil, &err)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordFailure(err)
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordFailure(err)
	if errors.Is(err, io.EOF) {
		if failure := c.stopWrites(); failure != nil {
			err = errors.Wrap(failure, "the connection failed before the peer ended it")
		}
	}
	return n, err
}

// stopWrites ends the write in progress, makes later ones fail, and returns the failure of which
// a call was told, if any.
func (c *Conn) stopWrites() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if failure := c.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connections of type %T have no socket", c.Conn)
	}
	return sc.SyscallConn()
}
