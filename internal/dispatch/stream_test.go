package dispatch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

func TestStreamIsContinuedByteForByte(t *testing.T) {
	var text strings.Builder
	for i := range 500 {
		fmt.Fprintf(&text, "data: token %d\n\n", i)
	}
	whole := text.String()
	var offsets []string
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodGet {
			var at int
			offsets = append(offsets, r.URL.RawQuery)
			_, _ = fmt.Sscanf(r.URL.RawQuery, "offset=%d", &at)
			w.Header().Set(HeaderStream, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
			_, _ = io.WriteString(w, whole[at:min(len(whole), at+3000)])
			w.(http.Flusher).Flush()
			if at+3000 < len(whole) {
				panic(http.ErrAbortHandler)
			}
			return
		}
		w.Header().Set(HeaderStream, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, whole[:1000])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	rig := newRig(t, address)
	resp, body := do(t, rig.request("POST", "/v1/chat/completions", `{"stream":true}`))
	if body != whole {
		t.Fatalf("got %d bytes, want %d; resumed at %v", len(body), len(whole), offsets)
	}
	if len(offsets) < 2 || resp.Trailer.Get(HeaderOutcome) != string(errkind.Completed) {
		t.Errorf("resumed at %v, outcome %q", offsets, resp.Trailer.Get(HeaderOutcome))
	}
	id := resp.Header.Get(HeaderRequestID)
	if _, body := do(t, newRig(t, address).request("GET", "/v1/resume/"+id+"?offset=5000", "")); body != whole[5000:] {
		t.Errorf("another router resumed with %d bytes, want %d", len(body), len(whole)-5000)
	}
	other := rig.request("GET", "/v1/resume/"+id+"?offset=0", "")
	other.Header.Set(HeaderWorkspace, "locked")
	resp, _ = do(t, other)
	wantKind(t, "another workspace", resp, errkind.NotFound)
}

func TestBrokenStreamIsVisible(t *testing.T) {
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusGone)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(HeaderStream, r.Header.Get(HeaderRequestID))
		_, _ = io.WriteString(w, "data: half\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	rig := newRig(t, address)
	resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("a broken stream ended cleanly after %q", body)
	}
}

func TestStreamCutBeforeItsFirstByteIsTriedAgain(t *testing.T) {
	const body = `{"chat":"c","stream":true}`
	serve := func(cut bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			got, _ := io.ReadAll(r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			if cut {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(got)
		}
	}
	rig := newRig(t, backend(t, serve(true)), backend(t, serve(false)))
	rig.addRetryBudget()
	if _, got := do(t, rig.request("POST", "/v1/chat/completions", body)); got != body {
		t.Errorf("second attempt was sent %q", got)
	}
	if n := rig.d.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of bodies still counted", n)
	}
}

// Guards against a broken stream that ends with the server's answer to the resumption: clients would
// find the text of an error, or of a response that is no rest of this stream, after its beginning.
func TestABrokenStreamDoesNotEndWithAnAnswerThatIsNoStream(t *testing.T) {
	for name, answer := range map[string]struct {
		status           int
		stream, otherRun bool
	}{
		"204": {status: 204}, "204 stream": {status: 204, stream: true}, "302": {status: 302}, "400": {status: 400}, "404": {status: 404},
		"409": {status: 409}, "500": {status: 500}, "200 text": {status: 200}, "404 stream": {status: 404, stream: true},
		"another stream": {status: 200, stream: true, otherRun: true},
	} {
		address := backend(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderStream, r.Header.Get(HeaderRequestID))
			if r.Method != http.MethodGet {
				w.Header().Set("Content-Type", httpheader.EventStream)
				_, _ = io.WriteString(w, "data: half\n\n")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(HeaderStream, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
			if answer.otherRun {
				w.Header().Set(HeaderStream, "other")
			}
			if answer.stream {
				w.Header().Set("Content-Type", httpheader.EventStream)
			}
			w.WriteHeader(answer.status)
			if answer.status != http.StatusNoContent {
				_, _ = io.WriteString(w, "oops")
			}
		})
		rig := newRig(t, address)
		resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil || string(body) != "data: half\n\n" {
			t.Errorf("%s: got %q, error %v, want the first event and an error", name, body, err)
		}
		id := resp.Header.Get(HeaderRequestID)
		resp, got := do(t, rig.request("GET", "/v1/resume/"+id+"?offset=12", ""))
		if wantKind(t, name, resp, errkind.StreamGone); strings.Contains(got, "oops") {
			t.Errorf("%s: a client that resumed got %q", name, got)
		}
	}
}

// Guards against a stream that skips or repeats bytes, or ends as whole early, where its connection to
// the server ends after any byte of each response, closed or reset.
func TestAStreamIsWholeOrVisiblyBrokenWhereverItIsCut(t *testing.T) {
	var text strings.Builder
	for i := range 8 {
		fmt.Fprintf(&text, "data: token %d\n\n", i)
	}
	whole := text.String()
	// inChunks returns the body of a response, in chunks of 7 bytes.
	inChunks := func(rest string) string {
		var b strings.Builder
		for chunk := range slices.Chunk([]byte(rest), 7) {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		return b.String() + "0\r\n\r\n"
	}
	var cut atomic.Int64
	var reset atomic.Bool
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		stream, at := r.Header.Get(HeaderRequestID), 0
		if r.Method == http.MethodGet {
			stream = strings.TrimPrefix(r.URL.Path, "/v1/streams/")
			_, _ = fmt.Sscanf(r.URL.RawQuery, "offset=%d", &at)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		body := inChunks(whole[at:])
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: %s\r\n\r\n%s",
			HeaderStream, stream, HeaderAttempt, r.Header.Get(HeaderAttempt), body[:min(len(body), int(cut.Load()))])
		if reset.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	})
	rig := newRig(t, address)
	rig.addRetryBudget()
	broken, continued := 0, 0
	for n := range len(inChunks(whole)) + 1 {
		for _, r := range []bool{false, true} {
			cut.Store(int64(n))
			reset.Store(r)
			resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
			if err != nil {
				t.Fatalf("cut after %d bytes: %v", n, err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			switch {
			case resp.StatusCode >= 500:
				broken++
			case !strings.HasPrefix(whole, string(body)):
				t.Fatalf("cut after %d bytes, reset %v: %q", n, r, body)
			case err == nil && (string(body) != whole || resp.Trailer.Get(HeaderOutcome) != string(errkind.Completed)):
				t.Fatalf("cut after %d bytes, reset %v: whole after %d of %d bytes, outcome %q", n, r, len(body), len(whole), resp.Trailer.Get(HeaderOutcome))
			case err == nil:
				continued++
			default:
				broken++
			}
		}
	}
	if broken == 0 || continued < len(whole) {
		t.Errorf("%d streams were broken, %d whole; want some broken and most whole", broken, continued)
	}
}
