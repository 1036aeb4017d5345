package callerconn

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

type connKey struct{}

// Context is the callback for http.Server.ConnContext. It stores the connection for HasGone.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HasGone reports whether the connection of a request has ended at the caller's side, given the
// request's context or one derived from it. It reads nothing. It returns false if the connection
// is not known or has no socket, as with TLS.
func HasGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	// Read would wait for net/http, which reads the connection meanwhile.
	err = raw.Control(func(fd uintptr) { gone = hasEnded(int(fd)) })
	return gone || err != nil // Control fails once this process has closed the connection.
}

// hasEnded reports whether nothing but the end, or an error, is left to read from a socket.
func hasEnded(fd int) bool {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return false
		}
		return err != nil || n == 0
	}
}
