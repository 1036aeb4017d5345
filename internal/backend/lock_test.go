package backend

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// askedConn calls onAsk before the kernel is asked about it.
type askedConn struct {
	net.Conn
	onAsk func()
}

func (c *askedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return askedRawConn{raw, c.onAsk}, err
}

type askedRawConn struct {
	syscall.RawConn
	onAsk func()
}

func (c askedRawConn) Control(f func(fd uintptr)) error {
	c.onAsk()
	return c.RawConn.Control(f)
}

// Guards against requests that wait for the lock of a server's pool while the kernel is asked about all of its connections.
func TestTheKernelIsAskedAboutAllConnectionsWithoutTheLock(t *testing.T) {
	const conns, wait = 20, 10 * time.Second
	s := newUnframedServer(t, func(_ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	pool := newRunningPool(t)
	dial := pool.opts.Dial
	sp := pool.poolFor(s.target())
	var asked atomic.Int64
	pool.opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		return &askedConn{c, func() {
			// Others hold the lock for a moment only.
			for until := time.Now().Add(wait); !t.Failed() && !sp.mu.TryLock(); time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Error("the lock is held")
				}
			}
			asked.Add(1)
			if !t.Failed() {
				sp.mu.Unlock()
			}
		}}, err
	}
	for range conns {
		c, err := sp.open(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	sp.mu.Lock()
	sp.watching++
	w := &conn{}
	for c := range sp.conns {
		w = c
	}
	sp.witness = w
	sp.mu.Unlock()
	sp.recordOpen(time.Now())
	sp.witnessEnded(w, 0, time.Now())
	if got := asked.Load(); got != 2*conns && !t.Failed() {
		t.Errorf("the kernel was asked %d times about %d connections, want twice about each", got, conns)
	}
}
