package httpguard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/memory"
)

// Guards against clients that send headers of many lines, or many of them, until the router has no
// memory left, and against memory that stays reserved.
func TestHeadersOfManyClientsShareTheirMemory(t *testing.T) {
	const (
		connections = 400
		headerBytes = 30 << 10
	)
	l := &Listener{HeaderTimeout: func() time.Duration { return 0 }, IdleTimeout: func() time.Duration { return 0 }}
	l.headers.Limit = maxHeaderMemory
	header := []byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", headerBytes))
	all, refused := make([]*conn, connections), 0
	for i := range all {
		client, server := net.Pipe()
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		go func() { _, _ = client.Write(header) }() // The pipe is closed at the end of the test.
		c := &conn{Conn: server, idleTimeout: l.IdleTimeout, headerTimeout: l.HeaderTimeout, headers: &l.headers, readingHeader: true}
		all[i] = c
		if _, err := io.ReadFull(c, make([]byte, len(header))); err != nil {
			refused++
		}
		if used := l.headers.Used(); used > maxHeaderMemory {
			t.Fatalf("%d bytes are reserved, want at most %d", used, maxHeaderMemory)
		}
	}
	if refused == 0 || refused == connections {
		t.Errorf("%d of %d connections were refused, want some", refused, connections)
	}
	for i, c := range all {
		ConnState(c, []http.ConnState{http.StateIdle, http.StateClosed, http.StateHijacked}[i%3])
		ConnState(c, http.StateClosed) // A second one changes nothing.
	}
	if used := l.headers.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after all connections were closed", used)
	}
}

// Guards against the lines of a body that count as lines of the header, and against headers with
// lines without end.
func TestLinesOfAHeaderAreLimited(t *testing.T) {
	header := func(lines int, end string) string {
		var b strings.Builder
		b.WriteString("POST / HTTP/1.1" + end)
		for i := range lines - 1 {
			fmt.Fprintf(&b, "A%d: 1%s", i, end)
		}
		return b.String()
	}
	body := strings.Repeat("\n", 2*maxHeaderLines)
	for name, tc := range map[string]struct {
		text    string
		refused bool
	}{
		"as many lines":            {header(maxHeaderLines, "\r\n") + "\r\n" + body, false},
		"lines with a feed alone":  {header(maxHeaderLines, "\n") + "\n" + body, false},
		"a feed alone at the end":  {header(maxHeaderLines, "\r\n") + "\n" + body, false},
		"too many lines":           {header(maxHeaderLines+1, "\r\n"), true},
		"too many, a feed alone":   {header(maxHeaderLines+1, "\n"), true},
		"a short one with a body":  {"POST / HTTP/1.1\r\nHost: h\r\n\r\n" + body, false},
		"returns that end no head": {"POST / HTTP/1.1\r\n\r\r\n" + header(maxHeaderLines, "\r\n"), true},
	} {
		client, server := net.Pipe()
		c := &conn{Conn: server, idleTimeout: func() time.Duration { return 0 }, headerTimeout: func() time.Duration { return 0 }, headers: &memory.Budget{Limit: maxHeaderMemory}, readingHeader: true}
		answer := make(chan string, 1)
		go func() {
			_, _ = client.Write([]byte(tc.text))
		}()
		go func() {
			got, _ := io.ReadAll(client) // The end of the pipe is no error.
			answer <- string(got)
		}()
		_, err := io.ReadFull(c, make([]byte, len(tc.text)))
		_ = server.Close()
		if (err != nil) != tc.refused {
			t.Errorf("%s: the error is %v", name, err)
		}
		if got := <-answer; strings.HasPrefix(got, "HTTP/1.1 431 ") != tc.refused {
			t.Errorf("%s: the response is %q", name, got)
		}
		_ = client.Close()
	}
}
