package placement

import (
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// sentTo sends requests at w's time, and returns how many the server got.
func (w *fleetSim) sentTo(id string, service *catalog.Service, requests int) (n int) {
	for range requests {
		p := w.pick(PickRequest{Service: service, TieBreaker: uint64(w.seq)})
		p.Done(Success, time.Millisecond, w.now)
		w.seq++
		if p.ID == id {
			n++
		}
	}
	return n
}

// Guards against a cold server that gets requests as before, since its start is not announced yet, or twice what
// it bears, half of it once it is.
func TestAServerWhoseProcessEndedIsColdUntilItsNextStartIsWarm(t *testing.T) {
	const bound = 11 // 4 * 1.5 + 5
	service := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 4}
	w := newFleetSim(t)
	first := w.server("x", "a")
	w.announce(first, w.server("y", "a"))
	w.advance(time.Minute)
	w.fleet.RecordEnd("x", first.Born-1, service.ColdTime, w.now)
	if n := w.sentTo("x", service, 60); n <= bound {
		t.Fatalf("%d requests to a server of which an earlier incarnation ended", n)
	}
	w.fleet.RecordEnd("x", first.Born, service.ColdTime, w.now)
	if n := w.sentTo("x", service, 60); n == 0 || n > bound {
		t.Errorf("%d requests in one second to a server whose process ended, want 1 to %d", n, bound)
	}
	// A heartbeat that the process sent before it ended.
	w.now = w.now.Add(1500 * time.Millisecond)
	late := first
	late.Sequence, late.LastSeen = 999, w.now
	w.fleet.UpdateAnnouncement(&late)
	n := w.sentTo("x", service, 60)
	next := w.server("x", "a")
	next.ColdUntil = w.now.Add(3 * time.Second)
	w.announce(next)
	if n += w.sentTo("x", service, 60); n == 0 || n > bound {
		t.Errorf("%d requests in one second to a server that started again, before and after it was announced, want 1 to %d", n, bound)
	}
	w.advance(4 * time.Second)
	if n := w.sentTo("x", service, 60); n <= bound {
		t.Errorf("%d requests to a server that is warm", n)
	}
}

// Guards against a server that counts as cold for good, since a connection was refused by chance.
func TestAServerThatGoesOnAnnouncingItselfHasNotEnded(t *testing.T) {
	const bound = 11 // 4 * 1.5 + 5
	service := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 4}
	w := newFleetSim(t)
	x := w.server("x", "a")
	w.announce(x, w.server("y", "a"))
	w.advance(time.Minute)
	w.fleet.RecordEnd("x", x.Born, service.ColdTime, w.now)
	for range 3 {
		w.advance(1200 * time.Millisecond)
	}
	if got := w.table.Get("x").State; got != inventory.Ready {
		t.Fatalf("x is %s", got)
	}
	if n := w.sentTo("x", service, 60); n <= bound {
		t.Errorf("%d requests to a server that announced itself 3.6 s after a connection was refused", n)
	}
}

// Guards against a server that gets next to nothing for as long as its router hears nothing of the directory, since
// no announcement says that it has started again.
func TestAServerThatStartedAgainUnannouncedIsWarmAfterItsColdTime(t *testing.T) {
	const bound = 11 // 4 * 1.5 + 5
	service := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 4}
	w := newFleetSim(t)
	x := w.server("x", "a")
	w.announce(x, w.server("y", "a"))
	w.advance(time.Minute)
	before := w.pick(PickRequest{Service: service, Exclude: []string{"y"}})
	w.fleet.RecordEnd("x", x.Born, service.ColdTime, w.now)
	w.now = w.now.Add(time.Millisecond)
	before.Done(Success, time.Millisecond, w.now) // Its response had arrived before.
	w.now = w.now.Add(2 * time.Second)
	if n := w.sentTo("x", service, 60); n == 0 || n > bound {
		t.Errorf("%d requests in one second to a server whose process ended, want 1 to %d", n, bound)
	}
	w.now = w.now.Add(2900 * time.Millisecond)
	if n := w.sentTo("x", service, 60); n == 0 || n > bound {
		t.Errorf("%d requests in one second to a server that has served for 2.9 s, want 1 to %d", n, bound)
	}
	w.now = w.now.Add(200 * time.Millisecond)
	if n := w.sentTo("x", service, 60); n <= bound {
		t.Errorf("%d requests to a server that has served for longer than it is cold", n)
	}
}
