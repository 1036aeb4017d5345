// Package faultypath is a network path from a router to backend servers that can be cut: for
// the soak, which cuts it by a control file, and for tests.
package faultypath

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Fault is how a router's path to the backend servers is cut.
type Fault string

// The faults of a path, as a control file contains them.
const (
	// Works: all connections work.
	Works Fault = ""
	// Silent: nothing arrives, on new and on open connections.
	Silent Fault = "silent"
	// Reset: open connections are reset and new ones refused.
	Reset Fault = "reset"
	// Refuses: open connections work, new ones are refused.
	Refuses Fault = "refuses"
	// Held: what is sent, ends of connections and new connections arrive once the fault has ended, in order.
	Held Fault = "held"
)

const (
	// unacknowledgedTimeout is after how long the kernel closes a connection on which nothing
	// sent is acknowledged, as rpc.NetDialer configures it.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// dialTimeout is how long routers wait for a connection to a server.
	dialTimeout = 400 * time.Millisecond
	// pollInterval is how often the control file, and the end of a silence, are looked for.
	pollInterval = 10 * time.Millisecond
)

// Path is a router's network path to the backend servers. The zero value works.
type Path struct {
	mu    sync.Mutex
	fault Fault
	conns map[*conn]bool
}

// Set sets the fault of the path.
func (p *Path) Set(fault Fault) {
	p.mu.Lock()
	changed := p.fault != fault
	p.fault = fault
	var lost []*conn
	if changed && fault == Reset {
		for c := range p.conns {
			lost = append(lost, c)
		}
	}
	p.mu.Unlock()
	for _, c := range lost {
		c.fail(syscall.ECONNRESET)
	}
}

// Follow sets the fault that the control file contains, until ctx is done. A missing file
// means that the path works.
func (p *Path) Follow(ctx context.Context, controlFile string) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// Any other error leaves the path as it is; the run checks its own writes.
		if data, err := os.ReadFile(controlFile); err == nil || os.IsNotExist(err) {
			p.Set(Fault(strings.TrimSpace(string(data))))
		}
	}
}

func (p *Path) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Dial opens a connection over the path.
func (p *Path) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.current() {
	case Silent:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case Reset, Refuses:
		return nil, syscall.ECONNREFUSED
	case Held:
		if err := p.awaitDelivery(ctx); err != nil {
			return nil, err
		}
	}
	raw, err := rpc.NetDialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, path: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*conn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

// conn is one connection on a path. What is sent while the path is silent is lost, and
// what is received is held back.
type conn struct {
	net.Conn
	path *Path

	mu           sync.Mutex
	failed       error
	readDeadline time.Time

	held heldBytes
}

// SyscallConn lets the pool check an idle connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// fail makes the connection return err from now on.
func (c *conn) fail(err error) {
	c.mu.Lock()
	c.failed = err
	c.mu.Unlock()
	_ = c.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	if c.closeLater() {
		return nil
	}
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
}

// cause returns the error that the connection was made to fail with in place of err.
func (c *conn) cause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.failed != nil {
		return c.failed
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.held.takeReceived(b), error(nil)
	if n == 0 {
		n, err = c.Conn.Read(b)
	}
	for fault := c.path.current(); err == nil && fault == Silent || fault == Held && !errors.Is(err, os.ErrDeadlineExceeded); fault = c.path.current() {
		c.mu.Lock()
		failed, deadline := c.failed, c.readDeadline
		c.mu.Unlock()
		isLate := !deadline.IsZero() && time.Now().After(deadline)
		switch {
		case failed != nil:
			return 0, failed
		case isLate && fault == Held:
			c.held.keepReceived(b[:n])
			return 0, os.ErrDeadlineExceeded
		case isLate:
			c.fail(os.ErrDeadlineExceeded) // The bytes that were held back are lost.
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(pollInterval)
	}
	return n, c.cause(err)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.writeLater(b) {
		return len(b), nil
	}
	if c.path.current() == Silent {
		time.AfterFunc(unacknowledgedTimeout, func() { c.fail(syscall.ETIMEDOUT) })
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	return n, c.cause(err)
}
