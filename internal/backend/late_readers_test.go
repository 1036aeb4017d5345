package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response that breaks off because its server, which is alive, reads the rest of the request
// only after it has begun to answer: TCP_USER_TIMEOUT ends a connection whose window stays closed, too.
func TestAServerMayReadTheRestOfARequestLate(t *testing.T) {
	const parts, pause = 8, 500 * time.Millisecond
	for _, chunked := range []bool{true, false} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			served := make(chan error, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					served <- err
					return
				}
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				req, err := http.ReadRequest(br)
				if err != nil {
					served <- err
					return
				}
				head, part, end := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "part", ""
				if chunked {
					head, part, end = head+"Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", "0\r\n\r\n"
				}
				_, _ = io.WriteString(c, head+"\r\n")
				for range parts {
					if _, err := io.WriteString(c, part); err != nil {
						served <- err
						return
					}
					time.Sleep(pause)
				}
				_, err = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, end)
				served <- err
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			resp, err := NewPool(Options{}).Do(ctx, Target{ID: "s", Address: l.Addr().String()}, &Request{
				Method: http.MethodPost, Target: "/", Host: "h", ID: "1", IDHeader: "X-Id", Body: []byte(strings.Repeat("b", 16<<20)), HasBody: true,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			at := time.Now()
			body, err := resp.ReadAll(1<<20, func(int64) error { return nil })
			if err != nil || string(body) != strings.Repeat("part", parts) {
				t.Errorf("%q after %s, error %v, want %d parts; the server: %v", body, time.Since(at).Round(time.Millisecond), err, parts, <-served)
			}
		})
	}
}

// Guards against a request that waits behind the rest of the one before, which its server reads late.
func TestAConnectionWithAnUnreadRequestIsNotUsedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	goOn := make(chan struct{})
	defer close(goOn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("X-Id"))
					if req.ContentLength > receiveBufferBytes {
						<-goOn
					}
					_, _ = io.Copy(io.Discard, req.Body)
				}
			}()
		}
	}()
	pool := NewPool(Options{})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for id, bodyBytes := range []int{512 << 10, 10} {
		resp, err := pool.Do(ctx, Target{ID: "s", Address: l.Addr().String()}, &Request{
			Method: http.MethodPost, Target: "/", Host: "h", ID: fmt.Sprint(id), IDHeader: "X-Id", Header: http.Header{"X-Id": {fmt.Sprint(id)}}, Body: []byte(strings.Repeat("b", bodyBytes)), HasBody: true,
		})
		if err != nil {
			t.Fatalf("a body of %d bytes: %v", bodyBytes, err)
		}
		if _, err := resp.ReadAll(100, func(int64) error { return nil }); err != nil {
			t.Errorf("a body of %d bytes: %v", bodyBytes, err)
		}
		resp.Close()
	}
}
