package publication

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

func publish(version uint64, document string) *fleetpb.Command {
	cmd, err := (&State{}).Publication(version, []byte(document), true)
	if err != nil {
		panic(err)
	}
	return cmd
}

func encoded(t *testing.T, s *State) *fleetpb.State {
	t.Helper()
	out, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return out
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
	type seen struct {
		state *State
		copy  *fleetpb.State
	}
	var all []seen
	for range 500 {
		if rng.IntN(2) == 0 {
			apply(t, m, publish(uint64(rng.IntN(200)), "d"))
		} else {
			apply(t, m, evacuate(string(rune('a'+rng.IntN(5))), rng.IntN(2) == 0))
		}
		s := m.State()
		all = append(all, seen{s, encoded(t, s)})
	}
	for _, s := range all {
		if !proto.Equal(encoded(t, s.state), s.copy) {
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
	if !proto.Equal(encoded(t, m.State()), encoded(t, n.State())) {
		t.Errorf("restored %v, want %v", n.State(), m.State())
	}
	if err := New().Restore(bytes.NewReader([]byte{0xff, 0xff})); err == nil {
		t.Error("a damaged snapshot was restored")
	}
}

func TestDocumentsSurvivePacking(t *testing.T) {
	for _, doc := range []string{"", "x", string(bytes.Repeat([]byte("route "), 50_000))} {
		for _, base := range []string{"", "x", "another base", string(bytes.Repeat([]byte("route "), 70_000))} {
			packed, err := Pack([]byte(doc), []byte(base))
			if err != nil {
				t.Fatal(err)
			}
			got, err := Unpack(packed, []byte(base))
			if err != nil || string(got) != doc {
				t.Errorf("%d bytes relative to %d came back as %d, error %v", len(doc), len(base), len(got), err)
			}
		}
	}
	if _, err := Unpack([]byte("not packed"), nil); err == nil {
		t.Error("bytes that are not packed were taken")
	}
	packed, err := Pack(make([]byte, maxDocumentBytes+1), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(packed, nil); err == nil {
		t.Error("a document over the bound was taken")
	}
}

// routes returns a document of n routes that resemble no other, as large fleets
// have them.
func routes(rng *rand.Rand, n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%d","prefix":"/%x/%x","service":"s%x","timeout_ms":%d},`+"\n", i, rng.Uint64(), rng.Uint32(), rng.Uint32(), rng.IntN(9000))
	}
	return b.Bytes()
}

// A change of a large configuration travels as little more than the change: the
// leader's link carries it once for each voter, and once for each router.
func TestASmallChangeOfALargeConfigurationTravelsSmall(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, n := range []int{500, 2000, 20_000} {
		was := routes(rng, n)
		is := bytes.Replace(was, []byte("route-250\""), []byte("route-changed\""), 1)
		is = append([]byte("version 17\n"), is...)
		packed, err := Pack(is, was)
		if err != nil {
			t.Fatal(err)
		}
		// A hundredth of the document, or a kilobyte.
		if bound := max(1024, len(is)/100); len(packed) > bound {
			t.Errorf("a small change of %d bytes is packed in %d, bound %d", len(is), len(packed), bound)
		}
		if got, err := Unpack(packed, was); err != nil || !bytes.Equal(got, is) {
			t.Errorf("%d routes: not the same document, error %v", n, err)
		}
		other := routes(rng, n)
		if got, err := Unpack(packed, other); err == nil && bytes.Equal(got, is) {
			t.Errorf("%d routes: read relative to another base", n)
		}
	}
}

// A command packed relative to a configuration that is no longer in force
// changes nothing, and says so.
func TestACommandWithAnotherBaseIsRefused(t *testing.T) {
	m := New()
	apply(t, m, publish(4, "four"))
	relative, err := m.State().Publication(7, []byte("four and seven"), false)
	if err != nil {
		t.Fatal(err)
	}
	apply(t, m, publish(5, "five"))
	if r := apply(t, m, relative); errkind.Of(r.Err) != errkind.ChangeConflict || r.Effective || m.State().Version() != 5 {
		t.Errorf("%+v, version %d in force", r, m.State().Version())
	}
	relative, err = m.State().Publication(7, []byte("five and seven"), false)
	if err != nil {
		t.Fatal(err)
	}
	if r := apply(t, m, relative); r.Err != nil || string(m.State().Configuration.Document) != "five and seven" {
		t.Errorf("%+v, %q in force", r, m.State().Configuration.Document)
	}
	if r := apply(t, m, relative); r.Err != nil || r.Effective {
		t.Errorf("a repeated command: %+v", r)
	}
}

// The steps from any revision that is kept lead to the newest state.
func TestStepsLeadToTheNewestState(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	m := New()
	states := []*State{m.State()}
	for version := uint64(1); version < 200; version++ {
		cmd := evacuate(string(rune('a'+rng.IntN(5))), rng.IntN(2) == 0)
		if rng.IntN(2) == 0 {
			var err error
			if cmd, err = m.State().Publication(version, routes(rng, rng.IntN(20)), false); err != nil {
				t.Fatal(err)
			}
		}
		if r := apply(t, m, cmd); r.Effective {
			states = append(states, m.State())
		}
	}
	reached := 0
	for _, s := range states {
		steps, ok := m.CommandsSince(s.Revision)
		if !ok {
			continue
		}
		reached++
		got := s
		for _, cmd := range steps {
			var err error
			if got, err = got.After(cmd); err != nil {
				t.Fatal(err)
			}
		}
		if !proto.Equal(encoded(t, got), encoded(t, m.State())) {
			t.Errorf("the steps from revision %d lead elsewhere", s.Revision)
		}
	}
	if reached < 2 || reached == len(states) {
		t.Errorf("steps from %d of %d revisions are kept", reached, len(states))
	}
	if _, ok := m.CommandsSince(m.State().Revision + 1); ok {
		t.Error("steps from a revision that does not exist yet")
	}
}
