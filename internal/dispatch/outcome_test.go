package dispatch

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// rawServer is a backend server on plain TCP that breaks its connection at a
// chosen point and counts the requests that it ran.
type rawServer struct {
	listener net.Listener
	ran      atomic.Int64
	serve    func(s *rawServer, conn net.Conn, r *bufio.Reader)
}

func newRawServer(t *testing.T, serve func(s *rawServer, conn net.Conn, r *bufio.Reader)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, serve: serve}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				if p, _ := r.Peek(len(attemptQueryPrefix)); string(p) == attemptQueryPrefix {
					_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
					return
				}
				s.serve(s, conn, r)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return s
}

// attemptQueryPrefix is the start of a query for an attempt, which this server
// does not support.
const attemptQueryPrefix = "GET /v1/attempts"

// run reads one complete request, runs it, and returns its attempt id.
func (s *rawServer) run(r *bufio.Reader) (attempt string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return "", false
	}
	s.ran.Add(1)
	return req.Header.Get(HeaderAttempt), true
}

// clientResult is what the client received.
type clientResult struct {
	broken  bool // no complete response
	outcome errkind.Outcome
	body    string
}

func sendRequest(t *testing.T, req *http.Request) clientResult {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return clientResult{broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return clientResult{broken: true}
	}
	return clientResult{outcome: errkind.Outcome(resp.Header.Get(HeaderOutcome)), body: string(body)}
}

// checkOutcome compares what the client received with what ran.
func checkOutcome(t *testing.T, at string, got clientResult, ran int64, response string) {
	t.Helper()
	if ran > 1 {
		t.Errorf("%s: ran %d times", at, ran)
	}
	switch {
	case got.broken:
	case got.outcome == errkind.NotRun && ran > 0:
		t.Errorf("%s: outcome not-run, but the request ran", at)
	case got.outcome == errkind.Completed && (ran != 1 || got.body != response):
		t.Errorf("%s: outcome completed, ran %d times, response %q", at, ran, got.body)
	case got.outcome == errkind.Failed:
		t.Errorf("%s: outcome failed, which no server reported", at)
	case got.outcome == "":
		t.Errorf("%s: no outcome: %q", at, got.body)
	}
}

// rawResponse returns a complete response with the given framing.
func rawResponse(framing, attempt, body string) string {
	head := "HTTP/1.1 200 OK\r\nX-Kq-Attempt: " + attempt + "\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunked":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default: // until the connection closes
		return head + "Connection: close\r\n\r\n" + body
	}
}

func TestOutcomeIsTrueWhenTheAnswerBreaksAtAnyByte(t *testing.T) {
	const body = "the answer"
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, once := range []bool{true, false} {
			size := len(rawResponse(framing, strings.Repeat("x", 43), body))
			for cut := 0; cut <= size; cut++ {
				s := newRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
					if attempt, ok := s.run(r); ok {
						response := rawResponse(framing, attempt, body)
						_, _ = io.WriteString(conn, response[:min(cut, len(response))])
					}
				})
				rig := newRig(t, s.listener.Addr().String())
				req := rig.request("GET", "/v1/entries/1", "")
				if once {
					req = rig.confirmRequest("k", "{}")
				}
				got := sendRequest(t, req)
				at := fmt.Sprintf("%s, cut at %d of %d, once %v", framing, cut, size, once)
				checkOutcome(t, at, got, s.ran.Load(), body)
				whole := cut >= size && framing != "close"
				if (got.outcome == errkind.Completed) != whole {
					t.Errorf("%s: outcome %q", at, got.outcome)
				}
				rig.frontend.CloseClientConnections()
			}
		}
	}
}

func TestOutcomeIsTrueWhenTheRequestBreaksAtAnyByte(t *testing.T) {
	body := strings.Repeat("b", 100)
	for _, reset := range []bool{true, false} {
		for cut := 0; cut < 700; cut += 7 {
			s := newRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
				var got []byte
				for len(got) < cut && !bytes.HasSuffix(got, []byte(body)) {
					b, err := r.ReadByte()
					if err != nil {
						return
					}
					got = append(got, b)
				}
				if req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(got))); err == nil {
					if b, err := io.ReadAll(req.Body); err == nil && int64(len(b)) == req.ContentLength {
						s.ran.Add(1) // a complete request has arrived
					}
				}
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			rig := newRig(t, s.listener.Addr().String())
			got := sendRequest(t, rig.confirmRequest("k", body))
			at := fmt.Sprintf("reading %d bytes, reset %v", cut, reset)
			checkOutcome(t, at, got, s.ran.Load(), "")
			if got.outcome != errkind.Unknown && got.outcome != errkind.NotRun {
				t.Errorf("%s: outcome %q", at, got.outcome)
			}
		}
	}
}

func TestNothingIsSentTwiceOnAStaleConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		// The server responds to the first request on each connection. It runs a second
		// one and closes the connection without a response, as on an idle timeout.
		s := newRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
			for n := 0; n < 2; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(req.Body)
				s.ran.Add(1)
				if n == 0 {
					_, _ = io.WriteString(conn, rawResponse("length", req.Header.Get(HeaderAttempt), "x"))
				}
			}
		})
		rig := newRig(t, s.listener.Addr().String())
		rig.addRetryBudget()
		call := func(key string) clientResult {
			if method == "GET" {
				return sendRequest(t, rig.request("GET", "/v1/entries/1", ""))
			}
			return sendRequest(t, rig.confirmRequest(key, ""))
		}
		if got := call("k1"); got.outcome != errkind.Completed {
			t.Fatalf("%s: first: %+v", method, got)
		}
		got := call("k2")
		if method == "POST" && (s.ran.Load() != 2 || got.outcome != errkind.Unknown) {
			t.Errorf("POST: ran %d, client received %+v", s.ran.Load(), got)
		}
		// A repeatable request may be retried, but only by the dispatcher, which counts
		// the attempt, and not by the transport.
		if attempts := rig.d.metrics.attempts.Count(); attempts != s.ran.Load() {
			t.Errorf("%s: %d attempts, %d runs", method, attempts, s.ran.Load())
		}
	}
}

func TestUnreachableServerIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	rig := newRig(t, l.Addr().String())
	if got := sendRequest(t, rig.confirmRequest("k", "{}")); got.outcome != errkind.NotRun {
		t.Errorf("client received %+v", got)
	}
	if rig.claims.records["club/k"] != nil {
		t.Error("the claim was not released")
	}
	if r := rig.permits.permits[0].results; len(r) != 1 || r[0].Outcome != errkind.NotRun {
		t.Errorf("permit's results: %v", r)
	}
}

func TestReleasedBodyStillEndsCleanly(t *testing.T) {
	b := newRequestBody([]byte("abc"))
	complete, _ := b.reader()
	partial, _ := b.reader()
	_, _ = io.ReadFull(complete, make([]byte, 3))
	_, _ = partial.Read(make([]byte, 1))
	b.release()
	if _, err := complete.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the complete body: %v", err)
	}
	if _, err := partial.Read(make([]byte, 1)); err != io.ErrUnexpectedEOF {
		t.Errorf("within the body: %v", err)
	}
}

func TestLateResponseIsNotGivenToTheNextRequest(t *testing.T) {
	// The server sends the response to the first request twice. The second copy
	// arrives when the next request has already been sent on the connection.
	s := newRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		first, ok := s.run(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, rawResponse("length", first, "first"))
		if _, ok := s.run(r); ok {
			_, _ = io.WriteString(conn, rawResponse("length", first, "first"))
		}
	})
	rig := newRig(t, s.listener.Addr().String())
	if got := sendRequest(t, rig.confirmRequest("k1", "{}")); got.body != "first" {
		t.Fatalf("first: %+v", got)
	}
	if got := sendRequest(t, rig.confirmRequest("k2", "{}")); got.outcome != errkind.Unknown || strings.Contains(got.body, "first") {
		t.Errorf("the next request received %+v", got)
	}
}
