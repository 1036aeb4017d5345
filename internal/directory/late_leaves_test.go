package directory

import (
	"context"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// Guards against a leave of an earlier start that arrives late, names no start, and ends the server's next
// start: its connection was held on the way, so that the caller still seems to be there.
func TestALateLeaveWithoutAStartEndsNoLaterIncarnation(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	c.announce(hosts[0], serverAnnouncement("x", 5, inventory.Ready))
	c.leave(hosts[0], "x", 0)
	next := serverAnnouncement("x", 1, inventory.Ready)
	next.Born = 2
	c.announce(hosts[1], next)
	for _, host := range hosts[:3] {
		c.eventually("relay the next start", func() bool { return c.stateOf(host, "x") == inventory.Ready })
	}
	for _, host := range hosts[:3] {
		if err := c.nodes[host].p.Leave(context.Background(), "x", 0); !errkind.Is(err, errkind.NotReady) {
			t.Errorf("%s answered a leave that may be late: %v", host, err)
		}
	}
	next.Sequence++
	c.announce(hosts[2], next)
	for _, host := range hosts[:3] {
		if got := c.stateOf(host, "x"); got != inventory.Ready {
			t.Errorf("the next start of x is %s at %s, which announces itself", got, host)
		}
	}
	// A leave that names the start is exact.
	c.leave(hosts[0], "x", 2)
}

// Guards against a leave that is refused for good since the server had started again, and one of a process
// that has read from the record alone that an earlier start left.
func TestALeaveWithoutAStartIsTakenOnceNoEarlierOneCanBeMeant(t *testing.T) {
	for name, know := range map[string]func(h *hub){
		"table": func(h *hub) { h.merge(serverAnnouncement("x", 5, inventory.Ready), true) },
		"record": func(h *hub) {
			applyCommand(t, h, publication.DepartCommand([]inventory.Departure{{ID: "x", Born: 1, Sequence: 9, State: inventory.Gone}}))
			h.stateChanged()
		},
	} {
		h, _ := newTestHub()
		h.knowsAllServers = true
		now := h.now()
		h.now = func() time.Time { return now }
		know(h)
		next := serverAnnouncement("x", 1, inventory.Ready)
		next.Born, next.LastSeen = 2, now
		h.merge(next, true)
		for sequence := uint64(2); now.Sub(next.LastSeen) < lateLeaveTime; sequence++ {
			beat := next
			beat.Sequence, beat.LastSeen = sequence, now
			h.merge(beat, true)
			if err := h.checkLeave("x", 0); !errkind.Is(err, errkind.NotReady) {
				t.Errorf("%s: a leave %s after the next start was announced: %v", name, now.Sub(next.LastSeen), err)
			}
			if err := h.checkLeave("x", 2); err != nil {
				t.Errorf("%s: a leave that names the start: %v", name, err)
			}
			now = now.Add(time.Second)
		}
		if err := h.checkLeave("x", 0); err != nil {
			t.Errorf("%s: a leave %s after the next start was announced: %v", name, lateLeaveTime, err)
		}
		// A server that drains is about to leave.
		draining := next
		draining.Sequence, draining.State, now = 99, inventory.Draining, next.LastSeen
		h.merge(draining, true)
		if err := h.checkLeave("x", 0); err != nil {
			t.Errorf("%s: the leave of a server that drains: %v", name, err)
		}
	}
	h, _ := newTestHub()
	h.knowsAllServers = true
	first := serverAnnouncement("x", 1, inventory.Ready)
	first.LastSeen = h.now()
	h.merge(first, true)
	if err := h.checkLeave("x", 0); err != nil {
		t.Errorf("a leave of the only start that is known: %v", err)
	}
}

// Guards against the same where a process learns the next start before it knows of an earlier one: it has
// not applied the departure yet, or an announcement comes late.
func TestALeaveWithoutAStartMayBeLateWhicheverStartIsLearnedFirst(t *testing.T) {
	record := publication.DepartCommand([]inventory.Departure{{ID: "x", Born: 1, Sequence: 9, State: inventory.Gone}})
	for name, learn := range map[string]func(h *hub){
		"record": func(h *hub) {
			applyCommand(t, h, record)
			h.stateChanged()
		},
		"forgotten record": func(h *hub) {
			applyCommand(t, h, record)
			applyCommand(t, h, publication.ForgetCommand([]inventory.Departure{{ID: "x", Born: 1, Sequence: 9, State: inventory.Gone}}))
			h.stateChanged()
		},
		"late announcement": func(h *hub) { h.merge(serverAnnouncement("x", 5, inventory.Ready), true) },
	} {
		h, _ := newTestHub()
		h.knowsAllServers = true
		now := h.now()
		h.now = func() time.Time { return now }
		next := serverAnnouncement("x", 1, inventory.Ready)
		next.Born, next.LastSeen = 2, now
		h.merge(next, true)
		learn(h)
		if err := h.checkLeave("x", 0); !errkind.Is(err, errkind.NotReady) {
			t.Errorf("%s: a leave that may be that of the earlier start: %v", name, err)
		}
		if err := h.checkLeave("x", 2); err != nil {
			t.Errorf("%s: a leave that names the start: %v", name, err)
		}
		now = now.Add(lateLeaveTime / 2)
		learn(h)
		now = now.Add(lateLeaveTime / 2)
		learn(h)
		if err := h.checkLeave("x", 0); err != nil {
			t.Errorf("%s: a leave %s later: %v", name, lateLeaveTime, err)
		}
	}
}
