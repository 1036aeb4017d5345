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

// newTestHub returns the hub of the process d:1 in a group with the process d:2.
func newTestHub() (*hub, *peer) {
	h := newHub(hclog.NewNullLogger(), publication.New(), "d:1", "a", func(*peer) {})
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	h.submit = func(*fleetpb.Command, func(error)) {}
	h.groupChanged([]string{"d:1", "d:2"}, "d:1")
	return h, h.peers["d:2"]
}

// relayedTo returns the announcements that the peer is sent in the next call, which
// succeeds.
func relayedTo(h *hub, p *peer) []*fleetpb.Announcement {
	call := h.takeCall(p)
	h.finishCall(p, call, &fleetpb.SpreadResponse{Process: "run 1"}, nil)
	return call.req.Announcements
}

func newSession(h *hub, name string) *session {
	s := &session{router: name, queue: make(chan *fleetpb.FollowUpdate, sessionQueueSize), cancel: func() {}}
	h.openSession(s)
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

func serverAnnouncement(id string, seq uint64, state inventory.State) inventory.Server {
	return inventory.Server{ID: id, Born: 1, Sequence: seq, Service: "chat", Address: id + ":1", DataCentre: "a", Slots: 4, State: state}
}

// A draining server must be sent to every router before its announcement is
// acknowledged.
func TestChangesAreSentBeforeTheyAreAcknowledged(t *testing.T) {
	h, p := newTestHub()
	s := newSession(h, "r1")
	h.merge(serverAnnouncement("x", 1, inventory.Ready), true)
	h.broadcastChanges()
	drain(s)
	relayed := len(relayedTo(h, p))
	h.merge(serverAnnouncement("x", 2, inventory.Draining), true)
	got := drain(s)
	if len(got) != 1 || len(got[0].Announcements) != 1 || got[0].Announcements[0].State != fleetpb.ServerState_DRAINING {
		t.Errorf("the session got %v", got)
	}
	select {
	case <-p.wake:
	default:
		t.Error("the other process is not sent the change at once")
	}
	if relayed += len(relayedTo(h, p)); relayed != 2 {
		t.Errorf("%d announcements were relayed to other processes, want 2", relayed)
	}
	h.merge(serverAnnouncement("y", 1, inventory.Ready), false)
	h.broadcastChanges()
	if len(relayedTo(h, p)) != 0 {
		t.Error("an announcement from another process was relayed again")
	}
	h.leave("x", 1)
	if got := drain(s); got[len(got)-1].Announcements[0].State != fleetpb.ServerState_GONE {
		t.Errorf("after the leave: %v", got)
	}
}

func TestRefreshedServersAreSentWithTheNextFlush(t *testing.T) {
	h, p := newTestHub()
	s := newSession(h, "r1")
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	elsewhere := newSession(h, "r2")
	h.merge(serverAnnouncement("x", 1, inventory.Ready), true)
	h.broadcastChanges()
	drain(s)
	relayedTo(h, p)
	h.merge(serverAnnouncement("x", 2, inventory.Ready), true)
	if got, relayed := drain(s), relayedTo(h, p); len(got) != 0 || len(relayed) != 0 {
		t.Errorf("a heartbeat without a change was sent at once: %v, %v", got, relayed)
	}
	h.flush()
	// An unchanged server is sent as 4 bytes, since a fleet sends all servers to all routers
	// every 1.2 s.
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 0 || !slices.Equal(got[0].Heard, []uint32{uint32(routing.Hash("x"))}) {
		t.Errorf("flush sent %v", got)
	}
	// Routers that report to another process get them from there.
	if got := drain(elsewhere); len(got) == 0 || len(got[len(got)-1].Heard) != 0 {
		t.Errorf("flush sent a router that reports elsewhere %v", got)
	}
	// A router that is sent nothing closes its session, so an empty flush is sent too.
	h.flush()
	if got := drain(s); len(got) != 1 || len(got[0].Heard) != 0 || len(got[0].Announcements) != 0 || proto.Size(got[0]) > 16 {
		t.Errorf("an empty flush sent %v", got)
	}
}

// A new session is sent the group's members at once, and all servers only once it
// reports here. If every process sent the list, routers that start together would
// saturate the link.
func TestANewSessionIsSentTheGroupAndServers(t *testing.T) {
	h, _ := newTestHub()
	for i := range 5 {
		h.merge(serverAnnouncement(fmt.Sprint("s", i), 1, inventory.Ready), true)
	}
	h.leave("s0", 0)
	applyConfiguration(t, h, 9)
	s := newSession(h, "r1")
	got := drain(s)[0]
	if len(got.Announcements) != 0 || got.Revision != 1 || !got.InQuorum || len(got.Members) != 2 || got.Routers != 1 {
		t.Errorf("the first update is %v", got)
	}
	h.broadcastChanges()
	drain(s)
	h.handleRequest(s, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 5 || got[0].Revision != 1 || !got[0].InQuorum || got[0].Routers != 1 {
		t.Errorf("the router that reports was sent %v", got)
	}
	h.handleRequest(s, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	if got := drain(s); len(got) != 0 {
		t.Errorf("the list is sent again: %v", got)
	}
	// It missed the changes relayed while it reported elsewhere.
	h.handleRequest(s, &fleetpb.FollowRequest{Have: 1})
	h.merge(serverAnnouncement("relayed", 1, inventory.Ready), false)
	h.broadcastChanges()
	h.handleRequest(s, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 6 {
		t.Errorf("the router that reports again was sent %v", got)
	}
}

// A join is sent to all routers that follow the process that received it, and by every
// other process to the routers that report there: at most twice to each router,
// regardless of the number of processes. A leave is sent by every process, since the one
// that received it may stop before all routers have it.
func TestEachRouterIsSentAChangeAtMostTwice(t *testing.T) {
	h, _ := newTestHub()
	here, elsewhere := newSession(h, "here"), newSession(h, "elsewhere")
	h.handleRequest(here, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	h.broadcastChanges()
	announcementsSent := func(s *session) (n int) {
		for _, u := range drain(s) {
			n += len(u.Announcements)
		}
		return n
	}
	announcementsSent(here)
	announcementsSent(elsewhere)
	for i := range 20 {
		h.merge(serverAnnouncement(fmt.Sprint("direct", i), 1, inventory.Ready), true)
		h.merge(serverAnnouncement(fmt.Sprint("relayed", i), 1, inventory.Ready), false)
	}
	if n := len(here.queue); n != 0 {
		t.Errorf("%d messages before the batch was due", n)
	}
	h.broadcastChanges()
	if n := len(here.queue); n > 2 {
		t.Errorf("%d messages for changes that arrived together", n)
	}
	if a, b := announcementsSent(here), announcementsSent(elsewhere); a != 40 || b != 20 {
		t.Errorf("%d and %d changes were sent, want 40 and 20", a, b)
	}
	// Changes that take a server out of service are not batched.
	h.merge(serverAnnouncement("relayed1", 2, inventory.Draining), false)
	h.merge(serverAnnouncement("direct1", 2, inventory.Draining), true)
	if a, b := announcementsSent(here), announcementsSent(elsewhere); a != 2 || b != 2 {
		t.Errorf("%d and %d leaving servers were sent, want 2 and 2", a, b)
	}
}

// Routers that start together, or that all reconnect at once, cause one update of the
// number of routers: one for each of them would cost a small VM the square of their
// number in messages.
func TestRoutersAreCountedTogether(t *testing.T) {
	h, _ := newTestHub()
	var ss []*session
	for i := range 30 {
		s := newSession(h, fmt.Sprint("r", i))
		h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
		ss = append(ss, s)
	}
	newSession(h, "reports elsewhere")
	drain(ss[0])
	h.broadcastChanges()
	h.flush()
	if got := drain(ss[0]); len(got) != 1 || got[0].Routers != 30 {
		t.Errorf("the first router was sent %v", got)
	}
	h.closeSession(ss[1])
	h.closeSession(ss[1])
	// A request that was read before the session ended does not bring it back.
	h.handleRequest(ss[1], &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	h.broadcastChanges()
	h.flush()
	if got := drain(ss[0]); len(got) != 1 || got[0].Routers != 29 {
		t.Errorf("after one left the first router was sent %v", got)
	}
}

// A router whose queue is full is disconnected, so that it does not block others.
func TestASlowRouterIsDisconnected(t *testing.T) {
	h, _ := newTestHub()
	ended := false
	s := &session{router: "slow", queue: make(chan *fleetpb.FollowUpdate, 2), cancel: func() { ended = true }}
	h.openSession(s)
	for i := range 5 {
		h.merge(serverAnnouncement(fmt.Sprint("s", i), 1, inventory.Ready), true)
		h.broadcastChanges()
	}
	if !ended {
		t.Error("the session goes on though updates were lost")
	}
}

// reportLoad reports a router's load through the request handler of the server.
func reportLoad(t *testing.T, h *hub, s *session, load *fleetpb.Load) {
	t.Helper()
	newTestServer(h).handleRequest(context.Background(), s, &fleetpb.FollowRequest{Load: load})
	select {
	case f := <-h.inbox:
		f()
	default:
		t.Error("the report did not reach the hub")
	}
}

func newTestServer(h *hub) *server { return &server{hub: h} }

// When a router starts to report to another process, the load that it reported here
// must be dropped. Otherwise it would be counted twice and never expire.
func TestLoadIsDroppedWhenTheRouterReportsElsewhere(t *testing.T) {
	h, _ := newTestHub()
	a, b := newSession(h, "a"), newSession(h, "b")
	reportLoad(t, h, a, &fleetpb.Load{Servers: []uint32{7}, InFlight: []uint32{5}})
	reportLoad(t, h, b, &fleetpb.Load{Servers: []uint32{7, 8}, InFlight: []uint32{1, 2}})
	sum := func() map[uint32]uint32 {
		out := map[uint32]uint32{}
		l := h.totalLoad()
		for i, s := range l.GetServers() {
			out[s] = l.InFlight[i]
		}
		return out
	}
	if got := sum(); got[7] != 6 || got[8] != 2 {
		t.Errorf("sum %v", got)
	}
	reportLoad(t, h, a, nil)
	if got := sum(); got[7] != 1 {
		t.Errorf("after a reports elsewhere: %v", got)
	}
	h.closeSession(b)
	if l := h.totalLoad(); l == nil || len(l.Servers) != 0 {
		t.Errorf("routers were not sent the empty load: %v", l)
	}
	if l := h.totalLoad(); l != nil {
		t.Errorf("a load that nobody reports is sent again: %v", l)
	}
}

// applyConfiguration puts a large configuration in force and notifies the hub.
func applyConfiguration(t *testing.T, h *hub, version uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(version, 1))
	document := make([]byte, 64<<10)
	for i := range document {
		document[i] = byte(rng.Uint32())
	}
	applyDocument(t, h, &publication.State{}, version, document)
}

func applyDocument(t *testing.T, h *hub, base *publication.State, version uint64, document []byte) {
	t.Helper()
	cmd, err := base.PublishCommand(version, document, base.Configuration == nil)
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

// countStateUpdates counts the queued updates that carry commands and full states.
func countStateUpdates(s *session) (commands, full int) {
	for _, u := range drain(s) {
		if len(u.Steps) > 0 {
			commands++
		}
		if u.State != nil {
			full++
		}
	}
	return commands, full
}

// Routers that start together request the full state together. A process limits the
// transfers in flight: on a slow link, sending all at once would delay the heartbeats
// by which it keeps its leadership.
func TestFullStatesInFlightAreLimited(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	applyConfiguration(t, h, 5)
	var ss []*session
	for i := range 10 {
		s := newSession(h, fmt.Sprint("r", i))
		drain(s)
		h.handleRequest(s, &fleetpb.FollowRequest{Fetch: true})
		ss = append(ss, s)
	}
	completed := map[*session]bool{}
	for len(completed) < len(ss) {
		now = now.Add(bulkPause)
		h.flush()
		var sent []*session
		for _, s := range ss {
			if _, full := countStateUpdates(s); full > 0 {
				if completed[s] {
					t.Fatalf("%s was sent the full state twice", s.router)
				}
				completed[s] = true
				sent = append(sent, s)
			}
		}
		if len(sent) == 0 || len(sent) > maxFullStatesInFlight {
			t.Fatalf("%d full states at once after %d, want 1 to %d", len(sent), len(completed)-len(sent), maxFullStatesInFlight)
		}
		// One router has received it; the others' are still in flight, also if they ask
		// again.
		h.handleRequest(sent[0], &fleetpb.FollowRequest{Have: h.broadcastRevision})
		if len(sent) == 1 {
			continue
		}
		now = now.Add(bulkPause)
		h.handleRequest(sent[1], &fleetpb.FollowRequest{Fetch: true})
		if _, full := countStateUpdates(sent[1]); full != 0 {
			t.Error("a full state in flight was sent again")
		}
		h.handleRequest(sent[1], &fleetpb.FollowRequest{Have: h.broadcastRevision})
	}
}

// bulkPause is how long it takes until the bandwidth for full states allows another one
// of those that the tests send.
const bulkPause = 200 * time.Millisecond

// The pattern: all processes were killed and start together, with the commands of a large
// configuration still in their logs. Routers without any revision ask again every 0.3 s.
// Nobody may send them all commands at once: on a small link that takes seconds, in which
// no leader can be elected.
func TestLargeChangesWaitForALeaderAndBandwidth(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	rng := rand.New(rand.NewPCG(1, 1))
	for version := uint64(1); version <= 3; version++ {
		document := make([]byte, 8<<10) // that does not compress
		for i := range document {
			document[i] = byte(rng.Uint32())
		}
		applyDocument(t, h, &publication.State{}, version, document)
	}
	if _, ok := h.machine.CommandsSince(0); !ok {
		t.Fatal("the commands are not retained")
	}
	h.groupChanged([]string{"d:1", "d:2"}, "")
	var ss []*session
	for i := range 40 {
		ss = append(ss, newSession(h, fmt.Sprint("r", i)))
	}
	have := map[*session]uint64{}
	run := func(d time.Duration) (bytes int) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for _, s := range ss {
				h.handleRequest(s, &fleetpb.FollowRequest{Have: have[s], Fetch: have[s] == 0})
				for _, u := range drain(s) {
					bytes += proto.Size(u)
					if u.State != nil || len(u.Steps) > 0 {
						have[s] = u.Revision
					}
				}
			}
			h.flush()
		}
		return bytes
	}
	if n := run(time.Second); n > 100_000 {
		t.Errorf("%d bytes were sent within a second without a leader", n)
	}
	h.groupChanged([]string{"d:1", "d:2"}, "d:2")
	if n := run(2 * time.Second); n > 2*bulkBytesPerSecond+200_000 || len(have) != len(ss) {
		t.Errorf("%d bytes were sent within 2 s with a leader, and %d of %d routers have the configuration", n, len(have), len(ss))
	}
	// A small change is sent at once.
	for _, s := range ss {
		h.handleRequest(s, &fleetpb.FollowRequest{Have: 3, Load: &fleetpb.Load{}})
		drain(s)
	}
	base := h.machine.State()
	applyDocument(t, h, base, 4, append([]byte("changed"), base.Configuration.Document...))
	for _, s := range ss {
		if commands, _ := countStateUpdates(s); commands != 1 {
			t.Errorf("%s was not sent a small change at once", s.router)
		}
	}
}

// Without a leader, or beyond their share of a small link, full states wait.
func TestFullStatesWaitForALeaderAndBandwidth(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	applyConfiguration(t, h, 5)
	h.groupChanged([]string{"d:1", "d:2"}, "")
	var ss []*session
	for i := range 10 {
		ss = append(ss, newSession(h, fmt.Sprint("r", i)))
		h.handleRequest(ss[i], &fleetpb.FollowRequest{Fetch: true})
	}
	received := func() (full int) {
		for _, s := range ss {
			if _, n := countStateUpdates(s); n > 0 {
				full += n
				h.handleRequest(s, &fleetpb.FollowRequest{Have: h.broadcastRevision})
			}
		}
		return full
	}
	if n := received(); n != 0 {
		t.Errorf("%d full states were sent without a leader", n)
	}
	h.groupChanged([]string{"d:1", "d:2"}, "d:2")
	bytes := 0
	state, err := h.machine.Encoded()
	if err != nil {
		t.Fatal(err)
	}
	const seconds = 1
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		h.flush()
		bytes += received() * proto.Size(state)
	}
	if limit := seconds*bulkBytesPerSecond + bulkBurstBytes + proto.Size(state); bytes == 0 || bytes > limit {
		t.Errorf("%d bytes of full states were sent in %d s, want 1 to %d", bytes, seconds, limit)
	}
}

// A router that does not receive its full state must not block the transfers to
// others.
func TestALostFullStateDoesNotBlockOthers(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	applyConfiguration(t, h, 5)
	for i := range maxFullStatesInFlight {
		h.handleRequest(newSession(h, fmt.Sprint("lost", i)), &fleetpb.FollowRequest{Fetch: true})
		now = now.Add(bulkPause)
	}
	s := newSession(h, "r")
	h.handleRequest(s, &fleetpb.FollowRequest{Fetch: true})
	if _, full := countStateUpdates(s); full != 0 {
		t.Error("the full state was sent beyond the limit in flight")
	}
	now = now.Add(bulkTimeout)
	h.flush()
	if _, full := countStateUpdates(s); full != 1 {
		t.Error("the full state was not sent after the others timed out")
	}
}

// A new revision is pushed only to the routers that report here, and as the change
// alone, since each router reports to one process.
func TestAChangeIsSentToTheRoutersThatReportHere(t *testing.T) {
	h, _ := newTestHub()
	applyConfiguration(t, h, 5)
	here, elsewhere := newSession(h, "here"), newSession(h, "elsewhere")
	h.handleRequest(here, &fleetpb.FollowRequest{Have: 1, Load: &fleetpb.Load{}})
	h.handleRequest(elsewhere, &fleetpb.FollowRequest{Have: 1})
	drain(here)
	drain(elsewhere)
	base := h.machine.State()
	applyDocument(t, h, base, 6, append([]byte("changed"), base.Configuration.Document...))
	got := drain(here)
	if len(got) == 0 || len(got[0].Steps) != 1 || got[0].StepsFrom != 1 || got[0].Revision != 2 || proto.Size(got[0]) > 1024 {
		t.Errorf("the router that reports here got %d updates, the first of %d bytes", len(got), proto.Size(got[0]))
	}
	if commands, full := countStateUpdates(elsewhere); commands+full != 0 {
		t.Errorf("the router that reports elsewhere was sent %d updates with commands and %d full states", commands, full)
	}
	// It is sent to any router on request.
	h.handleRequest(elsewhere, &fleetpb.FollowRequest{Have: 1, Fetch: true})
	if commands, full := countStateUpdates(elsewhere); commands != 1 || full != 0 {
		t.Errorf("the router that fetches was sent %d updates with commands and %d full states", commands, full)
	}
	// A router that lost an update fetches it again.
	h.handleRequest(here, &fleetpb.FollowRequest{Have: 1, Fetch: true, Load: &fleetpb.Load{}})
	if commands, _ := countStateUpdates(here); commands != 1 {
		t.Error("a lost update was not sent again on request")
	}
}

// The leader assigns places to the servers that are ready, one command at a time.
// Other processes propose nothing.
func TestOnlyTheLeaderChangesPlaces(t *testing.T) {
	h, _ := newTestHub()
	var proposed []*fleetpb.Command
	var done []func(error)
	h.propose = func(cmd *fleetpb.Command, then func(error)) {
		proposed, done = append(proposed, cmd), append(done, then)
	}
	h.merge(serverAnnouncement("x", 1, inventory.Ready), true)
	h.flush()
	if len(proposed) != 0 {
		t.Fatal("a process that does not lead changes places")
	}
	h.setLeading(true)
	h.merge(serverAnnouncement("y", 1, inventory.Ready), true)
	h.merge(serverAnnouncement("z", 1, inventory.Ready), false)
	h.broadcastChanges()
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
		t.Fatalf("changes that arrived meanwhile are not batched: %v", proposed)
	}
	// A command that failed is proposed again at the next flush.
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
	h.setLeading(false)
	h.merge(serverAnnouncement("x", 2, inventory.Draining), true)
	if len(proposed) != 3 {
		t.Error("a change of places was proposed without need")
	}
}

// A router that is sent the hash of an unknown server requests the list of all
// servers.
func TestAllServersAreListedOnRequest(t *testing.T) {
	h, _ := newTestHub()
	s := newSession(h, "r")
	for i := range 3 {
		h.merge(serverAnnouncement(fmt.Sprint("s", i), 1, inventory.Ready), false)
	}
	h.broadcastChanges()
	drain(s)
	h.handleRequest(s, &fleetpb.FollowRequest{List: true})
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 3 {
		t.Errorf("the router was sent %v", got)
	}
}

// With many routers and many busy servers, load updates must stay within their
// bandwidth limit and still arrive before routers consider the load stale.
func TestTheLoadStaysWithinItsBandwidthLimit(t *testing.T) {
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
			h.handleRequest(s, &fleetpb.FollowRequest{Load: load})
			ss = append(ss, s)
		}
		h.broadcastChanges()
		for _, s := range ss {
			drain(s)
		}
		loadBytes, updates, last, longest := 0, 0, now, time.Duration(0)
		began := now
		for now.Sub(began) < 10*time.Second {
			now = now.Add(h.flushInterval())
			h.flush()
			for i, s := range ss {
				for _, u := range drain(s) {
					loadBytes += proto.Size(u.Load)
					if i == 0 && u.Load != nil {
						updates++
						longest = max(longest, now.Sub(last))
						last = now
					}
				}
			}
		}
		atMost := float64(loadBytesPerSecond) * 1.1 // One extra flush within the period.
		if total := proto.Size(load) * c.routers; total > loadBytesPerSecond {
			atMost = float64(total) // Once a second in any case.
		}
		if rate := float64(loadBytes) / 10; rate > atMost*1.1 {
			t.Errorf("%d routers, %d servers: %.0f bytes/s", c.routers, c.servers, rate)
		}
		if longest > maxLoadInterval+maxFlushInterval || updates == 0 {
			t.Errorf("%d routers, %d servers: %d load updates, at most %s apart", c.routers, c.servers, updates, longest)
		}
	}
}
