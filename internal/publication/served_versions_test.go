package publication

import (
	"bytes"
	"slices"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// Guards against versions that a snapshot loses, and against commands that change the revision or the sum, which
// processes of earlier releases would count otherwise.
func TestServedVersionsAreKeptInSnapshots(t *testing.T) {
	m := New()
	apply(t, m, publish(4, "four"))
	before := m.Mark()
	a1, a2, b1 := inventory.ServedVersion{Service: "a", Version: "1"}, inventory.ServedVersion{Service: "a", Version: "2"}, inventory.ServedVersion{Service: "b", Version: "1"}
	check := func(after string, want ...inventory.ServedVersion) {
		t.Helper()
		if got := m.State().ServedVersions; !slices.Equal(got, want) || m.Mark() != before {
			t.Errorf("after %s: versions %v, want %v; mark %v, want %v", after, got, want, m.Mark(), before)
		}
	}
	type versions = []inventory.ServedVersion
	for _, step := range []struct {
		name                    string
		served, forgotten, want versions
	}{
		{"the first", versions{b1}, nil, versions{b1}},
		{"two more", versions{a1, a2}, nil, versions{a1, a2, b1}},
		{"a repetition", versions{a2}, nil, versions{a1, a2, b1}},
		{"one forgotten", nil, versions{a1}, versions{a2, b1}},
		{"one forgotten again", nil, versions{a1}, versions{a2, b1}},
	} {
		apply(t, m, RecordVersionsCommand(step.served, step.forgotten))
		check(step.name, step.want...)
	}
	var snapshot bytes.Buffer
	if err := m.Snapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	m = New()
	if err := m.Restore(&snapshot); err != nil {
		t.Fatal(err)
	}
	check("a snapshot", a2, b1)
	if encoded, err := m.Encoded(); err != nil || len(encoded.ServedVersions) != 0 {
		t.Errorf("routers are sent versions with the state: %v, %v", encoded.ServedVersions, err)
	}
}
