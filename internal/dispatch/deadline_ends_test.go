package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against streams and answers that their server stops at its deadline, in sound framing, and that pass for whole,
// also after the server has continued a broken stream.
func TestAResponseThatItsServerStopsAtTheDeadlineIsNotWhole(t *testing.T) {
	const timeout, early, requests = 500 * time.Millisecond, 100 * time.Millisecond, 12
	var stops sync.Map // by stream
	stop := func(w http.ResponseWriter, at time.Time, text string) {
		_, _ = io.WriteString(w, text)
		w.(http.Flusher).Flush()
		time.Sleep(time.Until(at))
	}
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if id, ok := strings.CutPrefix(r.URL.Path, "/v1/streams/"); ok {
			at, known := stops.Load(id)
			if r.Method != http.MethodGet || !known {
				w.WriteHeader(http.StatusGone)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(HeaderStream, id)
			stop(w, at.(time.Time), "data: more\n\n")
			return
		}
		ms, _ := strconv.Atoi(r.Header.Get(HeaderDeadline))
		at := time.Now().Add(time.Duration(ms) * time.Millisecond)
		if r.URL.Query().Get("ends") == "early" {
			at = at.Add(-early)
		}
		form, id := r.URL.Query().Get("form"), r.Header.Get(HeaderRequestID)
		if strings.Contains(form, "stream") {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		switch form {
		case "resumed stream":
			stops.Store(id, at)
			w.Header().Set(HeaderStream, id)
			stop(w, time.Time{}, "data: part\n\n")
			panic(http.ErrAbortHandler)
		case "stream":
			stop(w, at, "data: part\n\n")
		case "long answer":
			stop(w, at, strings.Repeat("x", 2*maxBufferedResponse))
		case "buffered stream", "buffered answer": // The length is known once the response is over.
			time.Sleep(time.Until(at))
			_, _ = io.WriteString(w, "data: part\n\n")
		default: // Also a stream without an event.
			stop(w, at, "")
		}
	})
	rig := newRig(t, address)
	for _, path := range []string{"/v1/chat/completions", "/v1/entries/confirm"} {
		rig.d.table(rig.d.opts.Config()).find("POST", path).deadline = timeout
		for _, form := range []string{"stream", "empty stream", "resumed stream", "answer", "long answer", "buffered stream", "buffered answer"} {
			for _, ends := range []string{"early", "at the deadline"} {
				t.Run(fmt.Sprintf("%s, %s, ends %s", path, form, ends), func(t *testing.T) {
					t.Parallel()
					var wg sync.WaitGroup
					var whole atomic.Int64
					for i := range requests {
						wg.Go(func() {
							req := rig.request(http.MethodPost, path, "{}")
							req.URL.RawQuery = url.Values{"form": {form}, "ends": {ends}}.Encode()
							req.Header.Set(HeaderKey, strings.ReplaceAll(fmt.Sprintf("%s-%s-%d", form, ends, i), " ", "-"))
							resp, err := http.DefaultTransport.RoundTrip(req)
							if err != nil {
								return
							}
							defer resp.Body.Close()
							if _, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
								whole.Add(1)
							} else if err == nil && resp.StatusCode != http.StatusGatewayTimeout {
								t.Errorf("status %d, want 504", resp.StatusCode)
							}
						})
					}
					wg.Wait()
					// Without processor time, a response may end at its deadline after all.
					if n := whole.Load(); ends == "early" && n == 0 || ends != "early" && n > 0 {
						t.Errorf("%d of %d look whole", n, requests)
					}
				})
			}
		}
	}
}

// Guards against another run of a request that has no time left: its server has ended the response at its deadline.
func TestAnEndAtTheDeadlineIsNotAskedForAgain(t *testing.T) {
	atDeadline := deadline.NewServer(time.Now(), time.Second).CheckEnd(time.Now().Add(time.Second))
	for _, end := range []error{atDeadline, io.ErrUnexpectedEOF} {
		r := &attempt{x: &exchange{d: newRig(t, "127.0.0.1:1").d, ctx: t.Context()}}
		body := func() *http.Response {
			return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: io.NopCloser(iotest.ErrReader(end))}
		}
		for form, res := range map[string]attemptResult{"stream": r.forwardStream(body(), 0), "answer": r.forwardResponse(body())} {
			isEnd := errors.Is(end, deadline.ErrEnd)
			if res.retryable == isEnd || !res.mayHaveRun || errkind.Is(res.err, errkind.BackendTimeout) != isEnd {
				t.Errorf("%s, %v: %v, retryable %t, may have run %t", form, end, res.err, res.retryable, res.mayHaveRun)
			}
		}
	}
}
