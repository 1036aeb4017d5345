package rpc

import (
	"crypto/tls"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/memory"
)

const (
	// maxInboundBytes limits the bytes of all messages that a listener receives at a time and
	// that have not ended. The largest message fits.
	maxInboundBytes = MaxMessageBytes
	// freeMessageBytes is what a message may have without a reservation. Most have a few KB.
	freeMessageBytes = 64 << 10
)

var errNoMessageMemory = errors.Newf("the messages that have not ended on all connections have more than %d bytes", maxInboundBytes)

// inboundListener limits the memory of messages that have not ended. Connections with TLS are not
// limited: their peers have proved an identity.
type inboundListener struct {
	net.Listener
	messages memory.Budget
}

func newInboundListener(l net.Listener) *inboundListener {
	return &inboundListener{Listener: l, messages: memory.Budget{Limit: maxInboundBytes}}
}

// Accept implements net.Listener.
func (l *inboundListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if _, encrypted := c.(*tls.Conn); err != nil || encrypted {
		return c, err
	}
	return &inboundConn{Conn: c, messages: &l.messages}, nil
}

// inboundConn measures the messages that it reads, and fails if they find no memory.
type inboundConn struct {
	net.Conn
	messages *memory.Budget

	mu       sync.Mutex
	closed   bool
	frames   frameParser
	reserved int64
}

// Read implements net.Conn.
func (c *inboundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return n, err
	}
	c.frames.add(p[:n])
	want := max(0, c.frames.messageBytes-freeMessageBytes)
	if want > c.reserved && !c.messages.Reserve(want-c.reserved) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMessageMemory}
	}
	if want < c.reserved {
		c.messages.Release(c.reserved - want)
	}
	c.reserved = want
	return n, err
}

// Close implements net.Conn.
func (c *inboundConn) Close() error {
	c.mu.Lock()
	c.messages.Release(c.reserved)
	c.closed, c.reserved = true, 0
	c.mu.Unlock()
	return c.Conn.Close()
}

// frameParser follows the frames of drpc: a byte with the flags, three numbers (stream, message and
// length) of seven bits a byte, and data. A message consists of frames, the last of which is marked.
type frameParser struct {
	// messageBytes is what was received of the message that has not ended.
	messageBytes int64
	inHeader     bool
	last         bool
	numbers      int
	shift        uint
	remaining    uint64
}

const (
	frameLastFlag  = 0b1
	frameNumbers   = 3
	numberBits     = 7
	numberContinue = 0b1000_0000
)

func (f *frameParser) add(p []byte) {
	for len(p) > 0 {
		if !f.inHeader && f.remaining > 0 {
			n := min(uint64(len(p)), f.remaining)
			f.messageBytes += int64(n)
			f.remaining -= n
			p = p[n:]
			f.endFrame()
			continue
		}
		b := p[0]
		p = p[1:]
		f.messageBytes++
		if !f.inHeader {
			f.inHeader, f.last, f.numbers, f.shift, f.remaining = true, b&frameLastFlag != 0, 0, 0, 0
			continue
		}
		if f.numbers == frameNumbers-1 {
			f.remaining |= uint64(b&^numberContinue) << f.shift
		}
		f.shift += numberBits
		if b&numberContinue == 0 {
			f.numbers, f.shift = f.numbers+1, 0
			if f.numbers == frameNumbers {
				f.inHeader = false
				f.endFrame()
			}
		}
	}
}

// endFrame ends the message if its last frame is complete.
func (f *frameParser) endFrame() {
	if f.remaining == 0 && f.last {
		f.messageBytes, f.last = 0, false
	}
}
