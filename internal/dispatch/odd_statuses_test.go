package dispatch

import (
	"io"
	"net/http"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against a status that HTTP does not have: the handler panicked at those below 100, and passed on those of 600
// and more as the answer.
func TestAResponseWhoseStatusHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for _, contentType := range []string{"text/plain", "text/event-stream"} {
			e := startCutEngine(t)
			e.response = func(r *http.Request) string {
				return "HTTP/1.1 " + status + " X\r\n" + HeaderAttempt + ": " + r.Header.Get(HeaderAttempt) + "\r\nContent-Type: " + contentType + "\r\nContent-Length: 2\r\n\r\nok"
			}
			e.rest, e.limit, e.restLimit = e.response, 1<<20, 1<<20
			rig := newRig(t, e.address)
			resp, err := http.DefaultTransport.RoundTrip(rig.request("POST", "/v1/chat/completions", "{}"))
			if err != nil {
				t.Errorf("%s, %s: %v, want an error response", status, contentType, err)
				continue
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			outcome := resp.Header.Get(HeaderOutcome) + resp.Trailer.Get(HeaderOutcome)
			if err != nil || resp.StatusCode < 500 || resp.StatusCode > 599 || string(body) == "ok" || outcome == string(errkind.Completed) {
				t.Errorf("%s, %s: status %d, outcome %q, %q, error %v", status, contentType, resp.StatusCode, outcome, body, err)
			}
		}
	}
}
