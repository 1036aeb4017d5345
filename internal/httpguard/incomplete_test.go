package httpguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Guards against a response that ends with its connection and looks whole because the server's process
// was killed: the system closes the connection for it, as SO_LINGER says.
func TestTheSystemResetsIncompleteResponses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lingers, whole := make(chan *unix.Linger, 1), make(chan struct{})
	none := func() time.Duration { return 0 }
	server := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		lingers <- lingerOf(t, r.Context().Value(connKey{}).(*conn).Conn)
		<-whole
	}))}
	go func() { _ = server.Serve(&Listener{Listener: l, IdleTimeout: none, HeaderTimeout: none}) }()
	defer func() { _ = server.Close() }()
	for _, tc := range []struct {
		proto string
		reset bool
	}{{"HTTP/1.0", true}, {"HTTP/1.1", false}} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "GET / %s\r\nHost: h\r\nConnection: close\r\n\r\n", tc.proto)
		if got := <-lingers; (got.Onoff == 1 && got.Linger == 0) != tc.reset {
			t.Errorf("%s: SO_LINGER is %+v while the response is incomplete, want a reset: %t", tc.proto, *got, tc.reset)
		}
		whole <- struct{}{}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "half" {
			t.Errorf("%s: a complete response: %q, %v", tc.proto, body, err)
		}
		_ = c.Close()
	}
}

func lingerOf(t *testing.T, c net.Conn) *unix.Linger {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var linger *unix.Linger
	err = raw.Control(func(fd uintptr) { linger, err = unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) })
	if err != nil {
		t.Fatal(err)
	}
	return linger
}

// Guards against a response that looks whole to a client of HTTP/1.0 although its handler panicked, or the
// server closed the connection at the end of its time.
func TestIncompleteResponsesAreReset(t *testing.T) {
	for _, panics := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		goOn := make(chan struct{})
		none := func() time.Duration { return 0 }
		server := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			<-goOn
			if panics {
				panic(http.ErrAbortHandler)
			}
		}))}
		go func() { _ = server.Serve(&Listener{Listener: l, IdleTimeout: none, HeaderTimeout: none}) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 4)
		if _, err := io.ReadFull(resp.Body, got); err != nil {
			t.Fatal(err)
		}
		if !panics {
			_ = server.Close()
		}
		close(goOn)
		if _, err := resp.Body.Read(got); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("panic %t: after half of the response: %v, want a reset", panics, err)
		}
		_, _ = c.Close(), server.Close()
	}
}
