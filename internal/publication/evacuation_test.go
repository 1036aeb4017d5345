package publication

import (
	"bytes"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against an evacuation that undoes a later one of the same data centre, at a process that
// has applied both and at one that has restored a snapshot since, and against orders that are
// rejected since something else has changed or since they were accepted before.
func TestAnEvacuationDoesNotUndoALaterOne(t *testing.T) {
	m := New()
	apply(t, m, evacuate("a", true)) // Revision 1.
	apply(t, m, evacuate("b", true)) // Revision 2.
	apply(t, m, evacuate("a", false))
	apply(t, m, evacuate("a", true)) // Revision 4.
	apply(t, m, publish(1, "one"))
	restored := New()
	var snapshot bytes.Buffer
	if err := m.Snapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name               string
		dataCentre         string
		out                bool
		base               uint64
		conflict, restored bool
	}{
		{"given before a later one", "a", false, 1, true, true},
		{"given before a later one was undone", "a", false, 3, true, true},
		{"given since", "a", false, 4, false, true},
		{"given at the latest revision", "a", false, 5, false, false},
		{"given before one of another data centre", "b", false, 2, false, true},
		{"given before any change", "c", true, 0, false, true},
		{"accepted before", "a", true, 0, false, false},
		{"accepted before, the end of an evacuation", "c", false, 0, false, false},
	} {
		e := evacuate(tc.dataCentre, tc.out).GetEvacuate()
		if err := m.CheckEvacuation(e, tc.base); errkind.Is(err, errkind.ChangeConflict) != tc.conflict {
			t.Errorf("%s: %v, want a conflict %t", tc.name, err, tc.conflict)
		}
		if err := restored.CheckEvacuation(e, tc.base); errkind.Is(err, errkind.ChangeConflict) != tc.restored {
			t.Errorf("%s, after a snapshot: %v, want a conflict %t", tc.name, err, tc.restored)
		}
	}
}
