package inventory

import "testing"

// Guards against a recorded departure that ends a later start of the server, or one that was ready again
// since, when it is applied.
func TestARecordedDepartureEndsNoLaterStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		born     int64
		sequence uint64
		d        Departure
		want     State
		changed  int
	}{
		{"later start", 2, 1, Departure{ID: "x", Born: 1, Sequence: lastSequence, State: Gone}, Ready, 0},
		{"ready again", 1, 6, Departure{ID: "x", Born: 1, Sequence: 5, State: Draining}, Ready, 0},
		{"drains", 1, 4, Departure{ID: "x", Born: 1, Sequence: 5, State: Draining}, Draining, 1},
		{"left, heard of later", 1, 50, Departure{ID: "x", Born: 1, Sequence: 5, State: Gone}, Gone, 1},
	} {
		tab := New()
		tab.Merge(ready("x", c.born, c.sequence, "h:1"))
		if got := tab.SetDepartures(map[string]Departure{"x": c.d}, start); len(got) != c.changed || state(tab, "x") != c.want {
			t.Errorf("%s: x is %s, changed %v", c.name, state(tab, "x"), got)
		}
	}
	tab := New()
	tab.SetDepartures(map[string]Departure{"x": {ID: "x", Born: 5, Sequence: lastSequence, State: Gone}}, start)
	if got := tab.Merge(ready("x", 4, 50, "h:1")); got != Stale || tab.Get("x").Born != 5 {
		t.Errorf("an announcement of an earlier start: %v", got)
	}
	if got := tab.Merge(ready("x", 6, 1, "h:1")); got != Changed || state(tab, "x") != Ready {
		t.Errorf("the next start: %v, x is %s", got, state(tab, "x"))
	}
}
