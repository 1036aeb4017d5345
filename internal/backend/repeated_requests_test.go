package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a response that a server writes once more on a kept connection, and that is taken for the response to the
// same request when a stream goes on at that server: the id does not tell them apart. Other requests keep the connection.
func TestAnExtraResponseDoesNotAnswerTheSameRequestAskedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br, earlier := bufio.NewReader(c), ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Id")
					if earlier != "" {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nextra", earlier)
					}
					earlier = id
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
				}
			}()
		}
	}()
	pool := NewPool(Options{})
	for _, id := range []string{"a", "b", "b", "c"} {
		resp, err := pool.Do(t.Context(), Target{ID: "s", Address: l.Addr().String()}, &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: id, IDHeader: "X-Id", Header: http.Header{"X-Id": {id}}})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "ok" || err != nil {
			t.Errorf("request %s got %q, %v, want the response to it", id, body, err)
		}
		resp.MarkBodyRead()
		resp.Close()
	}
	if n := accepted.Load(); n != 2 {
		t.Errorf("%d connections were opened, want one more for the request that was asked again", n)
	}
}
