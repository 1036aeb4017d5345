package drain

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// slowListener accepts as a process does that is seldom given the processor.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return l.Listener.Accept()
}

// Guards against connections that are reset in a planned stop, since they were open already but not
// accepted when the listener was closed.
func TestConnectionsThatWaitToBeAcceptedAreServed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })}
	go func() { _ = server.Serve(slowListener{l}) }()
	const connections = 4
	conns := make([]net.Conn, connections)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprint(conns[i], "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() {
			answer, err := io.ReadAll(c)
			if err != nil || len(answer) == 0 {
				t.Errorf("connection %d: %q, %v", i, answer, err)
			}
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := Shutdown(ctx, server, l); err != nil {
		t.Error(err)
	}
	wg.Wait()
}

// dialingListener notes whether a connection can be opened at the moment of its Close.
type dialingListener struct {
	*net.TCPListener
	opened atomic.Bool
}

func (l *dialingListener) Close() error {
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		l.opened.Store(true)
		_ = c.Close()
	}
	return l.TCPListener.Close()
}

// Guards against connections that the kernel takes, and resets with their requests, between the decision to close the
// listener and its end.
func TestNoConnectionIsOpenedOnceTheListenerIsToClose(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &dialingListener{TCPListener: inner.(*net.TCPListener)}
	server := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan error, 1)
	go func() { ended <- Serve(server, inner) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := Shutdown(ctx, server, l); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the server ended with %v", err)
	}
	if l.opened.Load() {
		t.Error("a connection was opened while the listener was being closed")
	}
}
