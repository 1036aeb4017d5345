package directory

import (
	"fmt"
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
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// pair is the hubs of two directory processes in one group, d:1 and d:2, at one clock.
type pair struct {
	a, b *hub
	now  time.Time
}

func newPair() *pair {
	p := &pair{now: time.Unix(1_700_000_000, 0)}
	members := []string{"d:1", "d:2"}
	for i, h := range []**hub{&p.a, &p.b} {
		*h = newHub(hclog.NewNullLogger(), publication.New(), members[i], string(rune('a'+i)), func(*peer) {})
		(*h).now = func() time.Time { return p.now }
		(*h).groupChanged(members, "d:1")
	}
	return p
}

// call has one process call the other.
func (p *pair) call(from, to *hub, process string) *spreadCall {
	peer := from.peers[to.ownAddress]
	call := from.takeCall(peer)
	resp := &fleetpb.SpreadResponse{Process: process, List: to.receiveSpread(call.req)}
	from.finishCall(peer, call, resp, nil)
	to.broadcastChanges()
	return call
}

// A router follows two of the processes only, so a change must reach every process even
// if calls fail or a process starts again.
func TestChangesReachOtherProcessesDespiteFailedCalls(t *testing.T) {
	p := newPair()
	for i := range 3 {
		p.a.merge(serverAnnouncement(fmt.Sprint("s", i), 1, inventory.Ready), true)
	}
	p.a.broadcastChanges()
	p.call(p.a, p.b, "run 1")
	p.a.merge(serverAnnouncement("s1", 2, inventory.Draining), true)
	to := p.a.peers["d:2"]
	lost := p.a.takeCall(to)
	p.a.finishCall(to, lost, nil, errkind.New(errkind.Unreachable, "lost"))
	if got := p.b.table.Get("s1"); got.State != inventory.Ready {
		t.Fatal("the lost call arrived")
	}
	p.call(p.a, p.b, "run 1")
	if got := p.b.table.Get("s1"); got.State != inventory.Draining {
		t.Errorf("s1 is %s after the call was repeated", got.State)
	}
	if n := len(p.call(p.a, p.b, "run 1").req.Announcements); n != 0 {
		t.Errorf("%d announcements were sent again after the acknowledgement", n)
	}
	// The other process has started again and knows no server.
	p.b.table = inventory.New()
	p.call(p.a, p.b, "run 2")
	if n := len(p.call(p.a, p.b, "run 2").req.Announcements); n != 3 {
		t.Errorf("a process that started again was sent %d servers, want 3", n)
	}
}

// Guards against server tables that differ for good: a process that was cut off took an announcement by
// another writer under the id of a server, older than the server's own. The server's later announcements
// change nothing where they arrive, so that the process is told its id alone and keeps the wrong address.
func TestServerTablesThatDifferBecomeEqual(t *testing.T) {
	p := newPair()
	now := time.Unix(1_700_000_000, 0)
	p.a.now = func() time.Time { return now }
	p.b.now = p.a.now
	for i := range 40 {
		p.a.merge(serverAnnouncement(fmt.Sprint("s", i), 5, inventory.Ready), true)
	}
	p.a.broadcastChanges()
	p.call(p.a, p.b, "run 1")
	foreign := serverAnnouncement("s7", 6, inventory.Ready)
	foreign.Address = "elsewhere:1"
	p.b.table.Merge(foreign) // What it relayed itself was lost.
	for sequence := uint64(7); now.Sub(time.Unix(1_700_000_000, 0)) < 10*time.Second; sequence++ {
		now = now.Add(250 * time.Millisecond)
		p.a.merge(serverAnnouncement("s7", sequence, inventory.Ready), true)
		p.call(p.a, p.b, "run 1")
	}
	if got := p.b.table.Get("s7").Address; got != "s7:1" {
		t.Errorf("after 10 s the other process has s7 at %s, want s7:1", got)
	}
}

// Guards against a process that has started and whose link the others keep full for good: each sent it all
// recent origins and servers in one call, which did not fit the link in its time, and sent them again.
func TestAProcessThatStartsIsSentWhatFitsItsLink(t *testing.T) {
	p := newPair()
	const servers, streams, maxBytes = 300, 5000, 16 << 10
	for i := range servers {
		p.a.merge(serverAnnouncement(fmt.Sprint("server-with-a-usual-name-", i), 1, inventory.Ready), true)
	}
	p.a.broadcastChanges()
	var records []streamorigin.Record
	for i := range streams {
		records = append(records, streamorigin.Record{Stream: streamorigin.Stream(i + 1), Origin: streamorigin.Origin{Service: "chat", Version: "v1"}})
	}
	to := p.a.peers["d:2"]
	to.addOrigins(records)
	sent := 0
	for calls := 0; ; calls++ {
		call := p.a.takeCall(to)
		if size := proto.Size(call.req); size > maxBytes {
			t.Fatalf("call %d has %d bytes, at most %d are to be sent", calls, size, maxBytes)
		}
		if calls%3 == 0 {
			p.a.finishCall(to, call, nil, errkind.New(errkind.Unreachable, "lost"))
			continue
		}
		p.a.finishCall(to, call, &fleetpb.SpreadResponse{Process: "run 1", List: p.b.receiveSpread(call.req)}, nil)
		sent += len(call.origins)
		if !call.more {
			break
		}
		select {
		case <-to.wake:
		default:
			t.Fatalf("call %d was not followed at once, although more is to be sent", calls)
		}
	}
	if n := p.b.table.Len(); n != servers || sent != streams {
		t.Errorf("%d servers and %d origins arrived, want %d and %d", n, sent, servers, streams)
	}
}

// Guards against a departure that is acknowledged while routers use the server: both processes that a
// router follows, of five, are not among the majority that has the change. The acknowledgement waits until one
// of any two has it, and no longer than until every other process was tried.
func TestALeaveIsAcknowledgedOnceEachRouterFollowsAProcessThatHasIt(t *testing.T) {
	h, _ := newTestHub()
	h.groupChanged([]string{"d:1", "d:2", "d:3", "d:4", "d:5"}, "d:1")
	h.merge(serverAnnouncement("x", 1, inventory.Draining), true)
	acked := h.relayed.done
	closed := func() bool {
		select {
		case <-acked:
			return true
		default:
			return false
		}
	}
	answer := func(answers ...bool) {
		t.Helper()
		for i, ok := range answers {
			if closed() {
				t.Fatalf("answers %v: acknowledged after %d calls", answers, i)
			}
			for _, c := range h.takeCall(h.peers[fmt.Sprint("d:", i+2)]).acks {
				c.record(ok)
			}
		}
	}
	answer(true, true, true)
	if !closed() {
		t.Error("not acknowledged though four of five processes have the change")
	}
	// One that is lost leaves two processes without the change until the last one was tried.
	h.merge(serverAnnouncement("z", 1, inventory.Draining), true)
	acked = h.relayed.done
	answer(true, false, true, true)
	if !closed() {
		t.Error("not acknowledged though every other process was tried")
	}
	// A process that leaves the group does not hold up acknowledgements.
	h.merge(serverAnnouncement("y", 1, inventory.Draining), true)
	acked = h.relayed.done
	h.groupChanged([]string{"d:1"}, "d:1")
	if !closed() {
		t.Error("an acknowledgement waits for processes that left the group")
	}
}

// Heartbeats arrive at one process and must keep a server alive at the routers of all.
func TestHeartbeatsReachTheRoutersOfOtherProcesses(t *testing.T) {
	p := newPair()
	s := newSession(p.b, "r")
	p.b.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	p.a.merge(serverAnnouncement("x", 1, inventory.Ready), true)
	p.a.broadcastChanges()
	p.call(p.a, p.b, "run 1")
	p.now = p.now.Add(1200 * time.Millisecond)
	p.a.merge(serverAnnouncement("x", 2, inventory.Ready), true)
	p.call(p.a, p.b, "run 1")
	drain(s)
	p.b.flush()
	if got := drain(s); len(got) == 0 || !slices.Equal(got[len(got)-1].Heard, []uint32{uint32(routing.Hash("x"))}) {
		t.Errorf("the router was sent %v", got)
	}
	if at := p.b.table.Get("x").LastSeen; !at.Equal(p.now) {
		t.Errorf("the last heartbeat was %s ago", p.now.Sub(at))
	}
	// It is not passed on a second time.
	if call := p.call(p.b, p.a, "run 1"); len(call.req.Heard) != 0 || len(call.req.Announcements) != 0 {
		t.Errorf("the other process passes on %v", call.req)
	}
	// A heartbeat of a server that the other process does not know is answered with a
	// request for all servers.
	p.b.idByHash, p.b.table = map[uint32]string{}, inventory.New()
	p.a.merge(serverAnnouncement("x", 3, inventory.Ready), true)
	p.call(p.a, p.b, "run 1")
	if call := p.call(p.a, p.b, "run 1"); len(call.req.Announcements) != 1 || p.b.table.Get("x") == nil {
		t.Errorf("an unknown server was not announced: %v", call.req)
	}
}

// Each router reports to one process, and hears from it the sum over all processes. What
// a silent process reported stops counting: its routers report elsewhere by then, while
// the number of routers is rather too high than too low.
func TestLoadsAndRoutersAddUpOverTheProcesses(t *testing.T) {
	p := newPair()
	report := func(h *hub, name string, n uint32) *session {
		s := newSession(h, name)
		h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{Servers: []uint32{7}, InFlight: []uint32{n}}})
		return s
	}
	here := report(p.a, "here", 5)
	report(p.b, "there", 3)
	report(p.b, "there too", 4)
	p.call(p.b, p.a, "run 1")
	check := func(when string, load uint32, routers uint32) {
		t.Helper()
		drain(here)
		p.a.nextLoadAt = time.Time{}
		p.a.flush()
		got := drain(here)
		u := got[len(got)-1]
		if len(u.Load.GetServers()) != 1 || u.Load.InFlight[0] != load || u.Routers != routers {
			t.Errorf("%s: the router was sent load %v and %d routers, want %d and %d", when, u.Load, u.Routers, load, routers)
		}
	}
	check("both processes report", 12, 3)
	if dcs := p.a.dataCentresOf(p.a.members); !slices.Equal(dcs, []string{"a", "b"}) {
		t.Errorf("data centres %v", dcs)
	}
	p.now = p.now.Add(peerLoadTTL)
	check("the other process is silent", 5, 3)
	p.now = p.now.Add(routerCountTTL)
	check("the other process is gone", 5, 1)
}

// The pattern: 195 routers and 122 servers before five processes on VMs with a tenth of
// a core and 6 Mbit/s. In a calm second a process sends its share of routers at most
// 3 Mbit/s and 600 messages; while over half of them reconnect, it sends each of those
// the servers once and nothing to the others.
func TestAProcessServesItsShareOfALargeFleet(t *testing.T) {
	const (
		reporting, following, servers = 39, 39, 122
		maxBytes, maxMessages         = 3_000_000 / 8, 600
	)
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	load := &fleetpb.Load{}
	for i := range servers {
		id := fmt.Sprintf("i-%010x", i)
		h.merge(serverAnnouncement(id, 1, inventory.Ready), true)
		load.Servers, load.InFlight = append(load.Servers, uint32(routing.Hash(id))), append(load.InFlight, 9)
	}
	h.broadcastChanges()
	var sessions []*session
	open := func(i int) *session {
		s := newSession(h, fmt.Sprint("r", i))
		if i < reporting {
			h.handleRequest(s, &fleetpb.FollowRequest{Load: load})
		}
		return s
	}
	for i := range reporting + following {
		sessions = append(sessions, open(i))
	}
	sent := func() (messages, bytes, announcements int) {
		for _, s := range sessions {
			for _, u := range drain(s) {
				messages++
				bytes += proto.Size(u)
				announcements += len(u.Announcements)
			}
		}
		return messages, bytes, announcements
	}
	second := func() (messages, bytes, announcements int) {
		for end, beat := now.Add(time.Second), 0; now.Before(end); now = now.Add(h.flushInterval()) {
			for i := range servers {
				if i%4 == beat%4 { // Each server is heard from every 1.2 s.
					h.refreshed[fmt.Sprintf("i-%010x", i)] = true
				}
			}
			beat++
			pings := map[*session]uint64{}
			for _, s := range sessions {
				pings[s] = 1
			}
			if beat%2 == 0 { // Each router pings every 300 ms.
				h.confirmRouters(pings, publication.Mark{Revision: 1}, nil)
			}
			h.flush()
		}
		return sent()
	}
	second()
	second()
	messages, bytes, announcements := second()
	t.Logf("calm: %d messages and %d bytes a second", messages, bytes)
	if messages > maxMessages || bytes > maxBytes || announcements > 0 {
		t.Errorf("in a calm second %d messages, %d bytes and %d announcements were sent", messages, bytes, announcements)
	}
	reconnected := 0
	for i := range sessions {
		if i%2 == 0 {
			h.closeSession(sessions[i])
			sessions[i] = open(i)
			if i < reporting {
				reconnected++
			}
		}
	}
	_, burst, first := sent()
	messages, bytes, announcements = second()
	if got := first + announcements; got != reconnected*servers {
		t.Errorf("%d routers that report reconnected and were sent %d announcements, want %d", reconnected, got, reconnected*servers)
	}
	// What is sent at once does not delay the heartbeats of the replication group.
	if limit := 2 * bulkBurstBytes; burst > limit || messages > maxMessages || bytes > 2*maxBytes {
		t.Errorf("%d bytes were sent at once, and %d messages and %d bytes within a second", burst, messages, bytes)
	}
}

// Processes that have just started and have no leader yet leave their VMs to the
// election: a router serves nothing before its configuration is confirmed.
func TestWithoutALeaderRoutersAreSentNoLists(t *testing.T) {
	h, _ := newTestHub()
	h.groupChanged([]string{"d:1", "d:2"}, "")
	s := newSession(h, "r")
	h.merge(serverAnnouncement("x", 1, inventory.Ready), true)
	h.broadcastChanges()
	drain(s)
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	h.flush()
	for _, u := range drain(s) {
		if len(u.Announcements) > 0 || u.InQuorum {
			t.Errorf("without a leader the router was sent %v", u)
		}
	}
	if h.flushInterval() != maxFlushInterval {
		t.Errorf("without a leader it flushes every %s", h.flushInterval())
	}
	h.groupChanged([]string{"d:1", "d:2"}, "d:2")
	h.flush()
	announcements := 0
	for _, u := range drain(s) {
		announcements += len(u.Announcements)
	}
	if announcements != 1 {
		t.Errorf("%d announcements were sent once there is a leader, want 1", announcements)
	}
}
