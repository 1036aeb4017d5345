package publication

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
)

// randomCommand returns a command of any kind; it may have no effect.
func randomCommand(t *testing.T, rng *rand.Rand, s *State) *fleetpb.Command {
	t.Helper()
	name := string(rune('a' + rng.IntN(4)))
	switch rng.IntN(7) {
	case 0:
		cmd, err := s.PublishCommand(s.Version()+uint64(rng.IntN(3)), routes(rng, rng.IntN(5)), rng.IntN(2) == 0)
		if err != nil {
			t.Fatal(err)
		}
		return cmd
	case 1:
		return evacuate(name, rng.IntN(2) == 0)
	case 2:
		place := assignment.Place{Hash: rng.Uint64N(4), Server: []string{"", "s1", "s2"}[rng.IntN(3)]}
		return AssignCommand(map[string][]assignment.Place{name: {place}})
	case 3:
		return QuarantineCommand(Quarantined{Subject: quarantine.Subject{Hash: rng.Uint64N(4), Request: rng.IntN(2) == 0}, Strikes: rng.Uint32N(3), Probe: name})
	case 4:
		r := &rollout.Rollout{Service: name, Target: "v2", Number: rng.Uint64N(20), Phase: rollout.Phase(1 + rng.IntN(4)), Duration: time.Second, Elapsed: time.Duration(rng.IntN(1e9)), Replaced: []string{"v1"}}
		return r.Command()
	case 5:
		version := []inventory.ServedVersion{{Service: name, Version: string(rune('v' + rng.IntN(3)))}}
		if rng.IntN(2) == 0 {
			return RecordVersionsCommand(nil, version)
		}
		return RecordVersionsCommand(version, nil)
	default:
		return DepartCommand([]inventory.Departure{{ID: name, Born: rng.Int64N(100), State: inventory.Gone}})
	}
}

// Guards against sums that differ for the same state, at which routers would discard it: a router
// receives it as a whole or by commands, a process restores it from a snapshot and goes on, or has
// recorded departures, which are no part of a revision.
func TestAStateHasOneSumHoweverItCameAbout(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	applied, restored, byCommands := New(), New(), &State{}
	seen := map[uint64]uint64{}
	for i := range 400 {
		cmd := randomCommand(t, rng, applied.State())
		apply(t, applied, cmd)
		if rng.IntN(10) == 0 {
			var snapshot bytes.Buffer
			if err := applied.Snapshot(&snapshot); err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(&snapshot); err != nil {
				t.Fatal(err)
			}
		} else {
			apply(t, restored, cmd)
		}
		steps, ok := applied.CommandsSince(byCommands.Revision)
		if !ok {
			t.Fatalf("no commands since revision %d", byCommands.Revision)
		}
		for _, step := range steps {
			var err error
			if byCommands, err = byCommands.Apply(step); err != nil {
				t.Fatal(err)
			}
		}
		want, marks := applied.Mark(), map[string]Mark{"restored": restored.Mark(), "by commands": {byCommands.Revision, byCommands.Sum()}}
		if rng.IntN(5) == 0 {
			whole, err := Decode(encoded(t, applied.State()))
			if err != nil {
				t.Fatal(err)
			}
			marks["as a whole"] = Mark{whole.Revision, whole.Sum()}
		}
		for name, got := range marks {
			if got != want || got.Sum == 0 {
				t.Fatalf("command %d: the state %s has mark %v, want %v", i, name, got, want)
			}
		}
		if before, known := seen[want.Revision]; known && before != want.Sum {
			t.Fatalf("revision %d has two sums", want.Revision)
		}
		seen[want.Revision] = want.Sum
	}
	if len(seen) < 100 {
		t.Errorf("only %d revisions were compared", len(seen))
	}
}

// Guards against another history that is not noticed: states that differ in one part have other sums.
func TestStatesThatDifferHaveOtherSums(t *testing.T) {
	sums := map[uint64]string{}
	for _, cmd := range []*fleetpb.Command{
		publish(1, "document"), publish(1, "other document"), publish(2, "document"), evacuate("a", true), evacuate("b", true),
		AssignCommand(map[string][]assignment.Place{"a": {{Hash: 1, Server: "s"}}}), AssignCommand(map[string][]assignment.Place{"a": {{Hash: 1, Server: "t"}}}),
		QuarantineCommand(Quarantined{Subject: quarantine.Subject{Hash: 1}, Strikes: 1}), QuarantineCommand(Quarantined{Subject: quarantine.Subject{Hash: 1}, Strikes: 2}),
		(&rollout.Rollout{Service: "a", Target: "v2", Number: 1, Phase: 1}).Command(), (&rollout.Rollout{Service: "a", Target: "v3", Number: 1, Phase: 1}).Command(),
	} {
		s, err := (&State{}).Apply(cmd)
		if err != nil || s.Revision != 1 {
			t.Fatalf("%v: revision %d, %v", cmd, s.Revision, err)
		}
		if other, found := sums[s.Sum()]; found {
			t.Errorf("the states after %v and %s have the same sum", cmd, other)
		}
		sums[s.Sum()] = fmt.Sprint(cmd)
	}
}
