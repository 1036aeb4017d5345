package httpguard

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A client that stops in the middle of a header must not hold its connection for longer
// than the configuration allows, while one that sends nothing yet, or whose header was
// complete in time, is left alone.
func TestAHeaderThatStallsEndsTheConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Hour, ConnState: ConnState, ConnContext: ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
	}
	listener := &Listener{
		Listener: inner, IdleTimeout: func() time.Duration { return 0 },
		HeaderTimeout: func() time.Duration { return 50 * time.Millisecond },
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	defer func() {
		_ = server.Close()
		<-done
	}()
	exchange := func(parts ...string) string {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		for _, p := range parts {
			time.Sleep(100 * time.Millisecond) // longer than the header may take
			if _, err := io.WriteString(c, p); err != nil {
				return "closed"
			}
		}
		got, err := io.ReadAll(c)
		if err != nil {
			return "not closed: " + err.Error()
		}
		return string(got)
	}
	if got := exchange("GET / HTTP/1.1\r\nHost: h\r\nX-Sl"); len(got) > 0 && got != "closed" && got[:4] != "HTTP" {
		t.Errorf("a stalled header: %q", got)
	}
	request := "GET / HTTP/1.1\r\nHost: h\r\n"
	if got := exchange(request+"\r\n", request+"Connection: close\r\n\r\n"); len(got) < 6 || got[len(got)-6:] != "served" {
		t.Errorf("two requests with a pause between them: %q", got)
	}
}
