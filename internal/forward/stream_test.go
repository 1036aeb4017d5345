package forward

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
)

// Guards against an event that is passed on without the blank line which ends it, since a line of it fills
// the buffer up to its newline: a client does not take it, or joins it to the event that follows.
func TestLinesOfAnyLengthEndNoEvent(t *testing.T) {
	x := &exchange{f: &Forwarder{}, route: &catalog.Route{}}
	x.f.responses.Limit = maxBufferedResponseBytes
	for _, newline := range []string{"\n", "\r\n"} {
		for length := eventBufferBytes - 20; length < 3*eventBufferBytes+20; length++ {
			event := func(id string) string {
				return "id: " + id + newline + "data: " + strings.Repeat("x", length-len("data: ")) + newline + newline
			}
			br := bufio.NewReaderSize(strings.NewReader(event("1")+event("2")), eventBufferBytes)
			for _, id := range []string{"1", "2"} {
				if got, err := x.nextEvent(&backend.Response{}, br); err != nil || string(got) != event(id) {
					t.Fatalf("event %s with a line of %d bytes, ended by %q: %d of %d bytes, %v", id, length, newline, len(got), len(event(id)), err)
				}
			}
			if rest, err := x.nextEvent(&backend.Response{}, br); len(rest) != 0 || err != io.EOF {
				t.Fatalf("after the last event: %q, %v", rest, err)
			}
		}
	}
}
