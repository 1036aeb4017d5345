package rpc

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"
)

// failureConn remembers the error that ended the reading from a connection.
type failureConn struct {
	net.Conn
	failure atomic.Pointer[error]
}

// Read implements net.Conn.
func (c *failureConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		failure := err
		if errors.Is(err, io.EOF) {
			// TLS reports the end of a connection at the end of a record as one in order, signed or not.
			failure = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended")
		}
		c.failure.CompareAndSwap(nil, &failure)
	}
	return n, err
}

// cause returns the error that ended the connection in place of those that a write gets
// after that: drpc answers with io.EOF once the stream has ended, and the connection with
// net.ErrClosed.
func (c *failureConn) cause(err error) error {
	if failure := c.failure.Load(); failure != nil && (errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)) {
		return *failure
	}
	return err
}

// causeConn returns errors that say why the connection ended.
type causeConn struct {
	drpcpool.Conn
	raw *failureConn
}

// Invoke implements drpc.Conn.
func (c causeConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.raw.cause(c.Conn.Invoke(ctx, rpc, enc, in, out))
}

// NewStream implements drpc.Conn.
func (c causeConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	s, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, c.raw.cause(err)
	}
	return causeStream{s, c.raw}, nil
}

type causeStream struct {
	drpc.Stream
	raw *failureConn
}

// MsgSend implements drpc.Stream.
func (s causeStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.raw.cause(s.Stream.MsgSend(m, enc))
}

// MsgRecv implements drpc.Stream. It returns io.EOF only if the other side has ended the stream.
func (s causeStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(m, enc)
	if errors.Is(err, io.EOF) {
		return err // The connection may have ended after that.
	}
	return s.raw.cause(err)
}
