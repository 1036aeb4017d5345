package faultypath

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// heldWriteTimeout limits the delivery of what was held.
const heldWriteTimeout = 5 * time.Second

// heldBytes are what a path holds of one connection.
type heldBytes struct {
	mu sync.Mutex
	// sent is delivered by a goroutine of its own while delivering is set. received was not read in time.
	sent, received []byte
	delivering     bool
	// closed is set if the connection closes after the delivery.
	closed bool
}

// awaitDelivery waits until the path delivers, as long as routers wait for a connection.
func (p *Path) awaitDelivery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for p.current() == Held {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// takeReceived copies bytes that came and were not read in time.
func (h *heldBytes) takeReceived(b []byte) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := copy(b, h.received)
	h.received = h.received[n:]
	return n
}

// keepReceived keeps bytes, which came before those that are kept already, for a later read.
func (h *heldBytes) keepReceived(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(slices.Clone(b), h.received...)
}

// writeLater reports whether the path holds what is written, and keeps it then.
func (c *conn) writeLater(b []byte) bool {
	c.held.mu.Lock()
	defer c.held.mu.Unlock()
	switch {
	case c.held.closed || !c.held.delivering && c.path.current() != Held:
		return false
	case !c.held.delivering:
		c.held.delivering = true
		go c.deliver()
	}
	c.held.sent = append(c.held.sent, b...)
	return true
}

// closeLater reports whether the connection ends once what the path holds has arrived. Reads end at once.
func (c *conn) closeLater() bool {
	c.mu.Lock()
	failed := c.failed
	c.mu.Unlock()
	c.held.mu.Lock()
	defer c.held.mu.Unlock()
	if failed != nil || !c.held.delivering && c.path.current() != Held {
		return false
	}
	c.held.closed = true
	if !c.held.delivering {
		c.held.delivering = true
		go c.deliver()
	}
	c.mu.Lock()
	c.failed = net.ErrClosed
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now()) // The connection may have ended.
	return true
}

// deliver writes what the path held once it delivers, and then closes the connection if it was closed meanwhile.
func (c *conn) deliver() {
	for c.path.current() == Held {
		time.Sleep(pollInterval)
	}
	c.held.mu.Lock()
	fault := c.path.current()
	works, closed := fault == Works || fault == Refuses, c.held.closed
	if works && len(c.held.sent) > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(heldWriteTimeout)) // The deadline of the held writes is over.
		// The next write or read has the error, too.
		_, _ = c.Conn.Write(c.held.sent)
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
	c.held.sent, c.held.delivering = nil, false
	c.held.mu.Unlock()
	switch {
	case closed:
		_ = c.Conn.Close()
	case !works:
		c.fail(syscall.ETIMEDOUT) // What was held is lost.
	}
}
