package drain

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// requestArrivalTime is how long requests on the last connections may take to arrive.
const requestArrivalTime = 200 * time.Millisecond

const (
	// maxAcceptTime limits how long the server may take to accept the connections that are open, and
	// acceptCheckInterval is how often they are looked for.
	maxAcceptTime       = 300 * time.Millisecond
	acceptCheckInterval = time.Millisecond
)

// Serve serves until the server or its listener is closed, or Shutdown is called.
func Serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	// The kernel refuses to accept with EINVAL once Shutdown has ended the listener.
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EINVAL) {
		return nil
	}
	return err
}

// Shutdown lets a server accept the connections that are open, which the kernel would reset, closes
// its listener, lets the requests on the last connections arrive, and
// shuts the server down. http.Server.Shutdown alone would close a connection without an answer if
// its request arrived after the call.
func Shutdown(ctx context.Context, server *http.Server, listener net.Listener) error {
	for end := time.Now().Add(maxAcceptTime); !endIfIdle(listener) && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(acceptCheckInterval)
	}
	_ = listener.Close() // It is closed once more by the server.
	select {
	case <-time.After(requestArrivalTime):
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}

// endIfIdle ends the listener unless connections wait to be accepted. It reports whether it has nothing to wait for, which it
// does not know of listeners other than sockets.
//
// Close would let the kernel take, and then reset, connections until the goroutine that accepts them has run.
func endIfIdle(listener net.Listener) bool {
	l, ok := listener.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if ended = err != nil || n == 0; ended {
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // The listener is closed next in any case.
		}
	})
	return ended || err != nil
}
