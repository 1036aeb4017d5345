package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

func newTestHub() (*hub, *[]*fleetpb.Announcement) {
	var spread []*fleetpb.Announcement
	h := newHub(hclog.NewNullLogger(), func(news []*fleetpb.Announcement) { spread = append(spread, news...) })
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	return h, &spread
}

func newSession(h *hub, name string) *session {
	s := &session{router: name, queue: make(chan *fleetpb.FollowUpdate, sessionQueue), end: func() {}}
	h.open(s)
	return s
}

func drain(s *session) (out []*fleetpb.FollowUpdate) {
	for {
		select {
		case u := <-s.queue:
			out = append(out, u)
		default:
			return out
		}
	}
}

func announced(id string, seq uint64, state inventory.State) inventory.Server {
	return inventory.Server{ID: id, Born: 1, Sequence: seq, Service: "chat", Address: id + ":1", DataCentre: "a", Slots: 4, State: state}
}

// A server that drains must be known to every router before its announcement is
// acknowledged.
func TestChangesAreSentBeforeTheyAreAcknowledged(t *testing.T) {
	h, spread := newTestHub()
	s := newSession(h, "r1")
	h.merge(announced("x", 1, inventory.Ready), true)
	drain(s)
	h.merge(announced("x", 2, inventory.Draining), true)
	got := drain(s)
	if len(got) != 1 || len(got[0].Announcements) != 1 || got[0].Announcements[0].State != fleetpb.ServerState_DRAINING {
		t.Errorf("the session got %v", got)
	}
	if n := len(*spread); n != 2 {
		t.Errorf("%d announcements were passed to other processes, want 2", n)
	}
	h.merge(announced("y", 1, inventory.Ready), false)
	if n := len(*spread); n != 2 {
		t.Error("an announcement from another process was passed on again")
	}
	h.leave("x", 1)
	if got := drain(s); got[len(got)-1].Announcements[0].State != fleetpb.ServerState_GONE {
		t.Errorf("after the leave: %v", got)
	}
}

func TestRefreshedServersAreToldWithTheNextFlush(t *testing.T) {
	h, spread := newTestHub()
	s := newSession(h, "r1")
	h.merge(announced("x", 1, inventory.Ready), true)
	drain(s)
	*spread = nil
	h.merge(announced("x", 2, inventory.Ready), true)
	if got := drain(s); len(got) != 0 || len(*spread) != 0 {
		t.Errorf("a heartbeat without news was sent at once: %v, %v", got, *spread)
	}
	h.flush()
	if got := drain(s); len(got) != 1 || got[0].Announcements[0].Sequence != 2 {
		t.Errorf("flush sent %v", got)
	}
	h.flush()
	if got := drain(s); len(got) != 0 {
		t.Errorf("an empty flush sent %v", got)
	}
}

func TestANewSessionIsToldEverything(t *testing.T) {
	h, _ := newTestHub()
	for i := range 5 {
		h.merge(announced(fmt.Sprint("s", i), 1, inventory.Ready), true)
	}
	h.leave("s0", 0)
	h.stateChanged(9)
	h.groupChanged([]string{"a:1"}, true)
	got := drain(newSession(h, "r1"))[0]
	if len(got.Announcements) != 5 || got.Revision != 9 || !got.InQuorum || len(got.Members) != 1 || got.Routers != 1 {
		t.Errorf("the first update is %v", got)
	}
}

// A router whose queue is full is disconnected instead of holding others up.
func TestASlowRouterIsDisconnected(t *testing.T) {
	h, _ := newTestHub()
	ended := false
	s := &session{router: "slow", queue: make(chan *fleetpb.FollowUpdate, 2), end: func() { ended = true }}
	h.open(s)
	for i := range 5 {
		h.merge(announced(fmt.Sprint("s", i), 1, inventory.Ready), true)
	}
	if !ended {
		t.Error("the session goes on though updates were lost")
	}
}

// report passes what a router says through the path that requests take.
func report(t *testing.T, h *hub, s *session, load *fleetpb.Load) {
	t.Helper()
	newTestServer(h).asked(context.Background(), s, &fleetpb.FollowRequest{Load: load})
	select {
	case f := <-h.inbox:
		f()
	default:
		t.Error("the report did not reach the hub")
	}
}

func newTestServer(h *hub) *server { return &server{hub: h} }

// Once a router reports to another process, what it told here must not count: it
// would be counted twice and never end.
func TestLoadIsDroppedWhenTheRouterReportsElsewhere(t *testing.T) {
	h, _ := newTestHub()
	a, b := newSession(h, "a"), newSession(h, "b")
	report(t, h, a, &fleetpb.Load{Servers: []uint32{7}, InFlight: []uint32{5}})
	report(t, h, b, &fleetpb.Load{Servers: []uint32{7, 8}, InFlight: []uint32{1, 2}})
	sum := func() map[uint32]uint32 {
		out := map[uint32]uint32{}
		l := h.load()
		for i, s := range l.GetServers() {
			out[s] = l.InFlight[i]
		}
		return out
	}
	if got := sum(); got[7] != 6 || got[8] != 2 {
		t.Errorf("sum %v", got)
	}
	report(t, h, a, nil)
	if got := sum(); got[7] != 1 {
		t.Errorf("after a reports elsewhere: %v", got)
	}
	h.close(b)
	if l := h.load(); l == nil || len(l.Servers) != 0 {
		t.Errorf("routers are not told that no load is left: %v", l)
	}
	if l := h.load(); l != nil {
		t.Errorf("a load that nobody reports is sent again: %v", l)
	}
}
