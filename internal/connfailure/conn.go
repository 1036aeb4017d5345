package connfailure

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side. A read that
// finds the end stops the writes, so that none of them is told of a failure later.
type Conn struct {
	net.Conn
	// mu is held during a write. failure is the error with which the connection failed before the
	// peer had ended its side, as a write was told of it.
	mu      sync.Mutex
	failure error
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	// The kernel reports EPIPE to a write after the peer has ended its side.
	if err != nil && c.failure == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.stopWrites(); failure != nil {
			err = errors.Wrap(failure, "the connection failed before the peer ended it")
		}
	}
	return n, err
}

// stopWrites ends the write in progress, makes later ones fail, and returns the failure that a write
// was told of, if any.
func (c *Conn) stopWrites() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connections of type %T have no socket", c.Conn)
	}
	return sc.SyscallConn()
}
