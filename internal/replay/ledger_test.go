package replay

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// Guards against a replay that checks what callers were told against a part of what ran: a ledger that is cut
// between two entries, by a failure or by the end of a process that was killed, passed for whole.
func TestALedgerThatIsCutIsAnError(t *testing.T) {
	const entry = `{"event":"start","server":"s"}` + "\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	const chunked, length = "Transfer-Encoding: chunked\r\n", "Content-Length: 62\r\n"
	for name, tc := range map[string]struct {
		head, body string
		entries    int
	}{
		"whole, in chunks":        {"200 OK\r\n" + chunked, chunk(entry) + chunk(entry) + "0\r\n\r\n", 2},
		"whole, with a length":    {"200 OK\r\n" + length, entry + entry, 2},
		"empty":                   {"200 OK\r\nContent-Length: 0\r\n", "", 0},
		"cut, in chunks":          {"200 OK\r\n" + chunked, chunk(entry), -1},
		"cut in the last chunk":   {"200 OK\r\n" + chunked, chunk(entry) + chunk(entry) + "0\r\n", -1},
		"cut, with a length":      {"200 OK\r\n" + length, entry, -1},
		"cut inside of an entry":  {"200 OK\r\n" + length, entry + entry[:9], -1},
		"without a length":        {"200 OK\r\n", entry, -1},
		"no ledger":               {"404 Not Found\r\nContent-Length: 0\r\n", "", -1},
		"an entry, then no entry": {"200 OK\r\n" + length, entry + strings.Repeat("]", len(entry)), -1},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096)) // The request.
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s", tc.head, tc.body)
			_ = c.Close()
		}()
		entries, err := fetchLedgers(t.Context(), []string{"http://" + l.Addr().String() + "/ledger"})
		if (err != nil) != (tc.entries < 0) || err == nil && len(entries) != tc.entries {
			t.Errorf("%s: %d entries, %v, want %d (-1: an error)", name, len(entries), err, tc.entries)
		}
		_ = l.Close()
	}
}
