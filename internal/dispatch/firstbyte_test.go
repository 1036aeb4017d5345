package dispatch

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// result waits until the first permit is given back.
func (r *rig) result(t *testing.T) RunResult {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p := r.permits.permits[0]
		p.mu.Lock()
		results := p.results
		p.mu.Unlock()
		if len(results) > 0 {
			return results[0]
		}
	}
	t.Fatal("the permit was not given back")
	return RunResult{}
}

// TestFirstByteIsThatOfStreams: the grantor takes a jump of the time to the
// first byte for a server that turned cold, so the duration of a whole answer
// must not be told as one.
func TestFirstByteIsThatOfStreams(t *testing.T) {
	for contentType, want := range map[string]bool{"text/event-stream": true, "application/json": false} {
		address := backend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "data: x\n\n")
		})
		rig := newRig(t, address)
		do(t, rig.request("POST", "/v1/chat/completions", "{}"))
		if got := rig.result(t).FirstByte; (got > 0) != want {
			t.Errorf("%s: first byte after %v", contentType, got)
		}
	}
}
