package backend

import (
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes limits the status line and the headers of a response.
	maxHeadBytes = 256 << 10
	// maxHeadLines limits their number. Servers send a few dozen.
	maxHeadLines = 512
	// headByteCost and headLineCost are the memory in bytes that each byte and each line of a
	// head take: the growing buffer of a long line, its name and value, and its entries in the
	// maps of the response, of the response to the client and of net/http's copy of that.
	headByteCost = 6
	headLineCost = 512
	// freeHeadCost is the memory that each head may take without a reservation. It is enough for
	// heads of 2 KB with 38 lines.
	freeHeadCost = 32 << 10
)

var (
	errHeadTooLong      = errors.Newf("the head of the response is longer than %d bytes", maxHeadBytes)
	errTooManyHeadLines = errors.Newf("the head of the response has more than %d lines", maxHeadLines)
)

// headCost returns the memory for which a head of so many bytes and lines needs a reservation.
func headCost(size, lines int) int64 {
	return max(0, int64(size)*headByteCost+int64(lines)*headLineCost-freeHeadCost)
}

// headMeter measures the heads of the responses to one request as their bytes come, before they
// are parsed.
type headMeter struct {
	// reserve reserves n more bytes of memory; nil means that memory is not limited. A
	// reservation serves the next head as well, which replaces the one before.
	reserve  func(n int64) error
	reserved int64

	// size and lines are those of the current head so far, and lineBytes those of its last line if
	// that has not ended. received counts all bytes since the head began.
	size, lines, lineBytes, received int
	// lastByte is the last byte of the head so far.
	lastByte byte
	ended    bool
}

// begin starts the next head.
func (m *headMeter) begin() {
	m.size, m.lines, m.lineBytes, m.received, m.ended = 0, 0, 0, 0, false
}

// add measures the next bytes of a response. Those behind the end of the head cost nothing.
func (m *headMeter) add(p []byte) error {
	m.received += len(p)
	for _, b := range p {
		if m.ended {
			break
		}
		m.size++
		if b == '\n' {
			m.lines++
			m.ended = m.lines > 1 && (m.lineBytes == 0 || m.lineBytes == 1 && m.lastByte == '\r')
			m.lineBytes = 0
		} else {
			m.lineBytes++
		}
		m.lastByte = b
	}
	switch {
	case m.size > maxHeadBytes, m.received > maxHeadBytes+readBufferBytes:
		return errHeadTooLong
	case m.lines > maxHeadLines:
		return errTooManyHeadLines
	}
	more := headCost(m.size, m.lines) - m.reserved
	if more <= 0 || m.reserve == nil {
		return nil
	}
	if err := m.reserve(more); err != nil {
		return err
	}
	m.reserved += more
	return nil
}

// headReader reads from a connection. While meter is set, it measures what it reads and fails
// instead of returning more than the meter allows. It calls onRead after each successful read.
type headReader struct {
	io.Reader
	onRead func()
	meter  *headMeter
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRead()
	}
	if r.meter != nil {
		if refused := r.meter.add(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}
