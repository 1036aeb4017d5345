package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// stateOf returns the state of a server in the table of a process; 0 if it is unknown there.
func (c *cluster) stateOf(host, id string) (state inventory.State) {
	c.t.Helper()
	h := c.nodes[host].p.hub
	if err := h.do(context.Background(), func() {
		if s := h.table.Get(id); s != nil {
			state = s.State
		}
	}); err != nil {
		c.t.Fatal(err)
	}
	return state
}

func (c *cluster) announce(host string, s inventory.Server) {
	c.t.Helper()
	s.LastSeen = time.Now()
	if err := c.nodes[host].p.Announce(context.Background(), s); err != nil {
		c.t.Fatalf("announce %s: %v", s.ID, err)
	}
}

func (c *cluster) leave(host, id string, born int64) {
	c.t.Helper()
	c.eventually("record that "+id+" left", func() bool { return c.nodes[host].p.Leave(context.Background(), id, born) == nil })
}

// Guards against a server that has left and is in use again: all processes restart, and an
// announcement arrives that is older than the acknowledged leave.
func TestAServerThatLeftStaysGoneThroughARestartOfAll(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	for i, id := range []string{"leaves", "drains", "unknown"} {
		if id != "unknown" {
			c.announce(hosts[i], serverAnnouncement(id, 5, inventory.Ready))
		}
	}
	c.leave(hosts[1], "leaves", 0)
	c.leave(hosts[2], "unknown", 1)
	c.announce(hosts[2], serverAnnouncement("drains", 6, inventory.Draining))
	disks := map[string]*node{}
	for h, n := range c.nodes {
		disks[h] = n
		c.stop(h)
	}
	for h, n := range disks {
		c.start(h, n.fs)
	}
	recorded := map[string]inventory.State{"leaves": inventory.Gone, "drains": inventory.Draining, "unknown": inventory.Gone}
	for id, want := range recorded {
		// The document may be read before: departures are recorded after it, and are no part of the revision.
		c.eventually("read the record of "+id, func() bool { return c.stateOf(hosts[0], id) == want })
	}
	c.awaitDocument(hosts[0], "one")
	for id, want := range recorded {
		c.announce(hosts[0], serverAnnouncement(id, 5, inventory.Ready))
		if got := c.stateOf(hosts[0], id); got != want {
			t.Errorf("%s is %s after an announcement that is older than its leave, want %s", id, got, want)
		}
	}
	next := serverAnnouncement("leaves", 1, inventory.Ready)
	next.Born = 2
	c.announce(hosts[0], next)
	if got := c.stateOf(hosts[0], "leaves"); got != inventory.Ready {
		t.Errorf("the next incarnation is %s", got)
	}
}

// Guards against a server that left and stays in use at a process that has restarted, and is sent a late
// announcement before it has read the record.
func TestALateAnnouncementBeforeTheRecordOfALeaveIsCorrected(t *testing.T) {
	h, _ := newTestHub()
	recorded := map[string]inventory.State{"leaves": inventory.Gone, "drains": inventory.Draining}
	for id, state := range recorded {
		late := serverAnnouncement(id, 5, inventory.Ready)
		h.merge(late, true)
		if got := h.table.Get(id).State; got != inventory.Ready {
			t.Errorf("%s is %s at a process that has not read the record", id, got)
		}
		applyCommand(t, h, publication.DepartCommand([]inventory.Departure{{ID: id, Born: late.Born, Sequence: 6, State: state}}))
		h.stateChanged()
		for range 2 {
			if got := h.table.Get(id).State; got != state {
				t.Errorf("%s is %s at a process that has read the record, want %s", id, got, state)
			}
			h.merge(late, true)
		}
	}
}

// Guards against the acknowledgement of a leave that the process alone knows of: the calls to all
// others fail, and nothing is recorded.
func TestALeaveWithoutAQuorumIsNotAcknowledged(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	c.announce(hosts[0], serverAnnouncement("x", 5, inventory.Ready))
	c.announce(hosts[0], serverAnnouncement("y", 5, inventory.Ready))
	c.stop(hosts[1])
	c.stop(hosts[2])
	ctx, cancel := context.WithTimeout(context.Background(), 2*changeTimeout)
	defer cancel()
	if err := c.nodes[hosts[0]].p.Leave(ctx, "x", 0); err == nil {
		t.Error("a leave was acknowledged that one of three processes has")
	}
	if err := c.nodes[hosts[0]].p.Announce(ctx, serverAnnouncement("y", 6, inventory.Draining)); err == nil {
		t.Error("the announcement of a draining server was acknowledged that one of three processes has")
	}
	// Its routers are told all the same.
	if got := c.stateOf(hosts[0], "x"); got != inventory.Gone {
		t.Errorf("x is %s", got)
	}
}

// Guards against routers that go on with a server which left, since the process that received the
// leave stopped before it told others: whoever learns of the record tells its routers.
func TestARecordedDepartureIsToldToRouters(t *testing.T) {
	h, _ := newTestHub()
	s := newSession(h, "r")
	h.merge(serverAnnouncement("known", 25, inventory.Ready), true)
	h.broadcastChanges()
	drain(s)
	applyCommand(t, h, &fleetpb.Command{Op: &fleetpb.Command_Depart{Depart: &fleetpb.Depart{Departures: []*fleetpb.Departure{
		{Id: "known", Born: 1, Sequence: 3, State: fleetpb.ServerState_GONE}, {Id: "not known here", Born: 1, State: fleetpb.ServerState_GONE},
	}}}})
	revision := h.machine.State().Revision
	h.stateChanged()
	told := map[string]fleetpb.ServerState{}
	for _, u := range drain(s) {
		for _, a := range u.Announcements {
			told[a.Id] = a.State
		}
	}
	if len(told) != 2 || told["known"] != fleetpb.ServerState_GONE || told["not known here"] != fleetpb.ServerState_GONE {
		t.Errorf("the router was told %v", told)
	}
	if h.machine.State().Revision != revision || revision != 0 {
		t.Errorf("revision %d: processes of earlier releases count no revision for a departure", revision)
	}
}

// Guards against a router that comes back and goes on with a server that left meanwhile, since it is
// told with the list of all servers: nothing came for 4 s where other lists had used up the bandwidth.
func TestAReturningRouterIsToldWhoLeftWhileItsListWaits(t *testing.T) {
	h, _ := newTestHub()
	for i := range 200 {
		h.merge(serverAnnouncement(fmt.Sprint("s", i), 1, inventory.Ready), false)
	}
	h.leave("s7", 1)
	h.broadcastChanges()
	h.maySendBulk()
	h.bulkBytes = -4 * bulkBytesPerSecond // Other lists have used up 4 s.
	s := newSession(h, "returns")
	drain(s)
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	h.sendLists()
	got := drain(s)
	if len(got) != 1 || len(got[0].Announcements) != 1 || got[0].Announcements[0].Id != "s7" || got[0].Announcements[0].State != fleetpb.ServerState_GONE || got[0].WholeList {
		t.Fatalf("the router was sent %v, want that s7 is gone, once", got)
	}
	h.bulkBytes = bulkBurstBytes
	h.sendLists()
	if got := drain(s); len(got) != 1 || len(got[0].Announcements) != 200 {
		t.Errorf("then it was sent %v, want the whole list", got)
	}
}

func applyCommand(t *testing.T, h *hub, cmd *fleetpb.Command) {
	t.Helper()
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	h.machine.Apply(data)
}

// Guards against a log that grows with each of a thousand servers that leave together, and against
// departures that are kept for good.
func TestDeparturesAreRecordedTogetherAndForgotten(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	var proposed []*fleetpb.Command
	var done []func(error)
	h.submit = func(cmd *fleetpb.Command, f func(error)) { proposed, done = append(proposed, cmd), append(done, f) }
	h.propose = h.submit
	leave := func(id string) <-chan error {
		d, change := h.leave(id, 1)
		return h.recordDeparture(d, change)
	}
	first := leave("first")
	var others []<-chan error
	for i := range 1000 {
		others = append(others, leave(fmt.Sprint("s", i)))
	}
	if len(proposed) != 1 {
		t.Fatalf("%d commands in flight, want 1", len(proposed))
	}
	finish := func(err error) {
		if err == nil {
			applyCommand(t, h, proposed[0])
			h.stateChanged()
		}
		f := done[0]
		proposed, done = proposed[1:], done[1:]
		f(err)
	}
	finish(errkind.New(errkind.NoQuorum, "lost"))
	if err := <-first; err == nil {
		t.Error("a leave that was not recorded was acknowledged")
	}
	first = leave("first") // The server sends it again.
	finish(nil)
	finish(nil)
	for _, r := range append(others, first) {
		if err := <-r; err != nil {
			t.Fatal(err)
		}
	}
	if n := len(h.machine.State().Departures); n != 1001 || len(proposed) != 0 {
		t.Fatalf("%d departures recorded, want 1001; %d commands in flight", n, len(proposed))
	}
	if leave("s7"); len(proposed) != 0 {
		t.Error("a leave that is recorded was proposed again")
	}
	h.setLeading(true)
	now = now.Add(departureTTL - time.Second)
	if h.forgetDepartures(); len(proposed) != 0 {
		t.Error("departures were forgotten early")
	}
	now = now.Add(time.Second)
	h.forgetDepartures()
	if len(proposed) != 1 {
		t.Fatal("no departure was forgotten")
	}
	finish(nil)
	if n := len(h.machine.State().Departures); n != 0 || len(h.departures.recordedAt) != 0 {
		t.Errorf("%d departures are kept, %d here", n, len(h.departures.recordedAt))
	}
}

// Guards against a draining that is acknowledged without a record: a server drains, is ready again and
// drains once more; that record fails, and the announcement is sent again, to the same process or to
// another one that has heard of it.
func TestASecondDrainingIsRecordedWhenItIsSentAgain(t *testing.T) {
	for _, sentAgainTo := range []string{"the same process", "another process"} {
		first, _ := newTestHub()
		other, _ := newTestHub()
		hubs := []*hub{first, other}
		fails := false
		for _, h := range hubs {
			h.submit = func(cmd *fleetpb.Command, done func(error)) {
				if fails {
					done(errkind.New(errkind.NoQuorum, "no leader"))
					return
				}
				for _, h := range hubs {
					applyCommand(t, h, cmd)
					h.stateChanged()
				}
				done(nil)
			}
		}
		announce := func(h *hub, sequence uint64, state inventory.State) error {
			s := serverAnnouncement("x", sequence, state)
			change := h.merge(s, true)
			for _, o := range hubs {
				if o != h {
					o.merge(s, false)
				}
			}
			if d, leaving := s.Departure(); leaving {
				return <-h.recordDeparture(d, change)
			}
			return nil
		}
		for i, state := range []inventory.State{inventory.Ready, inventory.Draining, inventory.Ready} {
			if err := announce(first, uint64(i+1), state); err != nil {
				t.Fatal(err)
			}
		}
		fails = true
		if announce(first, 4, inventory.Draining) == nil {
			t.Fatal("a draining was acknowledged without a record")
		}
		fails = false
		to := first
		if sentAgainTo == "another process" {
			to = other
		}
		if err := announce(to, 4, inventory.Draining); err != nil {
			t.Fatal(err)
		}
		if got := to.machine.State().Departures["x"]; got.Sequence != 4 {
			t.Errorf("sent again to %s: acknowledged with the record of sequence %d, want 4", sentAgainTo, got.Sequence)
		}
	}
}

// Guards against a command for each heartbeat of a draining server.
func TestADrainingServerIsRecordedOnce(t *testing.T) {
	h, _ := newTestHub()
	proposed := 0
	h.submit = func(cmd *fleetpb.Command, done func(error)) {
		proposed++
		applyCommand(t, h, cmd)
		h.stateChanged()
		done(nil)
	}
	h.merge(serverAnnouncement("x", 1, inventory.Ready), true)
	for seq := uint64(2); seq < 10; seq++ {
		s := serverAnnouncement("x", seq, inventory.Draining)
		d, _ := s.Departure()
		if err := <-h.recordDeparture(d, h.merge(s, true)); err != nil {
			t.Fatal(err)
		}
	}
	if proposed != 1 {
		t.Errorf("%d commands for 8 heartbeats, want 1", proposed)
	}
	if h.merge(serverAnnouncement("x", 12, inventory.Ready), true); h.table.Get("x").State != inventory.Ready {
		t.Error("a server that is ready again is not used")
	}
	s := serverAnnouncement("x", 13, inventory.Draining)
	d, _ := s.Departure()
	<-h.recordDeparture(d, h.merge(s, true))
	h.merge(serverAnnouncement("x", 12, inventory.Ready), true)
	if got := h.table.Get("x").State; proposed != 2 || got != inventory.Draining {
		t.Errorf("%d commands, want 2; x is %s after an announcement older than its second draining", proposed, got)
	}
}

// Guards against a router that comes back and goes on with a server that left meanwhile, since more servers
// left than fit the message that it is sent while its list waits: it was sent none of them.
func TestAReturningRouterIsToldWhoLeftLastDuringARelease(t *testing.T) {
	h, _ := newTestHub()
	now := h.now()
	h.now = func() time.Time { return now }
	name := func(i int) string { return fmt.Sprint("advisor-voice-", i) }
	for i := range 143 {
		h.merge(serverAnnouncement(name(i), 1, inventory.Ready), false)
	}
	const left = 64 // 45 % of them, one each second.
	for i := range left {
		now = now.Add(time.Second)
		h.leave(name(i), 1)
		h.broadcastChanges()
	}
	h.maySendBulk()
	h.bulkBytes = -4 * bulkBytesPerSecond
	s := newSession(h, "returns")
	drain(s)
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	told := map[string]bool{}
	for _, u := range drain(s) {
		if size := proto.Size(u); size > maxDeparturesBytes+100 {
			t.Errorf("a message of %d bytes was sent while the bandwidth is used up", size)
		}
		for _, a := range u.Announcements {
			told[a.Id] = a.State == fleetpb.ServerState_GONE
		}
	}
	for i := left - 20; i < left; i++ {
		if !told[name(i)] {
			t.Errorf("%s left %d s ago, and the router was not told: it was told of %d servers", name(i), left-1-i, len(told))
		}
	}
}
