package replication

import (
	"slices"
	"testing"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// reportReplaced tells a process of the voters whose disk is another one by now.
func (s *sim) reportReplaced(id string) {
	n := s.nodes[id]
	if n.core == nil {
		return
	}
	for _, v := range n.core.Voters().Voters {
		if other := s.nodes[v.Id]; other != nil && other.disk.id != v.Disk {
			n.core.ReportReplaced(v.Disk)
		}
	}
}

// loseForGood has a process end and never come back.
func (s *sim) loseForGood(id string) {
	s.crash(s.nodes[id])
	s.nodeIDs = without(slices.Clone(s.nodeIDs), id)
}

// Guards against a quorum that is lost for good after a planned replacement (review/12): of four voters one is gone and
// another one has lost its disk. Before, faults of all kinds; at the moment itself a change of the voters may be on its
// way; afterwards all that are left may restart, also before they know of the lost disk. The sim checks for one
// leader a term and one history all the while.
func TestOfFourVotersOneMayBeGoneAndOneHaveLostItsDisk(t *testing.T) {
	pending, restarts, elections := 0, 0, 0
	for seed := uint64(*firstSeed); seed < uint64(*firstSeed+*schedules/4); seed++ {
		s := newSim(t, seed, 4)
		for range s.rng.IntN(20) {
			s.run(1 + s.rng.IntN(6))
			s.propose()
			s.injectFault()
		}
		s.heal()
		s.mustMakeProgress()
		s.run(20)
		wipes := map[string]int{}
		l := s.leader()
		ids := slices.Clone(s.nodeIDs)
		s.rng.Shuffle(4, func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		gone, wiped, left := ids[0], ids[1], ids[2:]
		if l != nil && s.rng.IntN(2) == 0 && l.id != gone {
			if _, _, err := l.core.ProposeVoters(WithoutMember(l.core.Voters(), gone)); err == nil {
				pending++
			}
			s.processReady(l)
			s.run(s.rng.IntN(3))
		}
		s.propose()
		s.run(s.rng.IntN(2))
		if s.rng.IntN(2) == 0 {
			s.loseForGood(gone)
			s.wipe(wiped, wipes)
		} else {
			s.wipe(wiped, wipes)
			s.loseForGood(gone)
		}
		if s.rng.IntN(2) == 0 {
			restarts++
			for _, id := range left {
				s.crash(s.nodes[id])
			}
			s.run(s.rng.IntN(30))
			for _, id := range left {
				s.boot(s.nodes[id])
			}
		}
		term := s.nodes[left[0]].core.Term()
		for range 60 {
			s.run(s.rng.IntN(8))
			s.reportReplaced(left[s.rng.IntN(2)])
			if s.rng.IntN(6) == 0 {
				s.lossPct = s.rng.IntN(20)
			}
		}
		s.lossPct = 0
		for _, id := range left {
			s.reportReplaced(id)
		}
		s.mustMakeProgress(left...)
		if s.nodes[left[0]].core.Term() > term {
			elections++
		}
		s.removeLostDisks()
		s.mustMakeProgress(left...)
		for _, id := range left {
			if r := s.nodes[id].core.replaced; len(r) > 0 {
				s.fail("%s still holds replaced disks %v after their removal", id, r)
			}
		}
		s.checkCommitted()
	}
	t.Logf("%d changes of the voters on their way, %d restarts, %d schedules with an election", pending, restarts, elections)
	if pending < *schedules/20 || restarts < *schedules/20 || elections < *schedules/20 {
		t.Fatal("too few of these")
	}
}

// Guards against a folder that is put back after its disk was reported as replaced, and votes: others may have elected
// leaders and committed entries without it.
func TestADiskThatWasReplacedAndIsPutBackDoesNotVote(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(t, seed, 4)
		s.mustMakeProgress()
		s.run(20)
		gone, wiped, left := "a", "b", []string{"c", "d"}
		old := s.nodes[wiped].disk.clone()
		s.loseForGood(gone)
		s.wipe(wiped, map[string]int{})
		for _, id := range left {
			s.reportReplaced(id)
		}
		s.mustMakeProgress(left...)
		s.crash(s.nodes[wiped])
		s.addNode(wiped, old)
		s.run(200)
		if s.nodes[wiped].core.Confirmed() {
			s.fail("the disk that was put back is confirmed by %v", s.nodes[wiped].core.confirmations)
		}
		s.mustMakeProgress(left...)
	}
}

// Guards against a voter that forgets in a restart which disks were replaced, so that it could confirm one that is
// put back.
func TestAVoterKeepsTheReplacedDisksOnItsDisk(t *testing.T) {
	s := newSim(t, 1, 4)
	s.mustMakeProgress()
	n := s.nodes["a"]
	n.core.ReportReplaced("b-1")
	n.core.ReportReplaced("a-1")
	n.core.ReportReplaced("x-1")
	s.processReady(n)
	s.boot(n)
	if got := n.core.replaced; !slices.Equal(got, []string{"b-1"}) {
		t.Errorf("after a restart %v are known as replaced, want b-1: its own disk and that of no voter are none", got)
	}
	// Answers name the disk, so that a candidate can count them, but a process does not leave out itself.
	for disk, want := range map[string]string{"b-1": "b-1", "c-1": "c-1", "a-1": ""} {
		m := &pb.Message{Type: pb.MessageType_PRE_VOTE, Uncounted: disk}
		if got := n.core.acknowledgeReplaced(m); got != want {
			t.Errorf("asked about %s: answers %q, want %q", disk, got, want)
		}
	}
}
