package httpguard

import "net/http"

// defaultLinger has the system send what was written before it closes a connection.
const defaultLinger = -1

// Handler returns a handler that resets the connections of clients of HTTP/1.0 whose response is not
// complete: next panics, the server closes the connection, or the process ends. To such a client, the
// end of the connection marks the end of a response without a length, so that one which is cut would
// look complete.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		if err := setLinger(r, 0); err != nil {
			http.Error(w, "HTTP/1.1 is required: "+err.Error(), http.StatusHTTPVersionNotSupported)
			return
		}
		next.ServeHTTP(w, r)
		// An error means that the connection is closed already.
		_ = setLinger(r, defaultLinger)
	})
}

// setLinger sets for how many seconds closing the request's connection waits for what was written; 0
// resets it instead.
func setLinger(r *http.Request, seconds int) error {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		return http.ErrNotSupported
	}
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return http.ErrNotSupported
	}
	return tcp.SetLinger(seconds)
}
