package backend

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against requests that a server did not get from any client: a value with a line
// break, as in the id of an event of a faulty server, would begin a header or a request.
func TestAHeaderValueCannotAddLines(t *testing.T) {
	r := &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{
		"Last-Event-Id": {"5\rX-Hold: 1"}, "X-Expect-Instance": {"a\r\n\r\nGET /smuggled HTTP/1.1"}, "X-Tenant-Id": {"w\nX-Pin-Ms: 1\x00"},
	}}
	text := string(encodeHeader(r))
	if n := strings.Count(text, "\n"); n != 6 || strings.Count(text, "\r") != n || strings.Contains(text, "\x00") {
		t.Errorf("%d lines, want 6: %q", n, text)
	}
}
