package dispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// blockingBodyBytes is more than the socket buffers of both ends hold.
const blockingBodyBytes = 16 << 20

// newRigForLongBodies returns a rig whose route of streams takes bodies of blockingBodyBytes.
func newRigForLongBodies(t *testing.T, servers ...string) *rig {
	t.Helper()
	r := newRig(t, servers...)
	set := testSet()
	set.Services["runners"].Routes[0].MaxBody = blockingBodyBytes
	r.d.opts.Config = func() *config.Set { return set }
	return r
}

// Guards against a stream that its router breaks off because the server begins it before it has read the
// whole body of the request.
func TestAStreamMayBeginBeforeItsRequestIsWritten(t *testing.T) {
	body, received := strings.Repeat("b", blockingBodyBytes), make(chan error, 1)
	s := newRawServer(t, func(_ *rawServer, conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			received <- err
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n9\r\ndata: 1\n\n\r\n",
			httpheader.EventStream, HeaderAttempt, req.Header.Get(HeaderAttempt))
		time.Sleep(100 * time.Millisecond) // The router relays the event meanwhile.
		got, err := io.ReadAll(req.Body)
		if err == nil && string(got) != body {
			err = fmt.Errorf("%d bytes of the body, want %d", len(got), len(body))
		}
		received <- err
		_, _ = io.WriteString(conn, "9\r\ndata: 2\n\n\r\n0\r\n\r\n")
	})
	rig := newRigForLongBodies(t, s.listener.Addr().String())
	resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != "data: 1\n\ndata: 2\n\n" || resp.Trailer.Get(HeaderOutcome) != string(errkind.Completed) {
		t.Errorf("stream %q, error %v, outcome %q, want both events", got, err, resp.Trailer.Get(HeaderOutcome))
	}
	if err := <-received; err != nil {
		t.Errorf("the server read the request: %v", err)
	}
}

// Guards against memory of request bodies that is held, or no longer counted, while a stream goes on: it is
// released once the body is written.
func TestAWrittenBodyIsReleasedWhileItsStreamGoesOn(t *testing.T) {
	goOn := make(chan struct{})
	rig := newRig(t, backend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", httpheader.EventStream)
		_, _ = io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		<-goOn
	}))
	resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", strings.Repeat("b", 100<<10)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	defer close(goOn)
	if _, err := io.ReadFull(resp.Body, make([]byte, len("data: 1\n\n"))); err != nil {
		t.Fatal(err)
	}
	if n := rig.d.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of bodies still counted", n)
	}
}

// Guards against a stream, or the rest of one, whose end is marked by that of its connection only: the kernel
// reports a reset to one call only, and to the reader the end then looks like one in order.
func TestAStreamWithoutALengthIsRefused(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		s := newRawServer(t, func(_ *rawServer, conn net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n", httpheader.EventStream, HeaderAttempt, req.Header.Get(HeaderAttempt))
			if rest, ok := strings.CutPrefix(req.URL.Path, "/v1/streams/"); ok {
				fmt.Fprintf(conn, "%s%s: %s\r\n\r\ndata: 2\n\n", head, HeaderStream, rest)
				return
			}
			head += fmt.Sprintf("%s: %s\r\n", HeaderStream, req.Header.Get(HeaderRequestID))
			if resumed {
				head += "Transfer-Encoding: chunked\r\n\r\n9\r\n"
			} else {
				head += "\r\n"
			}
			_, _ = io.WriteString(conn, head+"data: 1\n\n")
		})
		rig := newRig(t, s.listener.Addr().String())
		resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && err == nil || strings.Contains(string(got), "data: 2") {
			t.Errorf("resumed %t: status %d and %q, error %v, want a visible failure", resumed, resp.StatusCode, got, err)
		}
		rig.frontend.CloseClientConnections()
	}
}
