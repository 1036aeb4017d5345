package directory

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// handoffsSentTo returns the addresses of the newest update that has some, and whether there is one.
func handoffsSentTo(s *session) ([]string, bool) {
	var out []string
	sent := false
	for _, u := range drain(s) {
		if u.Handoffs != nil {
			out, sent = u.Handoffs.Addresses, true
		}
	}
	return out, sent
}

// Routers that take over requests are named to the others, at other processes as well, until
// they no longer do.
func TestRoutersThatTakeOverRequestsAreNamed(t *testing.T) {
	h, p := newTestHub()
	other, otherPeer := newTestHub()
	other.ownAddress = "d:2"
	spread := func(from *hub, peer *peer, to *hub) {
		call := from.takeCall(peer)
		to.receiveSpread(call.req)
		from.finishCall(peer, call, &fleetpb.SpreadResponse{Process: "run 1"}, nil)
	}
	ping := func(s *session, address string) {
		h.handleRequest(s, &fleetpb.FollowRequest{Ping: 1, Load: &fleetpb.Load{}, Handoff: address})
	}
	a, b, elsewhere := newSession(h, "a"), newSession(h, "b"), newSession(other, "c")
	ping(a, "a:7")
	ping(b, "b:7")
	other.handleRequest(elsewhere, &fleetpb.FollowRequest{Ping: 1, Load: &fleetpb.Load{}, Handoff: "c:7"})
	spread(h, p, other)
	spread(other, otherPeer, h)
	h.flush()
	other.flush()
	for s, want := range map[*session][]string{a: {"b:7", "c:7"}, b: {"a:7", "c:7"}, elsewhere: {"a:7", "b:7"}} {
		got, _ := handoffsSentTo(s)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("router %s was told of %v, want %v", s.router, got, want)
		}
	}
	h.flush()
	if got, sent := handoffsSentTo(a); sent {
		t.Errorf("unchanged addresses %v were sent again", got)
	}
	if h.takeCall(p).req.Handoffs != nil {
		t.Error("unchanged addresses were sent to the other process again")
	}
	// Router b no longer reaches a server, and router a ends.
	ping(b, "")
	h.closeSession(a)
	spread(h, p, other)
	h.flush()
	other.flush()
	if got, sent := handoffsSentTo(elsewhere); !sent || len(got) != 0 {
		t.Errorf("the router at the other process still has the addresses %v", got)
	}
	if got, _ := handoffsSentTo(b); !slices.Equal(got, []string{"c:7"}) {
		t.Errorf("router b was told of %v, want c:7", got)
	}
	// A process that has started again knows none, and is sent all.
	ping(b, "b:7")
	spread(h, p, other)
	call := h.takeCall(p)
	h.finishCall(p, call, &fleetpb.SpreadResponse{Process: "run 2"}, nil)
	if got := h.takeCall(p).req.Handoffs; got == nil || !slices.Equal(got.Addresses, []string{"b:7"}) {
		t.Errorf("a process that has started again was sent %v, want b:7", got)
	}
}

// The pattern: a large fleet, half of whose routers reach no server. Each router is named a
// few others, and all of these are named about equally often.
func TestHandoffsAreNamedEvenlyInALargeFleet(t *testing.T) {
	h, _ := newTestHub()
	const routers = 200
	var cut []*session
	for i := range routers {
		s := newSession(h, fmt.Sprint("r", i))
		address := fmt.Sprintf("10.0.0.%d:7", i)
		if i%2 == 0 {
			address = ""
			cut = append(cut, s)
		}
		h.handleRequest(s, &fleetpb.FollowRequest{Ping: 1, Handoff: address})
	}
	h.updateHandoffs()
	named := map[string]int{}
	for _, s := range cut {
		got := h.handoffsFor(s).GetAddresses()
		if len(got) != handoffsPerRouter {
			t.Fatalf("router %s is named %d routers, want %d", s.router, len(got), handoffsPerRouter)
		}
		for _, a := range got {
			named[a]++
		}
	}
	mean := float64(len(cut)*handoffsPerRouter) / (routers / 2)
	for a, n := range named {
		if float64(n) > 2.5*mean {
			t.Errorf("router %s is named to %d routers, %.0f on average", a, n, mean)
		}
	}
	if len(named) < routers/2*9/10 {
		t.Errorf("%d of %d routers are named to a router", len(named), routers/2)
	}
}
