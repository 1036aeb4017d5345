package publication

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

func publish(version uint64, document string) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Publish{Publish: &fleetpb.Publish{Version: version, Document: []byte(document)}}}
}

func evacuate(dc string, out bool) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Evacuate{Evacuate: &fleetpb.Evacuate{DataCentre: dc, Out: out}}}
}

func apply(t *testing.T, m *Machine, cmd *fleetpb.Command) Result {
	t.Helper()
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(data).(Result)
}

func TestTheHighestVersionIsInForce(t *testing.T) {
	m := New()
	for _, c := range []struct {
		version   uint64
		document  string
		effective bool
		now       string
	}{
		{5, "five", true, "five"},
		{3, "three", false, "five"},
		{5, "another five", false, "five"},
		{9, "nine", true, "nine"},
		{5, "five", false, "nine"},
	} {
		before := m.State().Revision
		r := apply(t, m, publish(c.version, c.document))
		if r.Err != nil || r.Effective != c.effective {
			t.Errorf("version %d: %+v", c.version, r)
		}
		if got := string(m.State().Configuration.Document); got != c.now {
			t.Errorf("after version %d %q is in force, want %q", c.version, got, c.now)
		}
		if (m.State().Revision > before) != c.effective {
			t.Errorf("version %d: revision %d after %d", c.version, m.State().Revision, before)
		}
	}
}

func TestEvacuationsAreIdempotentAndSorted(t *testing.T) {
	m := New()
	for _, dc := range []string{"b", "a", "b", "c"} {
		apply(t, m, evacuate(dc, true))
	}
	apply(t, m, evacuate("b", false))
	apply(t, m, evacuate("b", false))
	if got := m.State().Evacuated; !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("evacuated = %v", got)
	}
	if got := m.State().Revision; got != 4 {
		t.Errorf("revision %d after 4 changes with an effect", got)
	}
}

// A state that was handed out must not change under its readers.
func TestStatesAreImmutable(t *testing.T) {
	m := New()
	rng := rand.New(rand.NewPCG(1, 2))
	type seen struct{ state, copy *fleetpb.State }
	var all []seen
	for range 500 {
		if rng.IntN(2) == 0 {
			apply(t, m, publish(uint64(rng.IntN(200)), "d"))
		} else {
			apply(t, m, evacuate(string(rune('a'+rng.IntN(5))), rng.IntN(2) == 0))
		}
		s := m.State()
		all = append(all, seen{s, proto.Clone(s).(*fleetpb.State)})
	}
	for _, s := range all {
		if !proto.Equal(s.state, s.copy) {
			t.Fatalf("state of revision %d changed after it was handed out", s.copy.Revision)
		}
	}
}

func TestASnapshotRestoresTheState(t *testing.T) {
	m := New()
	apply(t, m, publish(4, "four"))
	apply(t, m, evacuate("a", true))
	var buf bytes.Buffer
	if err := m.Snapshot(&buf); err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(&buf); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(m.State(), n.State()) {
		t.Errorf("restored %v, want %v", n.State(), m.State())
	}
	if err := New().Restore(bytes.NewReader([]byte{0xff, 0xff})); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

func TestDocumentsSurviveCompression(t *testing.T) {
	for _, doc := range []string{"", "x", string(bytes.Repeat([]byte("route "), 50_000))} {
		packed, err := Compress([]byte(doc))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Uncompress(packed)
		if err != nil || string(got) != doc {
			t.Errorf("%d bytes came back as %d, error %v", len(doc), len(got), err)
		}
	}
	if _, err := Uncompress([]byte("not compressed")); err == nil {
		t.Error("bytes that are not compressed were taken")
	}
	packed, err := Compress(make([]byte, maxDocumentBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Uncompress(packed); err == nil {
		t.Error("a document over the bound was taken")
	}
}
