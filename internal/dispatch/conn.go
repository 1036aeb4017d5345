package dispatch

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errGateClosed is returned by a write that may not begin.
var errGateClosed = errors.New("the request may no longer be sent on this connection")

// gatedConn is a connection to a backend server that records whether the first
// byte of the current request has been sent. Each request arms it with a gate, a
// function that is called immediately before that byte is sent and may prevent
// it. Sealing the connection ends writing for good, so that "no byte has been
// sent" stays true.
type gatedConn struct {
	net.Conn
	mu      sync.Mutex
	gate    func() bool
	started bool
	sealed  bool
}

// arm prepares the connection for a new request.
func (c *gatedConn) arm(gate func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.started = gate, false
}

// seal ends writing and reports whether any byte of the current request has been
// sent.
func (c *gatedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.started
}

// Write calls the gate before it sends the first byte of a request.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.passGate(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) passGate() error {
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
