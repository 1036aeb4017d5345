package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Guards against heads of responses that together take more than the memory of responses, and
// against memory that is not released, or more than once.
func TestManyHeadsShareTheMemoryOfResponses(t *testing.T) {
	const (
		requests  = 300
		headBytes = 290 << 10
	)
	f := New(Options{Metrics: telemetry.NewRegistry()})
	all, granted := make([]*exchange, requests), 0
	for i := range all {
		all[i] = &exchange{f: f}
		switch err := all[i].reserveHead(headBytes); {
		case err == nil:
			granted++
		case !errkind.Is(err, errkind.BackendLost):
			t.Fatalf("a head without memory fails with %v, want kind backend-lost: its request was sent", err)
		}
	}
	if want := maxBufferedResponseBytes / headBytes; granted != want {
		t.Errorf("%d heads of %d bytes were granted memory, want %d", granted, headBytes, want)
	}
	if used := f.responses.Used(); used != int64(granted*headBytes) {
		t.Errorf("%d bytes are reserved for %d heads, want %d", used, granted, granted*headBytes)
	}
	for _, x := range all {
		x.releaseMemory()
		x.releaseMemory() // A second one changes nothing.
	}
	if used := f.responses.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after all requests ended", used)
	}
}

// Guards against stream events that use the reservation of the head, which is kept beside them.
func TestEventsDoNotUseTheReservationOfTheHead(t *testing.T) {
	f := New(Options{Metrics: telemetry.NewRegistry()})
	x := &exchange{f: f}
	const head, event = 8 * eventReservation, 2 * eventReservation
	if err := x.reserveHead(head); err != nil {
		t.Fatal(err)
	}
	for range 2 { // The second event replaces the first.
		if err := x.reserveEvent(event); err != nil {
			t.Fatal(err)
		}
		if used, want := f.responses.Used(), int64(head+event-eventReservation); used != want {
			t.Errorf("a head of %d bytes and an event of %d reserve %d, want %d", head, event, used, want)
		}
	}
	x.releaseMemory()
	if used := f.responses.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after the request ended", used)
	}
}

// Guards against responses that other routers pass on and that count nowhere: they are kept until
// clients that read slowly have them.
func TestResponsesOfOtherRoutersShareTheMemoryOfResponses(t *testing.T) {
	f := New(Options{Metrics: telemetry.NewRegistry()})
	const size = 8 << 20
	granted := 0
	var all []*exchange
	for range 2 * maxBufferedResponseBytes / size {
		w := httptest.NewRecorder()
		x := &exchange{f: f, w: w, rc: http.NewResponseController(w)}
		all = append(all, x)
		err := x.receivePart(handoff.Part{Status: 200, Header: http.Header{"Content-Length": {"8388608"}}, Data: make([]byte, size)}, &continuity{})
		switch {
		case err == nil:
			granted++
		case !errkind.Is(err, errkind.BackendLost):
			t.Fatalf("a response without memory fails with %v, want kind backend-lost: its request has run", err)
		}
	}
	if want := maxBufferedResponseBytes / size; granted != want {
		t.Errorf("%d responses of %d bytes were kept, want %d", granted, size, want)
	}
	for _, x := range all {
		x.releaseMemory()
	}
	if used := f.responses.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after all requests ended", used)
	}
}
