package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Guards against streams that are joined from two versions after all routers were killed at
// once: a router that has just started may know only servers of the newer version, while the
// report of the stream's origin was lost with the router that began it.
func TestAStreamIsNotResumedBeforeAllServersAreKnown(t *testing.T) {
	x := newUnknownResumption(t, RequestInfo{ID: "2", Resumes: "1", LastEventID: "3", HasLastEventID: true})
	if err := x.resolveOrigin(); errkind.Of(err) != errkind.StreamNotResumable {
		t.Errorf("error %v and version %q, want stream-not-resumable", err, x.origin.Version)
	}
}

// Guards against a stream of which the client has the event with the id 0 alone, and that goes on at any version,
// or with that event once more: the request does not name the stream.
func TestAStreamIsResumedAfterTheEventWithTheIDZero(t *testing.T) {
	x := newUnknownResumption(t, RequestInfo{ID: "2", LastEventID: "0", HasLastEventID: true})
	if err := x.resolveOrigin(); errkind.Of(err) != errkind.StreamNotResumable {
		t.Errorf("error %v and version %q, want stream-not-resumable", err, x.origin.Version)
	}
	if id := x.lastID(); id != "0" {
		t.Errorf("the stream goes on after event %q, want 0", id)
	}
	for name, info := range map[string]RequestInfo{"no id": {ID: "2"}, "an empty id": {ID: "2", HasLastEventID: true}} {
		if err := newUnknownResumption(t, info).resolveOrigin(); err != nil {
			t.Errorf("a new stream with %s of a last event: %v", name, err)
		}
	}
}

// newUnknownResumption returns the exchange of a request for a stream at a router that has just started.
func newUnknownResumption(t *testing.T, info RequestInfo) *exchange {
	t.Helper()
	fleet := placement.NewFleet("r", "a", placement.Bounds{})
	table, now := inventory.New(), time.Now()
	table.Merge(inventory.Server{ID: "new", Born: 1, Sequence: 1, Service: "chat", Address: "h:1", DataCentre: "a", Version: "v2", Slots: 4, State: inventory.Ready, LastSeen: now})
	fleet.Update(table, now)
	view := fleetview.New(fleetview.Options{RouterID: "r", DataCentre: "a", Fleet: fleet, Log: hclog.NewNullLogger()})
	return &exchange{
		f:           &Forwarder{opts: Options{View: view, Fleet: fleet, Metrics: telemetry.NewRegistry()}},
		ctx:         t.Context(),
		r:           httptest.NewRequest(http.MethodPost, "/chat/x", nil),
		route:       &catalog.Route{Repeat: catalog.Stream, Resumable: true, Split: []catalog.Share{{Service: "chat", Weight: 1}}},
		service:     &catalog.Service{Name: "chat"},
		requestInfo: info,
	}
}

// Guards against a server that gets the requests of a warm one although its process has told a later start: that one
// may be cold, and has not been announced yet.
func TestAProcessThatTellsALaterStartMayBeCold(t *testing.T) {
	x := newUnknownResumption(t, RequestInfo{ID: "2", Resumes: "1", LastEventID: "3", HasLastEventID: true})
	cold := &catalog.Service{Name: "chat", ColdTime: time.Second, ColdRate: 1} // The fleet's bounds allow a cold server nothing.
	pick := func() (*placement.PickResult, error) {
		return x.f.opts.Fleet.Pick(placement.PickRequest{Service: cold}, time.Now())
	}
	picked, err := pick()
	if err != nil {
		t.Fatal(err)
	}
	x.origin.Version = "v2"
	tell := func(born int64) {
		if err := x.checkProcess(t.Context(), picked, backend.Process{Told: true, Born: born}); err == nil {
			t.Errorf("the stream goes on at a process that started at %d", born)
		}
	}
	tell(picked.Born - 1)
	if _, err := pick(); err != nil {
		t.Errorf("after an earlier start: %v", err)
	}
	tell(picked.Born + 1)
	if _, err := pick(); err == nil {
		t.Error("a request is sent to the server after its process has told a later start")
	}
}
