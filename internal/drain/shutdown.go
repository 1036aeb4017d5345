package drain

import (
	"context"
	"net"
	"net/http"
	"time"
)

// requestArrivalTime is how long requests on the last connections may take to arrive.
const requestArrivalTime = 200 * time.Millisecond

// Shutdown closes the listener of a server, lets the requests on the last connections arrive, and
// shuts the server down. http.Server.Shutdown alone would close a connection without an answer if
// its request arrived after the call. Serve then returns an error that wraps net.ErrClosed.
func Shutdown(ctx context.Context, server *http.Server, listener net.Listener) error {
	_ = listener.Close() // It is closed once more by the server.
	select {
	case <-time.After(requestArrivalTime):
	case <-ctx.Done():
	}
	return server.Shutdown(ctx)
}
