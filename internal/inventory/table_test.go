package inventory

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func ready(id string, born int64, sequence uint64, address string) Server {
	return Server{ID: id, Born: born, Sequence: sequence, Service: "chat", Address: address, DataCentre: "a", Slots: 4, State: Ready, LastSeen: start}
}

func state(t *Table, id string) State {
	if s := t.Get(id); s != nil {
		return s.State
	}
	return 0
}

func TestAnnouncementsAreOrderedByIncarnationAndSequence(t *testing.T) {
	tab := New()
	step := func(s Server, want Change) {
		t.Helper()
		if got := tab.Merge(s); got != want {
			t.Errorf("%s born %d sequence %d: %v, want %v", s.ID, s.Born, s.Sequence, got, want)
		}
	}
	step(ready("x", 10, 1, "h:1"), Changed)
	step(ready("x", 10, 2, "h:1"), Refreshed)
	step(ready("x", 10, 1, "h:1"), Stale)
	step(ready("x", 10, 2, "h:1"), Stale)
	draining := ready("x", 10, 3, "h:1")
	draining.State = Draining
	step(draining, Changed)
	step(ready("x", 10, 2, "h:1"), Stale)
	// The server restarts under the same id: its sequence begins again.
	step(ready("x", 20, 1, "h:1"), Changed)
	step(ready("x", 10, 99, "h:1"), Stale)
	if state(tab, "x") != Ready {
		t.Errorf("x is %s", state(tab, "x"))
	}
	updated := ready("x", 20, 2, "h:1")
	updated.Version = "v2"
	step(updated, Changed)
}

func TestAnAddressBelongsToTheLastIncarnation(t *testing.T) {
	tab := New()
	tab.Merge(ready("old", 10, 5, "h:1"))
	if got := tab.Merge(ready("new", 20, 1, "h:1")); got != Changed {
		t.Fatalf("the new server: %v", got)
	}
	if state(tab, "old") != Gone {
		t.Errorf("old is %s", state(tab, "old"))
	}
	// A heartbeat that was delayed by a partition.
	if got := tab.Merge(ready("old", 10, 6, "h:1")); got != Stale {
		t.Errorf("a delayed announcement of the old server: %v", got)
	}
	if got := tab.Merge(ready("older", 5, 1, "h:1")); got != Stale {
		t.Errorf("an unknown older server at the address: %v", got)
	}
	if state(tab, "new") != Ready {
		t.Errorf("new is %s", state(tab, "new"))
	}
}

func TestAServerThatLeftStaysGone(t *testing.T) {
	tab := New()
	tab.Merge(ready("x", 10, 5, "h:1"))
	if _, got := tab.Leave("x", 5, start); got != Stale {
		t.Errorf("a leave of an older incarnation: %v", got)
	}
	if _, got := tab.Leave("x", 10, start); got != Changed {
		t.Errorf("leave: %v", got)
	}
	if _, got := tab.Leave("x", 10, start); got != Stale {
		t.Errorf("the same leave again: %v", got)
	}
	if got := tab.Merge(ready("x", 10, 50, "h:1")); got != Stale {
		t.Errorf("an announcement after the leave: %v", got)
	}
	if got := tab.Merge(ready("x", 11, 1, "h:1")); got != Changed {
		t.Errorf("the next incarnation: %v", got)
	}
}

// Guards against a departure that is acknowledged and forgotten by a process that has just started.
func TestAServerThatLeavesUnknownIsGone(t *testing.T) {
	for _, c := range []struct {
		born, earlier, later int64
	}{{10, 10, 11}, {0, start.UnixMilli(), start.UnixMilli() + 1}} {
		tab := New()
		if _, got := tab.Leave("x", c.born, start); got != Changed || state(tab, "x") != Gone {
			t.Errorf("leave of an unknown server born %d: %v, it is %s", c.born, got, state(tab, "x"))
		}
		if got := tab.Merge(ready("x", c.earlier, 50, "h:1")); got != Stale {
			t.Errorf("a late announcement after a leave of born %d: %v", c.born, got)
		}
		if got := tab.Merge(ready("x", c.later, 1, "h:1")); got != Changed || state(tab, "x") != Ready {
			t.Errorf("the next incarnation after a leave of born %d: %v", c.born, got)
		}
	}
}

func TestSilentServersExpire(t *testing.T) {
	tab := New()
	tab.Merge(ready("x", 10, 5, "h:1"))
	if tab.Expire(start.Add(expireAfter - time.Second)) {
		t.Error("expired too early")
	}
	if !tab.Expire(start.Add(expireAfter)) || tab.Len() != 0 {
		t.Error("not expired")
	}
}

// Two processes that receive the same announcements in a different order must end
// up with the same list of servers.
func TestTheOrderOfAnnouncementsDoesNotMatter(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var announcements []Server
		for _, id := range []string{"x", "y"} {
			for born := int64(1); born <= 2; born++ {
				// The incarnations of both ids take turns at one address, each
				// with its own start time.
				b := born * 10
				if id == "y" {
					b += 5
				}
				for seq := uint64(1); seq <= 3; seq++ {
					s := ready(id, b, seq, "h:1")
					if seq == 3 {
						s.State = Draining
					}
					announcements = append(announcements, s)
				}
			}
		}
		var want map[string]Server
		for range 2 {
			tab := New()
			rng.Shuffle(len(announcements), func(i, j int) { announcements[i], announcements[j] = announcements[j], announcements[i] })
			for range 2 { // Repeated announcements change nothing.
				for _, s := range announcements {
					tab.Merge(s)
				}
			}
			got := map[string]Server{}
			tab.All(func(s *Server) {
				if s.State != Gone {
					got[s.ID] = *s
				}
			})
			if len(got) != 1 || got["y"].Born != 25 || got["y"].State != Draining {
				t.Fatalf("seed %d: %v", seed, got)
			}
			if want != nil && want["y"] != got["y"] {
				t.Fatalf("seed %d: %v and %v", seed, want, got)
			}
			want = got
		}
	}
}

func TestAnnouncementsKeepTheirAges(t *testing.T) {
	s := ready("x", 10, 5, "h:1")
	s.LastSeen = start.Add(-2 * time.Second)
	s.ColdUntil = start.Add(3 * time.Second)
	s.Version = "v2"
	later := start.Add(time.Hour) // By another process's clock.
	got := Decode(Encode(&s, start), later)
	if got.Version != "v2" || got.LastSeen != later.Add(-2*time.Second) || got.ColdUntil != later.Add(3*time.Second) {
		t.Errorf("version %q, heard %s, cold until %s", got.Version, got.LastSeen, got.ColdUntil)
	}
	s.ColdUntil = time.Time{}
	if got := Decode(Encode(&s, start), later); !got.ColdUntil.IsZero() {
		t.Errorf("a server that is not cold is cold until %s", got.ColdUntil)
	}
}

func TestAServerWithHeartbeatsDoesNotExpire(t *testing.T) {
	tab := New()
	tab.Merge(ready("x", 1, 1, "x:1"))
	tab.Merge(ready("y", 1, 1, "y:1"))
	held := tab.Get("x")
	tab.RefreshHeartbeat("x", start.Add(expireAfter))
	tab.RefreshHeartbeat("x", start) // An older heartbeat changes nothing.
	tab.RefreshHeartbeat("unknown", start)
	tab.Expire(start.Add(expireAfter + time.Second))
	if tab.Get("x") == nil || tab.Get("y") != nil || tab.Len() != 1 {
		t.Errorf("x is %v, want one; y is %v, want none", tab.Get("x"), tab.Get("y"))
	}
	if !held.LastSeen.Equal(start) {
		t.Error("a server that Get returned was modified")
	}
}

// Guards against a leave that is ignored where the server's later heartbeats arrived: processes know
// different sequences of one incarnation, since heartbeats that change nothing are not relayed.
func TestALeaveEndsAnIncarnationAtAnySequence(t *testing.T) {
	heard, other := New(), New()
	heard.Merge(ready("x", 10, 1, "h:1"))
	other.Merge(ready("x", 10, 1, "h:1"))
	heard.Merge(ready("x", 10, 25, "h:1"))
	gone, _ := other.Leave("x", 10, start)
	if got := heard.Merge(*gone); got != Changed || state(heard, "x") != Gone {
		t.Errorf("the leave that another process received: %v, x is %s", got, state(heard, "x"))
	}
	if got := heard.Merge(ready("x", 10, 26, "h:1")); got != Stale {
		t.Errorf("an announcement after the leave: %v", got)
	}
	if got := heard.Merge(*gone); got != Stale {
		t.Errorf("the leave again: %v", got)
	}
}

// Guards against a server that another writer shuts out, with an announcement that names a later
// start and a service that no configuration names.
func TestAnUnservedServiceDoesNotReplaceAServer(t *testing.T) {
	unserved := func(id string, born int64, address string) Server {
		s := ready(id, born, 1, address)
		s.Service = "nowhere"
		return s
	}
	drained := unserved("x", 30, "h:1")
	drained.State = Draining
	later := unserved("x", 30, "h:1")
	later.LastSeen = start.Add(aliveTime)
	gone := Server{ID: "x", Born: 30, State: Gone, LastSeen: start}
	for name, tc := range map[string]struct {
		s    Server
		want Change
	}{
		"same id":            {unserved("x", 30, "h:2"), Stale},
		"same id, draining":  {drained, Stale},
		"same address":       {unserved("y", 30, "h:1"), Stale},
		"elsewhere":          {unserved("y", 30, "h:2"), Changed},
		"the server is dead": {later, Changed},
		"its own departure":  {gone, Changed},
	} {
		tab := New()
		tab.SetServed(func(service string) bool { return service == "chat" })
		tab.Merge(ready("x", 10, 5, "h:1"))
		if got := tab.Merge(tc.s); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
		if tc.want == Stale && (state(tab, "x") != Ready || tab.Merge(ready("x", 10, 6, "h:1")) != Refreshed) {
			t.Errorf("%s: the server is %s, or its next announcement is not taken", name, state(tab, "x"))
		}
	}
	// Where the other announcement came first, the server's own replaces it.
	for name, first := range map[string]Server{"same id": unserved("x", 30, "h:2"), "same address": unserved("y", 30, "h:1")} {
		tab := New()
		tab.SetServed(func(service string) bool { return service == "chat" })
		tab.Merge(first)
		if got := tab.Merge(ready("x", 10, 5, "h:1")); got != Changed || tab.Get("x").Service != "chat" {
			t.Errorf("%s came first: %v, %+v", name, got, *tab.Get("x"))
		}
	}
}
