package httpguard

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeaderLines limits the lines of a request's header. Clients send a few dozen.
	maxHeaderLines = 512
	// maxHeaderMemory limits the memory of the headers of all requests of a Listener.
	maxHeaderMemory = 16 << 20
	// headerByteCost and headerLineCost are the memory in bytes that each byte and each line of a
	// header take: as it is recorded, and as net/http parses it.
	headerByteCost = 4
	headerLineCost = 256
	// freeHeaderCost is the memory that each header may take without a reservation.
	freeHeaderCost = 16 << 10
)

var (
	errTooManyLines = errors.Newf("the request header has more than %d lines", maxHeaderLines)
	errNoMemory     = errors.Newf("the request headers of all connections take more than %d bytes of memory", maxHeaderMemory)
)

// tooManyLinesResponse is sent before the connection is closed.
const tooManyLinesResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// headerLength returns the length of the header at the start of p, which may be followed by a
// body, or len(p) if its end has not come. Lines may end with a line feed alone.
func headerLength(p []byte) int {
	for i, rest := 0, p; ; {
		n := bytes.IndexByte(rest, '\n')
		if n < 0 {
			return len(p)
		}
		i, rest = i+n+1, rest[n+1:]
		if bytes.HasPrefix(rest, []byte{'\n'}) || bytes.HasPrefix(rest, []byte("\r\n")) {
			return i
		}
	}
}

// chargeHeader reserves memory for the header as recorded so far. An error makes net/http close
// the connection without a response. c.mu must be held.
func (c *conn) chargeHeader() error {
	header := c.header[:headerLength(c.header)]
	lines := bytes.Count(header, []byte{'\n'})
	if lines > maxHeaderLines {
		// An error is ignored: the connection is closed anyway.
		_, _ = c.Conn.Write([]byte(tooManyLinesResponse))
		return &net.OpError{Op: "read", Net: "tcp", Err: errTooManyLines}
	}
	more := int64(len(header)*headerByteCost+lines*headerLineCost-freeHeaderCost) - c.reserved
	if more <= 0 {
		return nil
	}
	if !c.headers.Reserve(more) {
		return &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
	}
	c.reserved += more
	return nil
}
