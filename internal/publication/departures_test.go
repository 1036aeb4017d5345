package publication

import (
	"bytes"
	"maps"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// Guards against departures that a snapshot loses, that an older one replaces, or that change the
// revision, which processes of earlier releases would count otherwise.
func TestDeparturesAreKeptInSnapshots(t *testing.T) {
	m := New()
	apply(t, m, publish(4, "four"))
	before := m.State().Revision
	draining := inventory.Departure{ID: "x", Born: 1, Sequence: 7, State: inventory.Draining}
	gone := inventory.Departure{ID: "x", Born: 1, State: inventory.Gone}
	next := inventory.Departure{ID: "x", Born: 2, Sequence: 3, State: inventory.Draining}
	other := inventory.Departure{ID: "y", Born: 9, State: inventory.Gone}
	check := func(after string, want ...inventory.Departure) {
		t.Helper()
		held := map[string]inventory.Departure{}
		for _, d := range want {
			held[d.ID] = d
		}
		if got := m.State(); !maps.Equal(got.Departures, held) || got.Revision != before {
			t.Errorf("after %s: departures %v, want %v; revision %d, want %d", after, got.Departures, held, got.Revision, before)
		}
	}
	apply(t, m, DepartCommand([]inventory.Departure{draining, other}))
	check("draining", draining, other)
	apply(t, m, DepartCommand([]inventory.Departure{gone}))
	apply(t, m, DepartCommand([]inventory.Departure{draining}))
	check("gone", gone, other)
	apply(t, m, DepartCommand([]inventory.Departure{next}))
	apply(t, m, ForgetCommand([]inventory.Departure{gone, other}))
	check("the next incarnation", next)
	var snapshot bytes.Buffer
	if err := m.Snapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	m = New()
	if err := m.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	check("a snapshot", next)
	if encoded, err := m.Encoded(); err != nil || len(encoded.Departures) != 0 {
		t.Errorf("routers are sent departures: %v, %v", encoded.Departures, err)
	}
}
