package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds an event of a stream or a usual answer's header.
	readBuffer = 2 << 10
	// defaultIdle is how long a connection is kept whose server names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of the server's idle time that is used, so that the
	// server does not close while a request is on its way.
	idleMargin = 0.7
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	idleTime  time.Duration
	pool      *serverPool
	closed    atomic.Bool
}

// Close closes the connection and gives up its place in the pool, once.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	c.pool.gone()
	return c.Conn.Close()
}

// quiet reports whether an idle connection is open and has brought nothing.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n < 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// noteIdleTime takes in how long the server keeps the connection when idle.
func (c *conn) noteIdleTime(h http.Header) {
	c.idleTime = defaultIdle
	for _, line := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				c.idleTime = time.Duration(idleMargin * float64(seconds) * float64(time.Second))
			}
		}
	}
}

// watch ends the connection's reads and writes when ctx ends.
func (c *conn) watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Conn.SetDeadline(time.Unix(1, 0)) })
}
