package rpc

import (
	"context"
	"io"
	"net"
	"testing"
)

func TestTrafficCountsBothDirections(t *testing.T) {
	l, err := Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	var server Traffic
	counted := server.Listener(l)
	defer func() { _ = counted.Close() }()
	go func() {
		c, err := counted.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.ReadFull(c, make([]byte, 5))
		_, _ = c.Write([]byte("abc"))
	}()
	raw, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var client Traffic
	c := client.countConn(raw)
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if client.BytesSent() != 5 || client.BytesReceived() != 3 || server.BytesReceived() != 5 || server.BytesSent() != 3 {
		t.Fatalf("client sent %d and received %d bytes, want 5 and 3; server received %d and sent %d, want 5 and 3", client.BytesSent(), client.BytesReceived(), server.BytesReceived(), server.BytesSent())
	}
}
