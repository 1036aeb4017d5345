package drain

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

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

// Shutdown lets a server accept the connections that are open, which the kernel would reset, closes
// its listener, lets the requests on the last connections arrive, and
// shuts the server down. http.Server.Shutdown alone would close a connection without an answer if
// its request arrived after the call. Serve then returns an error that wraps net.ErrClosed.
func Shutdown(ctx context.Context, server *http.Server, listener net.Listener) error {
	for end := time.Now().Add(maxAcceptTime); hasConnections(listener) && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(acceptCheckInterval)
	}
	_ = listener.Close() // It is closed once more by the server.
	select {
	case <-time.After(requestArrivalTime):
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}

// hasConnections reports whether connections wait to be accepted.
func hasConnections(listener net.Listener) bool {
	l, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}
