package placement

import (
	"errors"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// pickFrom picks servers until it finds the one with the id.
func (w *fleetSim) pickFrom(id string) *PickResult {
	w.t.Helper()
	for i := range 1000 {
		p := w.pick(PickRequest{Key: key(i), TieBreaker: key(i)})
		if p.ID == id {
			return p
		}
		p.Done(Neutral, 0, w.now)
	}
	w.t.Fatalf("server %s was never picked", id)
	return nil
}

func (w *fleetSim) notify(id string, n Notice) {
	w.t.Helper()
	p := w.pickFrom(id)
	p.RecordNotice(n, w.now, w.now)
	p.Done(Neutral, 0, w.now)
}

// countPicks picks n servers and returns how often each was chosen. Requests stay in
// flight for the last 40 picks.
func (w *fleetSim) countPicks(n int) map[string]int {
	w.t.Helper()
	counts := map[string]int{}
	var inFlight []*PickResult
	for i := range n {
		p := w.pick(PickRequest{Key: key(i % 50), TieBreaker: key(i)})
		counts[p.ID]++
		inFlight = append(inFlight, p)
		if len(inFlight) > 40 {
			inFlight[0].Done(Success, 10*time.Millisecond, w.now)
			inFlight = inFlight[1:]
		}
	}
	for _, p := range inFlight {
		p.Done(Success, 10*time.Millisecond, w.now)
	}
	return counts
}

func retryAfterOf(t *testing.T, err error) time.Duration {
	t.Helper()
	var e *errkind.Error
	if !errors.As(err, &e) || e.Kind != errkind.NoBackend {
		t.Fatalf("got %v, want kind no-backend", err)
	}
	return e.RetryAfter
}

// Pattern: one server leaves in a burst. The requests in flight there stay counted, and no
// later one goes there, whatever the load of the others.
func TestAServerThatLeavesInABurstGetsNothing(t *testing.T) {
	w := newFleetSim(t)
	w.join(4, "s")
	var inFlight []*PickResult
	for i := range 60 {
		inFlight = append(inFlight, w.pick(PickRequest{Key: key(i), TieBreaker: key(i)}))
	}
	w.notify("s1", Notice{Leaving: true})
	if counts := w.countPicks(400); counts["s1"] != 0 || len(counts) != 3 {
		t.Errorf("picks after s1 said that it leaves: %v, want none of s1", counts)
	}
	if n := w.fleet.byID["s1"].currentInFlight(); n == 0 {
		t.Error("the requests in flight at the leaving server are not counted any more")
	}
	for _, p := range inFlight {
		p.Done(Success, time.Millisecond, w.now)
	}
}

// Pattern: a server leaves beside a frozen directory, or a VM is cut off from all
// directory processes. The list stays as it was and the other servers are silent or fail.
func TestALeavingServerGetsNothingWhileTheListIsOld(t *testing.T) {
	w := newFleetSim(t)
	w.join(3, "s")
	w.notify("s0", Notice{Leaving: true})
	w.now = w.now.Add(2 * heartbeatTimeout)
	for i := range 200 {
		p := w.pick(PickRequest{Key: key(i), TieBreaker: key(i)})
		if p.ID == "s0" {
			t.Fatalf("request %d went to the leaving server", i)
		}
		p.Done(Failure, 10*time.Millisecond, w.now)
		w.now = w.now.Add(10 * time.Millisecond)
	}
}

// Pattern: the last server of a service leaves. Requests are refused at once.
func TestTheLastServerLeaves(t *testing.T) {
	w := newFleetSim(t)
	w.join(1, "s")
	w.notify("s0", Notice{Leaving: true})
	_, err := w.fleet.Pick(PickRequest{Service: chat}, w.now)
	if after := retryAfterOf(t, err); after != noServerRetryAfter {
		t.Errorf("retry after %s, want %s: no server named a time", after, noServerRetryAfter)
	}
}

// Pattern: a newer list still has the server as ready, drops it and has it again, or has it
// at another address. The notice holds for the incarnation, and only for that.
func TestANoticeOutlivesTheListAndEndsWithTheIncarnation(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	w.notify("s0", Notice{Leaving: true})
	relist := func(change func(*inventory.Server)) {
		s := *w.table.Get("s0")
		s.Sequence++
		s.LastSeen = w.now
		change(&s)
		w.announce(s)
	}
	relist(func(*inventory.Server) {})
	empty := newFleetSim(t)
	w.fleet.Update(empty.table, w.now)
	w.now = w.now.Add(time.Second)
	w.fleet.Update(w.table, w.now)
	relist(func(s *inventory.Server) { s.Address = "elsewhere:1" })
	if counts := w.countPicks(100); counts["s0"] != 0 {
		t.Errorf("picks %v, want none of the leaving server after newer lists", counts)
	}
	relist(func(s *inventory.Server) { s.Born++; s.Sequence = 1 })
	if counts := w.countPicks(100); counts["s0"] == 0 {
		t.Errorf("picks %v, want some of the server's next incarnation", counts)
	}
}

// Pattern: a response comes late, after the server was replaced at its address. It says
// nothing of the successor.
func TestALateNoticeDoesNotConcernTheSuccessor(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	late := w.pickFrom("s0")
	next := w.server("s0", "a")
	next.Born += 1000
	w.announce(next)
	late.RecordNotice(Notice{Leaving: true, StayAway: time.Minute}, w.now, w.now)
	late.Done(Neutral, 0, w.now)
	if counts := w.countPicks(100); counts["s0"] == 0 {
		t.Errorf("picks %v, want some of the successor", counts)
	}
}

// Pattern: all servers of a service turn requests away at once, for different times.
// Requests are refused at once, with the time of the first server; the clients' returns
// are spread; and each server is used again once its time is over.
func TestAllServersStayAwayAtOnce(t *testing.T) {
	w := newFleetSim(t)
	w.join(3, "s")
	times := map[string]time.Duration{"s0": 4 * time.Second, "s1": 2 * time.Second, "s2": 3 * time.Second}
	for id, d := range times {
		w.notify(id, Notice{StayAway: d})
	}
	least, most := time.Hour, time.Duration(0)
	for i := range 200 {
		_, err := w.fleet.Pick(PickRequest{Service: chat, TieBreaker: key(i)}, w.now)
		after := retryAfterOf(t, err)
		least, most = min(least, after), max(most, after)
	}
	if least < 2*time.Second || most > 2*time.Second+maxStayAwaySpread || most-least < maxStayAwaySpread/2 {
		t.Errorf("retry after %s to %s, want a spread of %s from 2 s on", least, most, maxStayAwaySpread)
	}
	for _, step := range []struct {
		at   time.Duration
		want int
	}{{2 * time.Second, 1}, {3 * time.Second, 2}, {4 * time.Second, 3}} {
		w.now = start.Add(step.at - time.Millisecond)
		before := step.want - 1
		if before > 0 {
			if counts := w.countPicks(100); len(counts) != before {
				t.Errorf("1 ms before %s: picks %v, want %d servers", step.at, counts, before)
			}
		}
		w.now = start.Add(step.at)
		if counts := w.countPicks(100); len(counts) != step.want {
			t.Errorf("at %s: picks %v, want %d servers", step.at, counts, step.want)
		}
	}
}

// Responses overtake each other: a shorter time that arrives later must not shorten the
// time that a server asked for.
func TestAShorterTimeDoesNotReplaceALongerOne(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	first, second := w.pickFrom("s0"), w.pickFrom("s0")
	first.RecordNotice(Notice{StayAway: 5 * time.Second}, w.now, w.now)
	second.RecordNotice(Notice{StayAway: time.Second}, w.now, w.now.Add(time.Millisecond))
	w.now = w.now.Add(4 * time.Second)
	if counts := w.countPicks(100); counts["s0"] != 0 {
		t.Errorf("picks %v, want none of s0 within 5 s", counts)
	}
}

// The notices of servers that left the list are kept for a bounded time.
func TestNoticesOfDepartedServersExpire(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	w.notify("s0", Notice{Leaving: true})
	empty := newFleetSim(t)
	w.fleet.Update(empty.table, w.now)
	if len(w.fleet.departed) == 0 {
		t.Fatal("the notices of a departed server were dropped at once")
	}
	w.fleet.Update(empty.table, w.now.Add(noticeRetention+time.Second))
	if n := len(w.fleet.departed); n != 0 {
		t.Errorf("the notices of %d departed servers are kept, want 0", n)
	}
}

// Guards against a time that ends early or late when the time of day is set: it must be
// kept with its monotonic reading, which only a time of the system has.
func TestTheTimeAwayKeepsTheMonotonicClock(t *testing.T) {
	n := &notices{}
	n.record(Notice{StayAway: time.Hour}, 1, time.Now(), time.Now())
	if until := n.awayUntil.Load(); *until == until.Round(0) {
		t.Errorf("the time %s has no monotonic reading", until)
	}
}
