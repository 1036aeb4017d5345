package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against requests that a router takes while it stops and cuts at the end of its time, among
// them some that may not be repeated: they are refused as not run, and no server sees them.
func TestARouterThatStopsTakesNoRequestThatItWouldCut(t *testing.T) {
	ran := 0
	rig := newRig(t, backend(t, func(w http.ResponseWriter, _ *http.Request) {
		ran++
		_, _ = w.Write([]byte("ok"))
	}))
	for range 30 {
		do(t, rig.request("GET", "/v1/entries/1", ""))
	}
	before := ran
	rig.d.Stop(time.Now().Add(10 * time.Second)) // The deadline of both routes is 20 s.
	resp, _ := do(t, rig.confirmRequest("key", "{}"))
	wantKind(t, "a request of unknown duration", resp, errkind.ShuttingDown)
	if len(rig.claims.records) != 0 || ran != before {
		t.Errorf("it left %d claims and ran %d times", len(rig.claims.records), ran-before)
	}
	if resp, body := do(t, rig.request("GET", "/v1/entries/1", "")); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("a short request: %d %q", resp.StatusCode, body)
	}
	rig.d.Stop(time.Now())
	resp, _ = do(t, rig.request("GET", "/v1/entries/1", ""))
	wantKind(t, "a short request at the end", resp, errkind.ShuttingDown)
}
