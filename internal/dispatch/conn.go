package dispatch

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errGateClosed is returned by a write that may no longer begin.
var errGateClosed = errors.New("the request may no longer be started")

// gatedConn is a connection to a backend server that knows whether the first
// byte of the request in hand has left. A request arms it with a gate, which is
// asked immediately before that byte. Sealing it ends writing for good, so that
// "no byte has left" stays true.
type gatedConn struct {
	net.Conn
	mu      sync.Mutex
	gate    func() bool
	started bool
	sealed  bool
}

// arm begins a request on the connection.
func (c *gatedConn) arm(gate func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.started = gate, false
}

// seal ends writing and reports whether any byte of the armed request has left.
func (c *gatedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.started
}

// Write passes the gate before the first byte of a request.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errGateClosed
	}
	if c.started {
		return nil
	}
	if c.gate != nil && !c.gate() {
		c.sealed = true
		return errGateClosed
	}
	c.started = true
	return nil
}
