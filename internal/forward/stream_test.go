package forward

import (
	"bufio"
	"io"
	"net/http"
	"reflect"
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

// Guards against a stream that is resumed after an id that is no number among numbers: what another server writes after
// it cannot be told from what the client has.
func TestAnIDThatIsNoNumberIsNoPlaceAmongNumbers(t *testing.T) {
	for _, tc := range []struct {
		ids, last string
		resumable bool
	}{
		{"1 2", "2", true},
		{"a b", "b", true},
		{"1 2 x", "2", false},
		{"1 x 3", "3", true},
	} {
		x, _ := newResumption(t, &fakeRouter{}, "", false)
		for _, id := range strings.Fields(tc.ids) {
			if err := x.writeEvent(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, parseEvent([]byte(text(id)))); err != nil {
				t.Fatal(err)
			}
		}
		if got := x.canRetry(attemptResult{mayHaveRun: true}); x.lastEventID != tc.last || got != tc.resumable {
			t.Errorf("%s: resumes after %q: %t, want after %q: %t", tc.ids, x.lastEventID, got, tc.last, tc.resumable)
		}
	}
}

// Guards against ids that are not seen since their lines end with CR alone, so that events come twice, or a stream is resumed
// at another place; and against several events that pass for one.
func TestLinesThatEndWithCRHaveTheirIDs(t *testing.T) {
	for text, want := range map[string]streamEvent{
		"id: 4\rdata: a\r\n\r\n":            {id: "4", hasData: true},
		"data: a\rid: 4\n\n":                {id: "4", hasData: true},
		": c\rid: 4\r\n\n":                  {id: "4"},
		"\n\r\nid: 4\r\ndata: a\r\n\r\n":    {id: "4", hasData: true},
		"id: 4\ndata: a\n\r\n":              {id: "4", hasData: true},
		"id: 4\rdata: a\r\rid: 5\rdata\n\n": {id: "5", hasData: true, isSeveral: true},
		"id: 4\n\rid: 5\n\n":                {id: "5", isSeveral: true},
	} {
		got := parseEvent([]byte(text))
		if want.text = []byte(text); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
		c := continuity{numbering: &numbering{}}
		if _, err := c.isNew(got); (err != nil) != want.isSeveral {
			t.Errorf("%q: %v, several events: %t", text, err, want.isSeveral)
		}
	}
}
