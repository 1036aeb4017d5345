package directory

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Guards against a leave in the socket of a stopped process that ends the server's next start,
// once the process goes on: the server had its leave acknowledged elsewhere and started again
// under its id. A leave need not name the incarnation.
func TestALeaveWhoseCallerHasGoneEndsNoLaterIncarnation(t *testing.T) {
	var h *pausedHandler
	c := startPrepared(t, func(p *Process) http.Handler {
		if p.conf.Name != hosts[0] {
			return http.NotFoundHandler()
		}
		h = newPausedHandler(func(ctx context.Context) error { return p.Leave(ctx, "x", 0) })
		return h
	})
	c.publish(hosts[1], 1, "one")
	c.announce(hosts[1], serverAnnouncement("x", 5, inventory.Ready))
	h.send(t, c.nodes[hosts[0]].p.OperationsAddress())
	c.leave(hosts[1], "x", 0)
	next := serverAnnouncement("x", 1, inventory.Ready)
	next.Born = 2
	c.announce(hosts[1], next)
	c.eventually("relay the next start", func() bool { return c.stateOf(hosts[0], "x") == inventory.Ready })
	close(h.wake)
	err := <-h.outcome
	time.Sleep(300 * time.Millisecond)
	if got := c.stateOf(hosts[1], "x"); got != inventory.Ready {
		t.Errorf("the next start of x is %s after a leave whose caller has gone (outcome %v)", got, err)
	}
}

// Guards against a leave that is sent again, after its answer was lost, to a process that has just
// started, and ends the server's next start, which that process does not know yet.
func TestALeaveThatIsSentAgainEndsNoLaterIncarnation(t *testing.T) {
	knows, _ := newTestHub()
	s := serverAnnouncement("x", 5, inventory.Ready)
	knows.merge(s, true)
	apply := func(h *hub, d inventory.Departure) {
		applyCommand(t, h, &fleetpb.Command{Op: &fleetpb.Command_Depart{Depart: &fleetpb.Depart{Departures: []*fleetpb.Departure{inventory.EncodeDeparture(d)}}}})
		h.stateChanged()
	}
	d, _ := knows.leave("x", 0)
	apply(knows, d)
	next := serverAnnouncement("x", 1, inventory.Ready)
	next.Born = knows.now().UnixMilli() - 1000
	knows.merge(next, true)
	started, _ := newTestHub()
	apply(started, d) // It has read the record, but not heard of the next start.
	again, change := started.leave("x", 0)
	if recorded := started.machine.State().Departures["x"]; again.Supersedes(recorded) {
		apply(knows, again)
	}
	if got := knows.table.Get("x").State; got != inventory.Ready {
		t.Errorf("the next start of x is %s after a leave that was recorded before was sent again (%s there, %+v)", got, change, again)
	}
}

// Guards against processes that differ for good about a server: one took it for draining, by an
// announcement that arrived late, and the server's heartbeats, which are relayed as alive and
// unchanged, never correct that.
func TestALateDrainingAnnouncementShutsNoReadyServerOut(t *testing.T) {
	direct, _ := newTestHub()
	other, _ := newTestHub()
	h := []*hub{direct, other}
	for _, h := range h {
		h.merge(serverAnnouncement("x", 1, inventory.Ready), false)
	}
	submit := func(cmd *fleetpb.Command, done func(error)) {
		for _, h := range h {
			applyCommand(t, h, cmd)
			h.stateChanged()
		}
		done(nil)
	}
	direct.submit = submit
	direct.merge(serverAnnouncement("x", 6, inventory.Ready), true)
	late := serverAnnouncement("x", 5, inventory.Draining)
	d, _ := late.Departure()
	<-direct.recordDeparture(d, direct.merge(late, true))
	for seq := uint64(7); seq < 12; seq++ {
		direct.merge(serverAnnouncement("x", seq, inventory.Ready), true)
		other.receiveSpread(&fleetpb.SpreadRequest{Heard: []uint32{uint32(routing.Hash("x"))}})
	}
	if a, b := direct.table.Get("x").State, other.table.Get("x").State; a != b {
		t.Errorf("after five more heartbeats x is %s where they arrive and %s at another process", a, b)
	}
}

// Guards against a process of an earlier release that never hears of a departure: it ignores the command,
// and the process that received the leave has stopped since.
func TestARecordedDepartureIsRelayedToProcessesOfEarlierReleases(t *testing.T) {
	h, p := newTestHub()
	h.merge(serverAnnouncement("x", 1, inventory.Ready), false)
	relayedTo(h, p)
	d := inventory.Departure{ID: "x", Born: 1, Sequence: 9, State: inventory.Gone}
	applyCommand(t, h, publication.DepartCommand([]inventory.Departure{d}))
	h.stateChanged()
	if got := relayedTo(h, p); len(got) != 1 {
		t.Errorf("the other process was sent %v", got)
	}
}

// Guards against a process that has started again, reads from the record that a server left, and does not
// take over from the others which service and version it had: a router that starts there counts one
// version fewer, and resumes a stream of unknown origin at another one.
func TestAStartedProcessLearnsTheVersionOfAServerThatLeft(t *testing.T) {
	knows, _ := newTestHub()
	s := serverAnnouncement("x", 5, inventory.Ready)
	s.Version = "v2"
	knows.merge(s, true)
	d, _ := knows.leave("x", 1)
	started, _ := newTestHub()
	applyCommand(t, started, publication.DepartCommand([]inventory.Departure{d}))
	started.mergeDepartures() // As when it begins to run.
	started.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Announcements: knows.allAnnouncements()})
	if got := started.table.Get("x"); got.Version != "v2" || got.Service != "chat" {
		t.Errorf("x is known with service %q and version %q, want those that the other process has sent", got.Service, got.Version)
	}
}

// Guards against departures that are kept without a limit, and against the loss of the newest ones.
func TestTheOldestDeparturesAreForgottenBeyondTheLimit(t *testing.T) {
	h, _ := newTestHub()
	h.setLeading(true)
	var proposed []*fleetpb.Command
	h.propose = func(cmd *fleetpb.Command, _ func(error)) { proposed = append(proposed, cmd) }
	now := h.now()
	h.departures.recordedAt = map[string]recordedDeparture{}
	for i := range maxDepartures + 3 {
		d := inventory.Departure{ID: string(rune('a'+i%26)) + string(rune(0x4e00+i)), Born: 1, State: inventory.Gone}
		h.departures.recordedAt[d.ID] = recordedDeparture{d, now.Add(-departureTTL/2 + 1000*1000)}
		if i < 3 {
			h.departures.recordedAt[d.ID] = recordedDeparture{d, now.Add(-departureTTL/2 - 1000*1000)}
		}
	}
	h.forgetDepartures()
	if len(proposed) != 1 || len(proposed[0].GetDepart().GetForgotten()) != 3 {
		t.Fatalf("%d commands, want one that forgets 3", len(proposed))
	}
	for _, m := range proposed[0].GetDepart().Forgotten {
		if r := h.departures.recordedAt[m.Id]; !r.at.Before(now.Add(-departureTTL / 2)) {
			t.Errorf("%s was recorded later than others that are kept", m.Id)
		}
	}
	proposed = nil
	h.setLeading(false)
	if h.forgetDepartures(); len(proposed) != 0 {
		t.Error("a process that does not lead forgets departures")
	}
}

// Guards against a leave of an earlier start that is recorded as one of the later start, or not at all.
func TestALeaveOfAnEarlierStartIsRecordedAsThat(t *testing.T) {
	h, _ := newTestHub()
	s := serverAnnouncement("x", 1, inventory.Ready)
	s.Born = 2
	h.merge(s, true)
	if d, change := h.leave("x", 1); d.Born != 1 || d.State != inventory.Gone || change != inventory.Stale {
		t.Errorf("departure %+v, %s", d, change)
	}
	if got := h.table.Get("x").State; got != inventory.Ready {
		t.Errorf("the later start is %s", got)
	}
}

// Guards against a leave that names no start and is recorded as that of another one: the process has
// just started and does not know the server, which others know.
func TestALeaveWithoutAStartWaitsUntilAllServersAreKnown(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	h := c.nodes[hosts[0]].p.hub
	if err := h.do(context.Background(), func() { h.knowsAllServers, h.quorumSince = false, h.now() }); err != nil {
		t.Fatal(err)
	}
	if err := c.nodes[hosts[0]].p.Leave(context.Background(), "x", 0); errkind.Of(err) != errkind.NotReady || c.stateOf(hosts[0], "x") != 0 {
		t.Errorf("the leave of a server that may be known elsewhere: %v", err)
	}
	if err := c.nodes[hosts[0]].p.Leave(context.Background(), "y", 1); err != nil || c.stateOf(hosts[0], "y") != inventory.Gone {
		t.Errorf("a leave that names its start: %v", err)
	}
	c.leave(hosts[0], "x", 0)
}

// Guards against a process that ends the sessions of all its routers, since it tells them of each server on
// its own: many servers left at once, or another process relays those that left before this one started.
// The routers go on with these servers until they have another list.
func TestManyServersThatLeaveAtOnceEndNoSession(t *testing.T) {
	const left = 143
	for name, depart := range map[string]func(h *hub){
		"relayed": func(h *hub) {
			var gone []*fleetpb.Announcement
			for i := range left {
				s := serverAnnouncement(fmt.Sprint("s", i), 9, inventory.Gone)
				gone = append(gone, inventory.Encode(&s, h.now()))
			}
			h.receiveSpread(&fleetpb.SpreadRequest{Announcements: gone})
		},
		"recorded": func(h *hub) {
			var gone []inventory.Departure
			for i := range left {
				gone = append(gone, inventory.Departure{ID: fmt.Sprint("s", i), Born: 1, Sequence: 9, State: inventory.Gone})
			}
			applyCommand(t, h, publication.DepartCommand(gone))
			h.stateChanged()
		},
	} {
		h, p := newTestHub()
		for i := range left {
			h.merge(serverAnnouncement(fmt.Sprint("s", i), 1, inventory.Ready), false)
		}
		h.broadcastChanges()
		relayedTo(h, p)
		s, ended := newSession(h, "r"), false
		s.cancel = func() { ended = true }
		drain(s)
		depart(h)
		told := map[string]bool{}
		for _, u := range drain(s) {
			for _, a := range u.Announcements {
				told[a.Id] = a.State == fleetpb.ServerState_GONE
			}
		}
		if ended || len(told) != left {
			t.Errorf("%s: session ended %v, the router was told of %d of %d servers that left", name, ended, len(told), left)
		}
		if relayed := len(relayedTo(h, p)); name == "recorded" && relayed != left {
			t.Errorf("%s: %d of %d servers were relayed", name, relayed, left)
		}
	}
}

// Guards against a router that goes on with servers that left while it had no session: it is told with the
// list of all servers, which it gets once it has reported, and its sessions end before that where the
// machine is overloaded.
func TestARouterIsToldWhoLeftWhenItsSessionOpens(t *testing.T) {
	h, _ := newTestHub()
	for _, id := range []string{"left", "stays"} {
		h.merge(serverAnnouncement(id, 1, inventory.Ready), false)
	}
	h.leave("left", 1)
	told := func(s *session) (ids []string) {
		for _, u := range drain(s) {
			for _, a := range u.Announcements {
				if a.State != fleetpb.ServerState_GONE {
					t.Errorf("the router was told that %s is %s", a.Id, a.State)
				}
				ids = append(ids, a.Id)
			}
		}
		return ids
	}
	if got := told(newSession(h, "r")); len(got) != 1 || got[0] != "left" {
		t.Errorf("the router was told of %v, want the server that left", got)
	}
	h.groupChanged(h.members, "")
	if got := told(newSession(h, "r")); len(got) != 0 {
		t.Errorf("the router was told of %v while there is no leader, whose election needs the link", got)
	}
}
