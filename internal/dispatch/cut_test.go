package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// cutEngine is a server that answers calls with the first limit bytes of the response and then ends its connection in
// order, as the kernel does for a killed process. limit and response may change between calls. Requests for the rest of
// a stream get the first restLimit bytes of rest.
type cutEngine struct {
	address string

	mu               sync.Mutex
	response, rest   func(r *http.Request) string
	limit, restLimit int
}

func startCutEngine(t *testing.T) *cutEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &cutEngine{address: l.Addr().String()}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { e.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return e
}

// serve answers one request.
func (e *cutEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// The kernel resets a connection that is closed with bytes unread.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	text, limit := "", 0
	if r.Method == http.MethodGet {
		text, limit = e.rest(r), e.restLimit
	} else {
		text, limit = e.response(r), e.limit
	}
	e.mu.Unlock()
	_, _ = io.WriteString(c, text[:min(limit, len(text))])
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against a response of an engine that was killed and passes for whole, where its connection ends in order after
// any byte: with a length, in chunks, with trailers, streams of events and the rest of one.
func TestAnEngineThatEndsItsConnectionCompletesNothing(t *testing.T) {
	const first, second = "data: one\n\n", "data: two\n\n"
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	events := chunk(first) + chunk(second)
	resumable := func(r *http.Request) string {
		id := strings.TrimPrefix(r.URL.Path, "/v1/streams/")
		if r.Method != http.MethodGet {
			id = r.Header.Get(HeaderRequestID)
		}
		return stream + HeaderStream + ": " + id + "\r\n" + HeaderAttempt + ": " + r.Header.Get(HeaderAttempt) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	fixed := func(text string) func(*http.Request) string {
		return func(r *http.Request) string {
			return strings.Replace(text, "\r\n", "\r\n"+HeaderAttempt+": "+r.Header.Get(HeaderAttempt)+"\r\n", 1)
		}
	}
	gone := fixed("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
	for name, tc := range map[string]struct {
		response, rest func(*http.Request) string
		body           string
		// cutsRest has the rest of the stream cut, and the stream after its first event.
		cutsRest bool
	}{
		"length":           {response: fixed("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + first + second), rest: gone, body: first + second},
		"chunks":           {response: fixed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + events + "0\r\n\r\n"), rest: gone, body: first + second},
		"trailers":         {response: fixed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" + events + "0\r\nX-T: 1\r\n\r\n"), rest: gone, body: first + second},
		"long":             {response: fixed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", maxBufferedResponse)) + "0\r\n\r\n"), rest: gone, body: strings.Repeat("x", maxBufferedResponse)},
		"no length":        {response: fixed("HTTP/1.1 200 OK\r\n\r\n" + first), rest: gone, body: first},
		"old version":      {response: fixed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + first), rest: gone, body: first},
		"stream":           {response: fixed(stream + "Transfer-Encoding: chunked\r\n\r\n" + events + "0\r\n\r\n"), rest: gone, body: first + second},
		"stream, length":   {response: fixed(stream + "Content-Length: 22\r\n\r\n" + first + second), rest: gone, body: first + second},
		"stream, trailers": {response: fixed(stream + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" + events + "0\r\nX-T: 1\r\n\r\n"), rest: gone, body: first + second},
		"stream, rest is cut": {
			response: func(r *http.Request) string { return resumable(r) + chunk(first) },
			rest: func(r *http.Request) string {
				offset := 0
				_, _ = fmt.Sscanf(r.URL.RawQuery, "offset=%d", &offset)
				rest := (first + second)[offset:]
				if rest != "" {
					rest = chunk(rest)
				}
				return resumable(r) + rest + "0\r\n\r\n"
			},
			body: first + second, cutsRest: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startCutEngine(t)
			e.response, e.rest, e.restLimit = tc.response, tc.rest, 1<<20
			rig := newRig(t, e.address)
			rig.d.limits.MaxResumeAttempts = 1
			probe := rig.request("POST", "/v1/chat/completions", "{}")
			probe.Header.Set(HeaderRequestID, strings.Repeat("x", 30)) // The router's may be longer.
			size, cuts := len(tc.response(probe)), 120
			if tc.cutsRest {
				size, cuts = len(tc.rest(probe)), 30
			}
			whole := 0
			for limit := max(0, size-cuts); limit <= size+cuts; limit++ {
				if limit == size+cuts {
					limit = 1 << 20
				}
				e.mu.Lock()
				if e.limit = limit; tc.cutsRest {
					e.limit, e.restLimit = 1<<20, limit
				}
				e.mu.Unlock()
				resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
				if err != nil {
					continue // The router cut its response.
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				outcome := resp.Header.Get(HeaderOutcome) + resp.Trailer.Get(HeaderOutcome)
				switch {
				case err != nil || resp.StatusCode != http.StatusOK:
					if outcome == string(errkind.Completed) && err == nil {
						t.Errorf("cut after %d of about %d bytes: status %d, outcome %q", limit, size, resp.StatusCode, outcome)
					}
				case string(body) != tc.body:
					t.Errorf("cut after %d of about %d bytes: %d of %d bytes as if they were whole", limit, size, len(body), len(tc.body))
				default:
					whole++
				}
			}
			if wantWhole := name != "no length" && name != "old version"; whole > 0 != wantWhole {
				t.Errorf("%d responses were whole", whole)
			}
		})
	}
}
