package rpc

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that connections between the processes of the fleet
// send and receive over the network. It is safe for concurrent use.
type Traffic struct {
	in, out atomic.Int64
}

// BytesReceived returns the number of bytes received.
func (t *Traffic) BytesReceived() int64 { return t.in.Load() }

// BytesSent returns the number of bytes sent.
func (t *Traffic) BytesSent() int64 { return t.out.Load() }

// Listener wraps a listener to count the bytes of its connections. With TLS, wrap
// the TCP listener below it.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countingListener{l, t} }

// countConn wraps a connection to count its bytes.
func (t *Traffic) countConn(c net.Conn) net.Conn { return &countingConn{c, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.countConn(c), nil
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
