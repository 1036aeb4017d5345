package backend

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against connections that are never used again, because the time that a server named
// for them overflowed.
func TestAnOddKeepAliveTimeIsIgnored(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10":                   7 * time.Second,
		"timeout=0":                    0,
		"timeout=-1":                   defaultIdleTimeout,
		"timeout=9223372036854775807":  defaultIdleTimeout,
		"timeout=99999999999999999999": defaultIdleTimeout,
		"timeout=NaN":                  defaultIdleTimeout,
	} {
		c := &conn{}
		if c.updateIdleTimeout(http.Header{"Keep-Alive": {value}}); c.idleTimeout != want {
			t.Errorf("%s: %s, want %s", value, c.idleTimeout, want)
		}
	}
}

// Guards against requests that a server did not get from any client: a value with a line
// break, as in the id of an event of a faulty server, would begin a header or a request.
func TestAHeaderValueCannotAddLines(t *testing.T) {
	r := &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{
		"Last-Event-Id": {"5\rX-Other: 1"}, "X-Server": {"a\r\n\r\nGET /smuggled HTTP/1.1"}, "X-Workspace": {"w\nX-Other: 1\x00"},
	}}
	text := string(encodeHeader(r))
	if n := strings.Count(text, "\n"); n != 6 || strings.Count(text, "\r") != n || strings.Contains(text, "\x00") {
		t.Errorf("%d lines, want 6: %q", n, text)
	}
}
