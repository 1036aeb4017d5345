package directory

import (
	"testing"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// Guards against a server that left and stays in use at a process that lagged, and at its routers: the
// process reads in one batch that the departure was recorded and that it was forgotten.
func TestADepartureThatIsForgottenInTheSameBatchIsApplied(t *testing.T) {
	h, _ := newTestHub()
	s := newSession(h, "r")
	for _, id := range []string{"gone", "draining", "started again", "ready again", "recorded again"} {
		h.merge(serverAnnouncement(id, 5, inventory.Ready), true)
	}
	next := serverAnnouncement("started again", 1, inventory.Ready)
	next.Born = 2
	h.merge(next, true)
	h.merge(serverAnnouncement("ready again", 9, inventory.Ready), true)
	h.broadcastChanges()
	drain(s)
	batch := []inventory.Departure{
		{ID: "gone", Born: 1, State: inventory.Gone},
		{ID: "draining", Born: 1, Sequence: 7, State: inventory.Draining},
		{ID: "started again", Born: 1, State: inventory.Gone},
		{ID: "ready again", Born: 1, Sequence: 7, State: inventory.Draining},
		{ID: "recorded again", Born: 1, Sequence: 7, State: inventory.Draining},
		{ID: "not known here", Born: 1, State: inventory.Gone},
	}
	applyCommand(t, h, publication.DepartCommand(batch))
	applyCommand(t, h, publication.ForgetCommand(batch))
	applyCommand(t, h, publication.DepartCommand([]inventory.Departure{{ID: "recorded again", Born: 1, State: inventory.Gone}}))
	h.stateChanged()
	want := map[string]inventory.State{"gone": inventory.Gone, "draining": inventory.Draining, "started again": inventory.Ready, "ready again": inventory.Ready, "recorded again": inventory.Gone}
	told := map[string]fleetpb.ServerState{}
	for _, u := range drain(s) {
		for _, a := range u.Announcements {
			told[a.Id] = a.State
		}
	}
	for id, state := range want {
		if got := h.table.Get(id); got.State != state {
			t.Errorf("%s is %s, want %s", id, got.State, state)
		}
		if got, isTold := told[id]; isTold != (state != inventory.Ready) || isTold && inventory.State(got) != state {
			t.Errorf("the router was told that %s is %s, want %s", id, got, state)
		}
	}
	// A process that starts reads all departures since the last snapshot of its log.
	if h.table.Get("not known here") != nil {
		t.Error("a departure that was forgotten is told although nobody here knows the server")
	}
	if len(h.machine.State().Departures) != 1 || len(h.departures.recordedAt) != 1 {
		t.Errorf("%d departures are recorded, want one", len(h.machine.State().Departures))
	}
	h.stateChanged()
	if updates := drain(s); len(updates) > 0 && len(updates[0].Announcements) > 0 {
		t.Errorf("the router was told again: %v", updates)
	}
}
