package rpc

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections between the fleet's processes, as
// they cross the network. It is safe for concurrent use.
type Traffic struct {
	in, out atomic.Int64
}

// In returns the bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// Listener returns a listener whose connections are counted. With TLS, it must
// be the listener below.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countingListener{l, t} }

// conn returns a connection that is counted.
func (t *Traffic) conn(c net.Conn) net.Conn { return &countingConn{c, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.conn(c), nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}
