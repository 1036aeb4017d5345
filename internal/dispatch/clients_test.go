package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// sendRaw sends raw bytes and returns the status of the first response, or 0 if
// the connection ended without one.
func sendRaw(t *testing.T, address, raw string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	go func() { _, _ = io.WriteString(conn, raw) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestMalformedRequestsNeverReachAServer(t *testing.T) {
	var ran atomic.Int64
	rig := newRig(t, backend(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	rig.d.limits.BodyTimeout = 300 * time.Millisecond
	address := rig.frontend.Listener.Addr().String()
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\n"
	for _, tc := range []struct{ name, raw string }{
		{"conflicting lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"},
		{"negative length", head + "Content-Length: -1\r\n\r\n"},
		{"signed length", head + "Content-Length: +2\r\n\r\n{}"},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"coding twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"hidden coding", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
		{"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n"},
		{"chunk cut off", head + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\n{}"},
		{"large body never comes", head + "Content-Length: 99999999\r\n\r\n{"},
		{"body of no route never comes", "POST /v2 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{"},
		{"body never comes", head + "Content-Length: 10\r\n\r\n{"},
		{"header without colon", head + "nonsense\r\n\r\n"},
		{"NUL in header", head + "X-A: b\x00c\r\n\r\n"},
		{"no host", "POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: club\r\n\r\n"},
		{"two hosts", head + "Host: g\r\n\r\n"},
		{"HTTP/1.0", "POST /v1/chat/completions HTTP/1.0\r\nX-Workspace: club\r\nContent-Length: 2\r\n\r\n{}"},
		{"absolute target", "GET http://other/v1/entries/1 HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\n\r\n"},
		{"CONNECT", "CONNECT other:80 HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"backslash", "GET /v1/entries/..\\x HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\n\r\n"},
		{"encoded NUL", "GET /v1/entries/%00 HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\n\r\n"},
		{"oversized headers", head + "X-A: " + strings.Repeat("a", 2<<20) + "\r\n\r\n"},
	} {
		status := sendRaw(t, address, tc.raw)
		if status < 400 || status >= 500 && status != http.StatusNotImplemented && status != http.StatusHTTPVersionNotSupported {
			t.Errorf("%s: status %d", tc.name, status)
		}
	}
	if ran.Load() != 0 {
		t.Errorf("%d malformed requests reached the server", ran.Load())
	}
}

func TestLengthAndCodingTogetherMakeOneRequest(t *testing.T) {
	var seen []string
	address := backend(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, fmt.Sprintf("%s %s %d %q", r.Method, r.URL.Path, r.ContentLength, body))
	})
	rig := newRig(t, address)
	sendRaw(t, rig.frontend.Listener.Addr().String(), "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\n"+
		"Content-Length: 60\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\n{}\r\n0\r\n\r\nGET /v1/entries/smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
	if len(seen) != 1 || seen[0] != `POST /v1/chat/completions 2 "{}"` {
		t.Errorf("server saw %q", seen)
	}
}

func TestHeaderInjectionIsNotPassedOn(t *testing.T) {
	s := newRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		attempt, _ := s.run(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Kq-Attempt: "+attempt+"\r\nX-Kq-Outcome: failed\r\nX-Kq-Replayed: yes\r\n"+
			"Connection: X-Kq-Outcome, close\r\nLocation: http://elsewhere/\r\nContent-Length: 2\r\n\r\nok")
	})
	rig := newRig(t, s.listener.Addr().String())
	req := rig.request("GET", "/v1/entries/1", "")
	req.Header.Set("Connection", "X-Workspace")
	resp, body := do(t, req)
	if body != "ok" || resp.Header.Get(HeaderOutcome) != string(errkind.Completed) || resp.Header.Get(HeaderReplayed) != "" {
		t.Errorf("%q %v", body, resp.Header)
	}
}

func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	cancelled, started := make(chan string, 1), make(chan struct{}, 1)
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- strings.TrimPrefix(r.URL.Path, "/v1/streams/")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(HeaderStream, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "data: x\n\n")
		w.(http.Flusher).Flush()
		started <- struct{}{}
		<-r.Context().Done()
	})
	rig := newRig(t, address)
	resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
	if err != nil {
		t.Fatal(err)
	}
	<-started
	_ = resp.Body.Close()
	if id := <-cancelled; id != resp.Header.Get(HeaderRequestID) {
		t.Errorf("cancelled %q", id)
	}
}

func TestSlowReaderLosesItsPlace(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	chunk := strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n\n", 64)
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- struct{}{}
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(HeaderStream, "s")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, chunk); err != nil {
				return
			}
		}
	})
	rig := newRig(t, address)
	rig.d.limits.ClientWriteTimeout = 100 * time.Millisecond
	resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-cancelled // the client keeps the connection open and reads nothing
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the stream of a slow reader ended cleanly")
	}
}

func TestDeadlineIsForwardedAndEndsTheRun(t *testing.T) {
	deadlines := make(chan string, 1)
	address := backend(t, func(_ http.ResponseWriter, r *http.Request) {
		deadlines <- r.Header.Get(HeaderDeadline)
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	})
	rig := newRig(t, address)
	rig.d.table(rig.d.opts.Config()).find("POST", "/v1/chat/completions").deadline = time.Second
	resp, _ := do(t, rig.request("POST", "/v1/chat/completions", "{}"))
	wantKind(t, "deadline", resp, errkind.BackendTimeout)
	var ms int
	if _, err := fmt.Sscan(<-deadlines, &ms); err != nil || ms < 1 || ms > 1000 {
		t.Errorf("server received a deadline of %d ms, %v", ms, err)
	}
}
