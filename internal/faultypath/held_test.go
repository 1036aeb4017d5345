package faultypath

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// dialTest returns both ends of a connection over a path, and the path.
func dialTest(t *testing.T) (p *Path, near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p = &Path{}
	near, err = p.Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return p, near, far
}

// Guards against held links that lose bytes or their order, deliver early, or end before what was sent arrived.
func TestHeldLinksDeliverInOrder(t *testing.T) {
	p, near, far := dialTest(t)
	p.Set(Held)
	for _, text := range []string{"a", "bc"} {
		if _, err := near.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := far.Write([]byte("xyz")); err != nil {
		t.Fatal(err)
	}
	_ = far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_ = near.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	for _, c := range []net.Conn{near, far} {
		if n, err := c.Read(make([]byte, 8)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read %d bytes, %v while the link is held", n, err)
		}
	}
	if _, err := p.Dial(t.Context(), "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dial over a held link: %v", err)
	}
	p.Set(Works)
	_ = near.SetReadDeadline(time.Now().Add(10 * time.Second))
	_ = far.SetReadDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, 3)
	if _, err := io.ReadFull(near, got); err != nil || string(got) != "xyz" {
		t.Errorf("near end read %q, %v", got, err)
	}
	if _, err := near.Write([]byte("d")); err != nil {
		t.Fatal(err)
	}
	p.Set(Held)
	if _, err := near.Write([]byte("e")); err != nil {
		t.Fatal(err)
	}
	_ = near.Close()
	if _, err := near.Read(got); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read after close: %v", err)
	}
	p.Set(Works)
	if text, err := io.ReadAll(far); err != nil || string(text) != "abcde" {
		t.Errorf("far end read %q, %v", text, err)
	}
}
