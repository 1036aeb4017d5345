package dispatch

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// waitForResult waits until the first permit is released and returns its result.
func (r *rig) waitForResult(t *testing.T) RunResult {
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
	t.Fatal("the permit was not released within 30 s")
	return RunResult{}
}

// TestFirstByteIsThatOfStreams guards against reporting the duration of a
// complete response as a time to the first byte: the grantor takes a jump of that
// time to mean that the server has become cold.
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
		if got := rig.waitForResult(t).FirstByte; (got > 0) != want {
			t.Errorf("%s: first byte after %v", contentType, got)
		}
	}
}
