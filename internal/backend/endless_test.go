package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endlessBytes is how much an endless response writes at most, so that a router that reads
// it all ends.
const endlessBytes = 64 << 20

// newEndlessServer returns the address of a server that answers each request with head and
// then repeats rest until the connection is closed.
func newEndlessServer(t *testing.T, head, rest string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	chunk := []byte(strings.Repeat(rest, 1+(32<<10)/len(rest)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				fmt.Fprint(c, head)
				for written := 0; written < endlessBytes; written += len(chunk) {
					if _, err := c.Write(chunk); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against responses without end that take the router's memory, or hold a request
// until its deadline.
func TestAnEndlessResponseHeadCostsLittleMemory(t *testing.T) {
	const (
		maxAllocated = 4 << 20
		deadline     = 20 * time.Second
	)
	for name, tc := range map[string]struct{ head, rest string }{
		"no line end":        {"", "x"},
		"a long status line": {"HTTP/1.1 200 ", "x"},
		"a header line":      {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"many header lines":  {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
		"interim responses":  {"", "HTTP/1.1 102 Processing\r\nX-Interim: 1\r\n\r\n"},
		"another's body":     {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := newEndlessServer(t, tc.head, tc.rest)
			pool := NewPool(Options{})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, err := pool.Do(ctx, Target{ID: "s", Address: address}, &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", IDHeader: "X-Id"})
			runtime.ReadMemStats(&after)
			if err == nil {
				resp.Close()
				t.Fatal("an endless head was taken for a response")
			}
			if ctx.Err() != nil {
				t.Errorf("the request was held until its deadline: %v", err)
			}
			if !MayHaveBeenSent(err) {
				t.Errorf("the error %v denies that the request was sent", err)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
				t.Errorf("%d bytes were allocated, want at most %d", allocated, maxAllocated)
			}
		})
	}
}
