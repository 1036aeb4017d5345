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
	cmd, err := (&State{}).PublishCommand(version, []byte(document), true)
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
		inForce   string
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
		if got := string(m.State().Configuration.Document); got != c.inForce {
			t.Errorf("after version %d %q is in force, want %q", c.version, got, c.inForce)
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

// A state returned to a reader must not change afterwards.
func TestStatesAreImmutable(t *testing.T) {
	m := New()
	rng := rand.New(rand.NewPCG(1, 2))
	type snapshot struct {
		state *State
		copy  *fleetpb.State
	}
	var snapshots []snapshot
	for range 500 {
		if rng.IntN(2) == 0 {
			apply(t, m, publish(uint64(rng.IntN(200)), "d"))
		} else {
			apply(t, m, evacuate(string(rune('a'+rng.IntN(5))), rng.IntN(2) == 0))
		}
		s := m.State()
		snapshots = append(snapshots, snapshot{s, encoded(t, s)})
	}
	for _, s := range snapshots {
		if !proto.Equal(encoded(t, s.state), s.copy) {
			t.Fatalf("state of revision %d changed after it was returned", s.copy.Revision)
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

func TestDocumentsSurviveCompression(t *testing.T) {
	for _, doc := range []string{"", "x", string(bytes.Repeat([]byte("route "), 50_000))} {
		for _, base := range []string{"", "x", "another base", string(bytes.Repeat([]byte("route "), 70_000))} {
			compressed, err := Compress([]byte(doc), []byte(base))
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decompress(compressed, []byte(base))
			if err != nil || string(got) != doc {
				t.Errorf("%d bytes with a base of %d were decompressed to %d, error %v", len(doc), len(base), len(got), err)
			}
		}
	}
	if _, err := Decompress([]byte("not packed"), nil); err == nil {
		t.Error("bytes that are not compressed were accepted")
	}
	compressed, err := Compress(make([]byte, maxDocumentBytes+1), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decompress(compressed, nil); err == nil {
		t.Error("a document over maxDocumentBytes was accepted")
	}
}

// routes returns a document of n dissimilar routes, as large fleets have them.
func routes(rng *rand.Rand, n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"route-%d","prefix":"/%x/%x","service":"s%x","timeout_ms":%d},`+"\n", i, rng.Uint64(), rng.Uint32(), rng.Uint32(), rng.IntN(9000))
	}
	return b.Bytes()
}

// A small change of a large configuration must compress to little more than the
// change: the leader's link carries it once for each voter and once for each router.
func TestASmallChangeOfALargeConfigurationCompressesWell(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, n := range []int{500, 2000, 20_000} {
		before := routes(rng, n)
		after := bytes.Replace(before, []byte("route-250\""), []byte("route-changed\""), 1)
		after = append([]byte("version 17\n"), after...)
		compressed, err := Compress(after, before)
		if err != nil {
			t.Fatal(err)
		}
		// The limit is 1 % of the document, or 1 KiB.
		if bound := max(1024, len(after)/100); len(compressed) > bound {
			t.Errorf("a small change of %d bytes is compressed to %d, limit %d", len(after), len(compressed), bound)
		}
		if got, err := Decompress(compressed, before); err != nil || !bytes.Equal(got, after) {
			t.Errorf("%d routes: the decompressed document differs, error %v", n, err)
		}
		other := routes(rng, n)
		if got, err := Decompress(compressed, other); err == nil && bytes.Equal(got, after) {
			t.Errorf("%d routes: decompressed with another base", n)
		}
	}
}

// A command compressed against a configuration that is no longer in force must be
// rejected with change-conflict and have no effect.
func TestACommandWithAnotherBaseIsRefused(t *testing.T) {
	m := New()
	apply(t, m, publish(4, "four"))
	relative, err := m.State().PublishCommand(7, []byte("four and seven"), false)
	if err != nil {
		t.Fatal(err)
	}
	apply(t, m, publish(5, "five"))
	if r := apply(t, m, relative); errkind.Of(r.Err) != errkind.ChangeConflict || r.Effective || m.State().Version() != 5 {
		t.Errorf("%+v, version %d in force", r, m.State().Version())
	}
	relative, err = m.State().PublishCommand(7, []byte("five and seven"), false)
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

// Applying the retained commands since a revision must give the latest state.
func TestCommandsSinceLeadToTheLatestState(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	m := New()
	states := []*State{m.State()}
	for version := uint64(1); version < 200; version++ {
		cmd := evacuate(string(rune('a'+rng.IntN(5))), rng.IntN(2) == 0)
		if rng.IntN(2) == 0 {
			var err error
			if cmd, err = m.State().PublishCommand(version, routes(rng, rng.IntN(20)), false); err != nil {
				t.Fatal(err)
			}
		}
		if r := apply(t, m, cmd); r.Effective {
			states = append(states, m.State())
		}
	}
	checked := 0
	for _, s := range states {
		commands, ok := m.CommandsSince(s.Revision)
		if !ok {
			continue
		}
		checked++
		got := s
		for _, cmd := range commands {
			var err error
			if got, err = got.Apply(cmd); err != nil {
				t.Fatal(err)
			}
		}
		if !proto.Equal(encoded(t, got), encoded(t, m.State())) {
			t.Errorf("the commands since revision %d give another state", s.Revision)
		}
	}
	if checked < 2 || checked == len(states) {
		t.Errorf("commands since %d of %d revisions are retained", checked, len(states))
	}
	if _, ok := m.CommandsSince(m.State().Revision + 1); ok {
		t.Error("commands since a revision that does not exist yet")
	}
}
