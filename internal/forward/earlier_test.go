package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// fakeRouter is another router, of any release: it writes events and ends its response as whole.
type fakeRouter struct {
	plainProtocol
	events []string
	// plain is a response that is no stream.
	plain string
	asked string
}

func (*fakeRouter) Addresses() []string { return []string{"h:1"} }

func (r *fakeRouter) Do(_ context.Context, _ string, req *handoffpb.ExchangeRequest, receive func(handoff.Part) error) handoff.Result {
	r.asked = req.LastEventId
	// The header comes with the first event, or alone.
	part := handoff.Part{Status: http.StatusOK, Header: http.Header{}}
	if r.plain != "" {
		part.Header.Set("Content-Length", fmt.Sprint(len(r.plain)))
	}
	for i, event := range append(r.events, r.plain) {
		if event == "" && i > 0 {
			break
		}
		part.Data = []byte(event)
		if err := receive(part); err != nil {
			return handoff.Result{Err: err, MayHaveRun: true}
		}
		part = handoff.Part{}
	}
	return handoff.Result{MayHaveRun: true}
}

func (*fakeRouter) ParseResponse(*http.Response) ResponseInfo { return ResponseInfo{} }

// newResumption returns a request that resumes a stream after the event last: within its response, or as the client.
func newResumption(t *testing.T, peers *fakeRouter, last string, within bool) (*exchange, *httptest.ResponseRecorder) {
	t.Helper()
	fleet := placement.NewFleet("r", "a", placement.Bounds{})
	view := fleetview.New(fleetview.Options{RouterID: "r", DataCentre: "a", Fleet: fleet, Log: hclog.NewNullLogger()})
	f := New(Options{Protocol: peers, View: view, Fleet: fleet, Handoff: peers, Metrics: telemetry.NewRegistry(), Log: hclog.NewNullLogger()})
	w := httptest.NewRecorder()
	x := f.newExchange(w, httptest.NewRequest(http.MethodPost, "/chat/x", strings.NewReader("q")))
	x.ctx, x.deadline = t.Context(), x.startedAt.Add(clientWriteTimeout)
	x.route = &catalog.Route{Repeat: catalog.Stream, Resumable: true, MaxAttempts: 3}
	x.service, x.view = &catalog.Service{Name: "chat"}, view.Snapshot()
	x.requestInfo = RequestInfo{ID: "2"}
	if within {
		x.lastEventID, x.eventsSent, x.headerSent = last, 1, true
	} else {
		x.requestInfo.LastEventID, x.requestInfo.HasLastEventID = last, true
	}
	return x, w
}

// Guards against events that come twice, or runs that are joined, in what a router of the release before relays: it
// passes first runs on as they are numbered.
func TestARouterOfTheReleaseBeforeRelaysNoRunThatGoesBack(t *testing.T) {
	for name, ids := range map[string][]string{"repeats": {"1", "2", "2", "3"}, "goes back": {"1", "2", "1", "2", "3"}, "twice whole": {"1", "2", "1", "2"}} {
		for _, resumable := range []bool{false, true} {
			peers := &fakeRouter{}
			for _, id := range ids {
				peers.events = append(peers.events, text(id))
			}
			x, w := newResumption(t, peers, "", false)
			x.route.Resumable, x.requestInfo.HasLastEventID = resumable, false
			if res, ok := x.handOff(); !ok || !errors.Is(res.err, errNotRising) || w.Body.String() != text("1")+text("2") {
				t.Errorf("%s, resumable %t: handed off %t, error %v, relayed %q", name, resumable, ok, res.err, w.Body)
			}
		}
	}
}

func text(id string) string { return "id: " + id + "\ndata: piece\n\n" }

// Guards against a router of the release before that ends a stream as whole since two servers knew of nothing
// that was left: another router is always asked for the last event again.
func TestARouterOfTheReleaseBeforeDoesNotEndAStream(t *testing.T) {
	for name, tc := range map[string]struct {
		last   string
		events []string
		// asked is the event after which the other router is to go on, relayed what the client is sent.
		asked, relayed string
		whole          bool
	}{
		"nothing":                 {"3", nil, "2", "", false},
		"nothing after the first": {"1", nil, "0", "", false},
		"the last event again":    {"3", []string{text("3")}, "2", "", true},
		"the first event again":   {"1", []string{text("1")}, "0", "", true},
		"goes on":                 {"3", []string{text("3"), text("4")}, "2", text("4"), true},
		"an earlier event":        {"3", []string{text("2")}, "2", "", false},
		"a later event":           {"3", []string{text("5")}, "2", "", false},
	} {
		for _, within := range []bool{false, true} {
			peers := &fakeRouter{events: tc.events}
			x, w := newResumption(t, peers, tc.last, within)
			res, ok := x.handOff()
			if !within && (tc.whole || tc.relayed != "") != x.headerSent {
				t.Errorf("%s: a header was sent: %t", name, x.headerSent)
			}
			if !ok || (res.err == nil) != tc.whole || w.Body.String() != tc.relayed {
				t.Errorf("%s, within one response %t: handed off %t, error %v, relayed %q, want %q, whole: %t", name, within, ok, res.err, w.Body, tc.relayed, tc.whole)
			}
			if peers.asked != tc.asked {
				t.Errorf("%s, within one response %t: the other router was asked for what follows event %q, want %q", name, within, peers.asked, tc.asked)
			}
		}
	}
}

// Guards against a refusal of a client's resumption, relayed from another router, that is cut since no event came.
func TestAResponseThatIsNoStreamIsRelayedForAResumption(t *testing.T) {
	peers := &fakeRouter{plain: "no such stream"}
	x, w := newResumption(t, peers, "3", false)
	if res, ok := x.handOff(); !ok || res.err != nil || w.Body.String() != peers.plain {
		t.Errorf("handed off %t, error %v, relayed %q", ok, res.err, w.Body)
	}
}

// Guards against asking for an event that may not exist: only where ids are consecutive numbers is the one before
// the last known.
func TestTheEventBeforeIsAskedForOnlyIfItIsKnown(t *testing.T) {
	for _, tc := range []struct {
		last        string
		consecutive bool
		want        string
		isKnown     bool
	}{
		{"3", true, "2", true}, {"1", true, "", true}, {"3", false, "3", false}, {"c", true, "c", false}, {"007", true, "007", false}, {"-1", true, "-1", false},
	} {
		x, _ := newResumption(t, &fakeRouter{}, tc.last, false)
		if !tc.consecutive {
			x.f.numberingOf(x.service).record(1, 6)
		}
		picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
		x.mayHaveEnded = true
		id, ok := x.resumeAfter(picked)
		if id != tc.want || ok != (tc.want != "") || x.asksEarlier != tc.isKnown {
			t.Errorf("after event %q, consecutive numbers %t: asks for what follows %q (%t), one event earlier %t", tc.last, tc.consecutive, id, ok, x.asksEarlier)
		}
		if !tc.isKnown && !x.believe(picked, errNothingLeft) {
			t.Errorf("after event %q: the only server is not believed", tc.last)
		}
		if tc.isKnown && x.believe(picked, errNothingLeft) {
			t.Errorf("after event %q: a server that wrote nothing is believed", tc.last)
		}
	}
}

// Guards against asking for an event more where a stream surely goes on, or where another server can still be
// asked.
func TestOneEventMoreIsAskedForOnlyIfTheStreamMayHaveEnded(t *testing.T) {
	for name, tc := range map[string]struct {
		sends, servers            int
		mayHaveEnded, brokeInside bool
		want                      string
	}{
		"another server can be asked":    {0, 2, false, false, "3"},
		"no other server":                {0, 1, false, false, "2"},
		"no other server, broke inside":  {1, 1, false, true, "3"},
		"the last attempt":               {2, 2, false, false, "2"},
		"the last attempt, broke inside": {2, 2, false, true, "3"},
		"may have ended":                 {1, 2, true, false, "2"},
	} {
		for _, within := range []bool{false, true} {
			x, _ := newResumption(t, &fakeRouter{}, "3", within)
			table, now := inventory.New(), time.Now()
			for n := range tc.servers {
				id := fmt.Sprint("s", n+1)
				table.Merge(inventory.Server{ID: id, Born: 1, Sequence: 1, Service: "chat", Address: id + ":1", DataCentre: "a", Version: "v1", Slots: 4, State: inventory.Ready, LastSeen: now})
			}
			x.f.opts.Fleet.Update(table, now)
			x.sends, x.mayHaveEnded, x.brokeInside = tc.sends, tc.mayHaveEnded, tc.brokeInside
			if id, _ := x.resumeAfter(&placement.PickResult{Server: &placement.Server{ID: "s1"}}); id != tc.want {
				t.Errorf("%s, within one response %t: asks for what follows %q, want %q", name, within, id, tc.want)
			}
		}
	}
}

// Guards against a server that counts as one that does not know a stream, and is asked no more, though it was
// asked from the last event on and rightly said that nothing is left.
func TestAServerThatKnewOfNothingIsAskedForTheLastEvent(t *testing.T) {
	x, _ := newResumption(t, &fakeRouter{}, "3", false)
	picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
	for _, earlier := range []bool{false, true} {
		x.asksEarlier, x.askAgain = earlier, nil
		x.wronglyContinued(picked, errkind.Wrap(errNothingLeft, errkind.StreamBroken, "s1"))
		if again := len(x.askAgain) == 1; again == earlier {
			t.Errorf("asked one event earlier %t: asked again %t", earlier, again)
		}
	}
}
