package replication

import (
	"fmt"
	"testing"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// changeVoters makes one random step towards replacing a voter by another disk.
func (s *sim) changeVoters(wipes map[string]int) {
	l := s.leader()
	if l == nil {
		return
	}
	set := l.core.Voters()
	next := set
	switch id := s.order[s.rng.IntN(len(s.order))]; {
	case len(set.Learners) > 0:
		v := set.Learners[0]
		match, _, _ := l.core.Match(v.Id)
		if match+2 < l.core.Commit() || match == 0 {
			return
		}
		next = WithPromoted(set, v.Id)
	case findVoter(set.Voters, id) == nil:
		next = WithLearner(set, &pb.Voter{Id: id, Disk: s.wipe(id, wipes)})
	case len(set.Voters) > 2:
		next = Without(set, id)
	}
	if next != set {
		_, _, _ = l.core.ProposeVoters(next)
	}
}

// wipe gives a process that is no voter a blank disk.
func (s *sim) wipe(id string, wipes map[string]int) string {
	wipes[id]++
	disk := fmt.Sprintf("%s-wiped-%d", id, wipes[id])
	s.crash(s.nodes[id])
	s.addNode(id, &simDisk{id: disk, hs: &pb.HardState{}, marks: map[string]*pb.Mark{}})
	return disk
}

// TestSchedulesWithVoterChanges adds random removals and replacements of voters,
// with a blank disk each time, to the schedules. The invariants are the same.
func TestSchedulesWithVoterChanges(t *testing.T) {
	changes := 0
	for seed := uint64(*firstSeed); seed < uint64(*firstSeed+*schedules/2); seed++ {
		s := newSim(t, seed, 3+2*int(seed%2))
		wipes := map[string]int{}
		for range 60 {
			s.run(1 + s.rng.IntN(8))
			for range s.rng.IntN(3) {
				s.propose()
			}
			s.changeVoters(wipes)
			if s.rng.IntN(2) == 0 {
				s.fault()
			}
			s.checkLogs()
		}
		s.heal()
		// An entry of the last leader may still be committed after the faults end.
		s.run(200)
		s.mustAgree(s.voterIDs()...)
		s.checkLogs()
		for _, e := range s.chosen {
			if e.Type == pb.EntryType_VOTERS {
				changes++
			}
		}
	}
	t.Logf("%d committed sets of voters", changes)
	if changes < *schedules {
		t.Fatalf("only %d sets of voters were committed", changes)
	}
}

// voterIDs returns the members of the newest committed set.
func (s *sim) voterIDs() []string {
	set := &pb.VoterSet{}
	for _, e := range s.chosen {
		if e.Type == pb.EntryType_VOTERS {
			set = decodeSet(s, e)
		}
	}
	var out []string
	for _, v := range set.Voters {
		out = append(out, v.Id)
	}
	return out
}
