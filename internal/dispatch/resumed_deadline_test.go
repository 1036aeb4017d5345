package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stream that its server stops at its deadline, in sound framing, and that passes for whole since its
// client has resumed it through another router, and against whole ones that do not pass, also while routers of the
// release before begin streams. The server does not act on a cancel.
func TestAStreamThatIsResumedThroughAnotherRouterIsNotWholeIfItsServerStopsIt(t *testing.T) {
	const timeout, early, requests, part = 3 * time.Second, 1500 * time.Millisecond, 10, "data: part\n\n"
	var stops, states sync.Map // by stream, and by attempt
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if id, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/"); ok {
			state, known := states.Load(id)
			if !known {
				state = AttemptUnknown
			}
			fmt.Fprintf(w, `{"state":%q}`, state)
			return
		}
		id, resumed := strings.CutPrefix(r.URL.Path, "/v1/streams/")
		if r.Method == http.MethodDelete {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		if !resumed {
			id = r.Header.Get(HeaderRequestID)
			at := time.Now().Add(timeout)
			if strings.Contains(r.URL.RawQuery, "early") {
				at = at.Add(-early)
			}
			stops.Store(id, at)
			if state := r.URL.Query().Get("state"); state != "" {
				states.Store(r.Header.Get(HeaderAttempt), AttemptState(state))
			}
		}
		at, _ := stops.Load(id)
		w.Header().Set(HeaderStream, id)
		_, _ = io.WriteString(w, part)
		w.(http.Flusher).Flush()
		time.Sleep(time.Until(at.(time.Time)))
	})
	first, second := newRig(t, address), newRig(t, address)
	first.d.table(first.d.opts.Config()).find("POST", "/v1/chat/completions").deadline = timeout
	for _, tc := range []struct {
		query string
		// before is set if a router of the release before begins the stream.
		before, whole bool
	}{
		{query: "early", whole: true},
		{query: ""},
		{query: "state=failed"},
		{query: "state=running"},
		{query: "state=completed", whole: true},
		{query: "early", before: true},
		{query: "early&state=completed", before: true, whole: true},
		{query: "state=failed", before: true},
	} {
		t.Run(fmt.Sprintf("%q, release before %t", tc.query, tc.before), func(t *testing.T) {
			t.Parallel()
			var wg sync.WaitGroup
			var whole atomic.Int64
			for range requests {
				wg.Go(func() {
					req := first.request(http.MethodPost, "/v1/chat/completions", "{}")
					id := requestIDWithServer(newBaseID("club"), "runners", "a", serverName(address))
					if tc.before {
						req.URL.Host = address
						req.Header.Set(HeaderRequestID, id)
						req.Header.Set(HeaderAttempt, baseIDOf(id)+"-2")
					}
					req.URL.RawQuery = tc.query
					resp, err := http.DefaultTransport.RoundTrip(req)
					if err != nil {
						t.Error(err)
						return
					}
					if _, err := io.ReadFull(resp.Body, make([]byte, len(part))); err != nil {
						t.Error(err)
					}
					if !tc.before {
						id = resp.Header.Get(HeaderRequestID)
					}
					_ = resp.Body.Close()
					resp, err = http.DefaultTransport.RoundTrip(second.request(http.MethodGet, ResumePath+id+"?offset=0", ""))
					if err != nil {
						t.Error(err)
						return
					}
					defer resp.Body.Close()
					if got, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(got) != part {
						t.Errorf("status %d, %q, %v, want the event", resp.StatusCode, got, err)
					} else if err == nil {
						whole.Add(1)
					}
				})
			}
			wg.Wait()
			// Without processor time, a response may end at its deadline after all.
			if n := whole.Load(); tc.whole && n == 0 || !tc.whole && n > 0 {
				t.Errorf("%d of %d look whole, want whole %t", n, requests, tc.whole)
			}
		})
	}
}

// Guards against a deadline that the second router reads wrongly, and against ids that routers of the release before
// refuse: they want 32 characters without a separator before the checksum.
func TestARequestIDNamesTheDeadline(t *testing.T) {
	for ms := range 1000 {
		at := time.UnixMilli(1_800_000_000_000 + int64(ms)*7919)
		id := requestIDWithServer(newBaseIDWithDeadline("club", at), "runners", "a", "s")
		ref, err := parseStreamRef(id, "club")
		if err != nil || !ref.stopsAt.Equal(at) {
			t.Fatalf("%s names %s, %v, want %s", id, ref.stopsAt, err, at)
		}
		random, tag, _ := strings.Cut(baseIDOf(id), "-")
		if len(random) != 2*idRandomBytes || tag != workspaceChecksum(random, "club") || id == requestIDWithServer(newBaseIDWithDeadline("club", at), "runners", "a", "s") {
			t.Fatalf("routers of the release before refuse %s, or it is not random", id)
		}
		if ref, err = parseStreamRef(requestIDWithServer(newBaseID("club"), "runners", "a", "s"), "club"); err != nil || !ref.stopsAt.IsZero() {
			t.Fatalf("an id of the release before names %s, %v", ref.stopsAt, err)
		}
	}
}
