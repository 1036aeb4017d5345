package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

func newTestHub() (*hub, *[]*fleetpb.Announcement) {
	var spread []*fleetpb.Announcement
	h := newHub(hclog.NewNullLogger(), publication.New(), func(_ string, news []*fleetpb.Announcement) <-chan struct{} {
		spread = append(spread, news...)
		return nil
	})
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
	h.tell()
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
	h.tell()
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
	h.tell()
	drain(s)
	*spread = nil
	h.merge(announced("x", 2, inventory.Ready), true)
	if got := drain(s); len(got) != 0 || len(*spread) != 0 {
		t.Errorf("a heartbeat without news was sent at once: %v, %v", got, *spread)
	}
	h.flush()
	// Four bytes tell that a server lives on; a fleet tells it of all servers to all
	// routers each 1.2 s.
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 0 || !slices.Equal(got[0].Heard, []uint32{uint32(routing.Hash("x"))}) {
		t.Errorf("flush sent %v", got)
	}
	h.flush()
	if got := drain(s); len(got) != 0 {
		t.Errorf("an empty flush sent %v", got)
	}
}

// A session is told of the group at once, and of all servers once it reports
// here: with a list from each process, routers that start together would fill the
// link.
func TestANewSessionIsToldEverything(t *testing.T) {
	h, _ := newTestHub()
	for i := range 5 {
		h.merge(announced(fmt.Sprint("s", i), 1, inventory.Ready), true)
	}
	h.leave("s0", 0)
	change(t, h, 9)
	h.groupChanged([]string{"a:1"}, "a:1")
	s := newSession(h, "r1")
	got := drain(s)[0]
	if len(got.Announcements) != 0 || got.Revision != 1 || !got.InQuorum || len(got.Members) != 1 || got.Routers != 1 {
		t.Errorf("the first update is %v", got)
	}
	h.tell()
	drain(s)
	h.asked(s, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 5 || got[0].Revision != 1 || !got[0].InQuorum || got[0].Routers != 1 {
		t.Errorf("the router that reports is told %v", got)
	}
	h.asked(s, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	if got := drain(s); len(got) != 0 {
		t.Errorf("the list is sent again: %v", got)
	}
	// It missed what was passed on while it reported elsewhere.
	h.asked(s, &fleetpb.FollowRequest{Have: 1})
	h.merge(announced("relayed", 1, inventory.Ready), false)
	h.tell()
	h.asked(s, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 6 {
		t.Errorf("the router that reports again is told %v", got)
	}
}

// A server that joins is told to all routers by the process that heard it, and by
// each other process to those that report there: twice to each router, however
// many processes there are. One that leaves is told by every process: the one that
// heard it may stop before all routers have it.
func TestEachRouterIsToldOfAChangeTwice(t *testing.T) {
	h, _ := newTestHub()
	here, elsewhere := newSession(h, "here"), newSession(h, "elsewhere")
	h.asked(here, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	h.tell()
	told := func(s *session) (n int) {
		for _, u := range drain(s) {
			n += len(u.Announcements)
		}
		return n
	}
	told(here)
	told(elsewhere)
	for i := range 20 {
		h.merge(announced(fmt.Sprint("direct", i), 1, inventory.Ready), true)
		h.merge(announced(fmt.Sprint("relayed", i), 1, inventory.Ready), false)
	}
	if n := len(here.queue); n != 0 {
		t.Errorf("%d messages before the news was gathered", n)
	}
	h.tell()
	if n := len(here.queue); n > 2 {
		t.Errorf("%d messages for what came together", n)
	}
	if a, b := told(here), told(elsewhere); a != 40 || b != 20 {
		t.Errorf("told of %d and %d changes, want 40 and 20", a, b)
	}
	// What takes a server out is not held back.
	h.merge(announced("relayed1", 2, inventory.Draining), false)
	h.merge(announced("direct1", 2, inventory.Draining), true)
	if a, b := told(here), told(elsewhere); a != 2 || b != 2 {
		t.Errorf("told of %d and %d servers that leave, want 2 and 2", a, b)
	}
}

// Routers that start together are counted together.
func TestRoutersAreCountedTogether(t *testing.T) {
	h, _ := newTestHub()
	var ss []*session
	for i := range 30 {
		ss = append(ss, newSession(h, fmt.Sprint("r", i)))
	}
	drain(ss[0])
	h.tell()
	if got := drain(ss[0]); len(got) != 1 || got[0].Routers != 30 {
		t.Errorf("the first router is told %v", got)
	}
	h.close(ss[1])
	h.tell()
	if got := drain(ss[0]); len(got) != 1 || got[0].Routers != 29 {
		t.Errorf("after one left the first router is told %v", got)
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
		h.tell()
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

// change puts a large configuration in force and tells the hub.
func change(t *testing.T, h *hub, version uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(version, 1))
	document := make([]byte, 64<<10)
	for i := range document {
		document[i] = byte(rng.Uint32())
	}
	apply(t, h, &publication.State{}, version, document)
}

func apply(t *testing.T, h *hub, base *publication.State, version uint64, document []byte) {
	t.Helper()
	cmd, err := base.Publication(version, document, base.Configuration == nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	if r := h.machine.Apply(data).(publication.Result); r.Err != nil || !r.Effective {
		t.Fatalf("version %d: %+v", version, r)
	}
	h.stateChanged()
}

// sentState counts the updates that carry steps and whole states.
func sentState(s *session) (steps, whole int) {
	for _, u := range drain(s) {
		if len(u.Steps) > 0 {
			steps++
		}
		if u.State != nil {
			whole++
		}
	}
	return steps, whole
}

// Routers that start together ask for the whole state together. A process sends a
// few at a time: on a slow link all at once would hold up the heartbeats by which
// it keeps its leadership.
func TestWholeStatesAreSentAFewAtATime(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	change(t, h, 5)
	var ss []*session
	for i := range 10 {
		s := newSession(h, fmt.Sprint("r", i))
		drain(s)
		h.asked(s, &fleetpb.FollowRequest{Fetch: true})
		ss = append(ss, s)
	}
	served := map[*session]bool{}
	for len(served) < len(ss) {
		var sent []*session
		for _, s := range ss {
			if _, whole := sentState(s); whole > 0 {
				if served[s] {
					t.Fatalf("%s got the state twice", s.router)
				}
				served[s] = true
				sent = append(sent, s)
			}
		}
		if len(sent) == 0 || len(sent) > maxWhole {
			t.Fatalf("%d whole states at once after %d, want 1 to %d", len(sent), len(served)-len(sent), maxWhole)
		}
		// One router has it now; the others' are still on their way.
		h.asked(sent[0], &fleetpb.FollowRequest{Have: h.revision})
		if len(sent) == 1 {
			continue
		}
		if _, whole := sentState(sent[1]); whole != 0 {
			t.Error("a state that is on its way was sent again")
		}
	}
}

// A router that takes nothing must not keep others from the state.
func TestALostWholeStateHoldsUpNobody(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	change(t, h, 5)
	for i := range maxWhole {
		h.asked(newSession(h, fmt.Sprint("lost", i)), &fleetpb.FollowRequest{Fetch: true})
	}
	s := newSession(h, "r")
	h.asked(s, &fleetpb.FollowRequest{Fetch: true})
	if _, whole := sentState(s); whole != 0 {
		t.Error("sent at once")
	}
	now = now.Add(wholeTimeout)
	h.flush()
	if _, whole := sentState(s); whole != 1 {
		t.Error("not sent once the others' time was over")
	}
}

// A new revision is sent unasked to the routers that report here, as the change
// alone, and to no other: each router reports to one process.
func TestAChangeIsSentToTheRoutersThatReportHere(t *testing.T) {
	h, _ := newTestHub()
	change(t, h, 5)
	here, elsewhere := newSession(h, "here"), newSession(h, "elsewhere")
	h.asked(here, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	h.asked(elsewhere, &fleetpb.FollowRequest{Have: 1})
	drain(here)
	drain(elsewhere)
	base := h.machine.State()
	apply(t, h, base, 6, append([]byte("changed"), base.Configuration.Document...))
	got := drain(here)
	if len(got) == 0 || len(got[0].Steps) != 1 || got[0].StepsFrom != 1 || got[0].Revision != 2 || proto.Size(got[0]) > 1024 {
		t.Errorf("the router that reports here got %d updates, the first of %d bytes", len(got), proto.Size(got[0]))
	}
	if steps, whole := sentState(elsewhere); steps+whole != 0 {
		t.Errorf("the router that reports elsewhere got %d steps and %d states", steps, whole)
	}
	// Asked, it is sent to any.
	h.asked(elsewhere, &fleetpb.FollowRequest{Have: 1, Fetch: true})
	if steps, whole := sentState(elsewhere); steps != 1 || whole != 0 {
		t.Errorf("the router that asked got %d steps and %d states", steps, whole)
	}
	// A router that lost what was sent asks again.
	h.asked(here, &fleetpb.FollowRequest{Have: 1, Fetch: true, Load: &fleetpb.Load{}})
	if steps, _ := sentState(here); steps != 1 {
		t.Error("what was lost is not sent again")
	}
}

// The leader gives the places to the servers that are ready, one command at a
// time; other processes propose nothing.
func TestOnlyTheLeaderChangesPlaces(t *testing.T) {
	h, _ := newTestHub()
	var proposed []*fleetpb.Command
	var done []func(error)
	h.places.propose = func(cmd *fleetpb.Command, then func(error)) {
		proposed, done = append(proposed, cmd), append(done, then)
	}
	h.merge(announced("x", 1, inventory.Ready), true)
	h.flush()
	if len(proposed) != 0 {
		t.Fatal("a process that does not lead changes places")
	}
	h.lead(true)
	h.merge(announced("y", 1, inventory.Ready), true)
	h.merge(announced("z", 1, inventory.Ready), false)
	h.tell()
	if len(proposed) != 1 {
		t.Fatalf("%d commands at once", len(proposed))
	}
	commit := func() {
		data, err := proto.Marshal(proposed[len(proposed)-1])
		if err != nil {
			t.Fatal(err)
		}
		h.machine.Apply(data)
		h.stateChanged()
		done[len(done)-1](nil)
	}
	commit()
	if len(proposed) != 2 || len(proposed[1].GetAssign().Pools[0].Places) != 2 {
		t.Fatalf("what came meanwhile is not gathered: %v", proposed)
	}
	// A command that fails is proposed again with the next flush.
	done[1](errkind.New(errkind.NoQuorum, "lost"))
	h.flush()
	if len(proposed) != 3 {
		t.Fatal("a command that failed is not proposed again")
	}
	commit()
	if n := len(h.machine.State().Places["chat"]); n != 3 {
		t.Errorf("%d places for 3 servers", n)
	}
	h.flush()
	h.lead(false)
	h.merge(announced("x", 2, inventory.Draining), true)
	if len(proposed) != 3 {
		t.Error("places are changed without need")
	}
}

// A router that hears of a server it does not know asks for all.
func TestAllServersAreListedOnRequest(t *testing.T) {
	h, _ := newTestHub()
	s := newSession(h, "r")
	for i := range 3 {
		h.merge(announced(fmt.Sprint("s", i), 1, inventory.Ready), false)
	}
	h.tell()
	drain(s)
	h.asked(s, &fleetpb.FollowRequest{List: true})
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 3 {
		t.Errorf("told %v", got)
	}
}

// Pattern: many routers and many busy servers. What the load takes of the link
// stays within its bound, and is not older than routers believe.
func TestTheLoadStaysWithinItsPartOfTheLink(t *testing.T) {
	for _, c := range []struct{ routers, servers int }{{8, 20}, {64, 140}, {80, 1000}} {
		h, _ := newTestHub()
		now := time.Unix(1_700_000_000, 0)
		h.now = func() time.Time { return now }
		load := &fleetpb.Load{}
		for i := range c.servers {
			load.Servers, load.InFlight = append(load.Servers, uint32(i)<<8), append(load.InFlight, 5)
		}
		var ss []*session
		for i := range c.routers {
			s := newSession(h, fmt.Sprint("r", i))
			h.asked(s, &fleetpb.FollowRequest{Load: load})
			ss = append(ss, s)
		}
		h.tell()
		for _, s := range ss {
			drain(s)
		}
		bytes, told, last, longest := 0, 0, now, time.Duration(0)
		began := now
		for now.Sub(began) < 10*time.Second {
			now = now.Add(refreshInterval)
			h.flush()
			for i, s := range ss {
				for _, u := range drain(s) {
					bytes += proto.Size(u.Load)
					if i == 0 && u.Load != nil {
						told++
						longest = max(longest, now.Sub(last))
						last = now
					}
				}
			}
		}
		atMost := float64(loadBytesPerSecond) * 1.1 // One flush more within the span.
		if whole := proto.Size(load) * c.routers; whole > loadBytesPerSecond {
			atMost = float64(whole) // Once a second in any case.
		}
		if rate := float64(bytes) / 10; rate > atMost*1.1 {
			t.Errorf("%d routers, %d servers: %.0f bytes/s", c.routers, c.servers, rate)
		}
		if longest > maxLoadInterval+refreshInterval || told == 0 {
			t.Errorf("%d routers, %d servers: told %d times, after %s at the longest", c.routers, c.servers, told, longest)
		}
	}
}
