package replication

import (
	"fmt"
	"testing"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// proposeVoterChange proposes one random step of replacing a voter's disk: it removes
// the voter, adds it as a learner with a blank disk, or promotes it once caught up.
func (s *sim) proposeVoterChange(wipes map[string]int) {
	l := s.leader()
	if l == nil {
		return
	}
	set := l.core.Voters()
	next := set
	switch id := s.nodeIDs[s.rng.IntN(len(s.nodeIDs))]; {
	case len(set.Learners) > 0:
		v := set.Learners[0]
		p, _ := l.core.Progress(v.Id)
		if p.MatchIndex+2 < l.core.Commit() || p.MatchIndex == 0 {
			return
		}
		next = WithLearnerPromoted(set, v.Id)
	case findVoter(set.Voters, id) == nil:
		next = WithLearner(set, &pb.Voter{Id: id, Disk: s.wipe(id, wipes)})
	case len(set.Voters) > 2:
		next = WithoutMember(set, id)
	}
	if next != set {
		_, _, _ = l.core.ProposeVoters(next)
	}
}

// wipe gives a process that is not a voter a blank disk and returns the disk's id.
func (s *sim) wipe(id string, wipes map[string]int) string {
	wipes[id]++
	disk := fmt.Sprintf("%s-wiped-%d", id, wipes[id])
	s.crash(s.nodes[id])
	s.addNode(id, &simDisk{id: disk, hs: &pb.HardState{}, marks: map[string]*pb.Mark{}})
	return disk
}

// TestSchedulesWithVoterChanges runs schedules as TestSchedules does, with random
// removals and replacements of voters, each with a blank disk. It checks the same
// invariants.
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
			s.proposeVoterChange(wipes)
			if s.rng.IntN(2) == 0 {
				s.injectFault()
			}
			s.checkLogMatching()
		}
		s.heal()
		// An entry of the last leader may still be committed after the faults end.
		s.run(200)
		s.mustMakeProgress(s.voterIDs()...)
		s.checkLogMatching()
		for _, e := range s.committed {
			if e.Type == pb.EntryType_VOTERS {
				changes++
			}
		}
	}
	t.Logf("%d committed voter sets", changes)
	if changes < *schedules {
		t.Fatalf("only %d voter sets were committed", changes)
	}
}

// voterIDs returns the voters of the newest committed voter set.
func (s *sim) voterIDs() []string {
	set := &pb.VoterSet{}
	for _, e := range s.committed {
		if e.Type == pb.EntryType_VOTERS {
			set = decodeVoterSet(s, e)
		}
	}
	var out []string
	for _, v := range set.Voters {
		out = append(out, v.Id)
	}
	return out
}
