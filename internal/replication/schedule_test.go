package replication

import (
	"flag"
	"slices"
	"testing"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Flags to run more schedules, or to rerun a single one: -schedules 1 -first-seed N.
var (
	schedules = flag.Int("schedules", 3000, "schedules of each kind")
	firstSeed = flag.Int("first-seed", 0, "seed of the first schedule")
)

// injectFault injects one random fault, ends earlier ones, compacts a log or
// transfers leadership.
func (s *sim) injectFault() {
	n := s.nodes[s.nodeIDs[s.rng.IntN(len(s.nodeIDs))]]
	other := s.nodeIDs[s.rng.IntN(len(s.nodeIDs))]
	switch s.rng.IntN(13) {
	case 0:
		s.crash(n)
	case 1, 2:
		if n.core == nil {
			s.boot(n)
		}
	case 3:
		s.blockedLinks[[2]string{n.id, other}] = true
	case 4:
		s.blockedLinks[[2]string{n.id, other}], s.blockedLinks[[2]string{other, n.id}] = true, true
	case 5, 6:
		s.blockedLinks = map[[2]string]bool{}
	case 7:
		s.compact(n)
	case 8:
		s.lossPct = []int{0, 5, 30}[s.rng.IntN(3)]
	case 9:
		if l := s.leader(); l != nil {
			s.crash(l)
		}
	case 10:
		if l := s.leader(); l != nil {
			l.core.TransferLeadership()
		}
	case 11:
		n.roomAt = s.now + time.Duration(s.rng.IntN(100))*simTick
	case 12:
		if l := s.leader(); l != nil {
			l.roomAt = s.now + time.Duration(s.rng.IntN(100))*simTick
		}
	}
}

// TestSchedules runs thousands of seeded schedules with crashes between any two steps
// of processing a Ready, network partitions in one or both directions, and lost,
// delayed, duplicated and reordered messages, and disks that take nothing for a while. It
// checks election safety, leader
// completeness and a single history of committed entries at every step, log matching
// in between, and that all processes make progress once the faults end.
func TestSchedules(t *testing.T) {
	for seed := uint64(*firstSeed); seed < uint64(*firstSeed+*schedules); seed++ {
		s := newSim(t, seed, 3+2*int(seed%2))
		for range 60 {
			s.run(1 + s.rng.IntN(6))
			for range s.rng.IntN(4) {
				s.propose()
			}
			s.injectFault()
			s.checkLogMatching()
		}
		s.heal()
		s.mustMakeProgress()
		s.checkLogMatching()
	}
}

// TestIsolatedVoterReturns isolates one voter for 10,000 election timeouts. Its return
// must change neither the leader nor the term.
func TestIsolatedVoterReturns(t *testing.T) {
	s := newSim(t, 7, 3)
	s.mustMakeProgress()
	l := s.leader()
	for _, id := range s.nodeIDs {
		if id != l.id {
			for _, o := range s.nodeIDs {
				s.blockedLinks[[2]string{id, o}], s.blockedLinks[[2]string{o, id}] = true, true
			}
			break
		}
	}
	term := l.core.Term()
	electionTime := 2 * simConfig("", "").ElectionTimeout
	for range 10_000 * int(electionTime/simTick) {
		s.step()
	}
	s.propose()
	s.heal()
	s.mustMakeProgress()
	if l.core.Role() != Leader || l.core.Term() != term {
		t.Fatalf("the returning voter deposed the leader: role %d, term %d, was %d", l.core.Role(), l.core.Term(), term)
	}
}

// TestWipedDisk checks that a voter whose disk was replaced by a blank one does not
// count as a voter until it has been removed and added again.
func TestWipedDisk(t *testing.T) {
	s := newSim(t, 8, 3)
	s.mustMakeProgress()
	l := s.leader()
	victim := s.nodes["a"]
	if l == victim {
		victim = s.nodes["b"]
	}
	s.crash(victim)
	s.addNode(victim.id, &simDisk{id: victim.id + "-2", hs: &pb.HardState{}, marks: map[string]*pb.Mark{}})
	s.run(100)
	if victim.core.LastIndex() != 0 || victim.core.Confirmed() {
		t.Fatal("a blank disk received the log or was confirmed")
	}
	s.replaceVoter(victim.id, victim.disk.id)
	s.mustMakeProgress()
	if !victim.core.Confirmed() || !victim.core.isVoter() {
		t.Fatal("the voter that was added again is not a confirmed voter")
	}
}

// replaceVoter removes a voter and adds it with another disk, first as a learner.
func (s *sim) replaceVoter(id, disk string) {
	s.t.Helper()
	s.commitVoterChange(func(set *pb.VoterSet) *pb.VoterSet { return WithoutMember(set, id) })
	s.commitVoterChange(func(set *pb.VoterSet) *pb.VoterSet {
		return WithLearner(set, &pb.Voter{Id: id, Disk: disk})
	})
	s.run(60)
	s.commitVoterChange(func(set *pb.VoterSet) *pb.VoterSet { return WithLearnerPromoted(set, id) })
}

func (s *sim) commitVoterChange(f func(*pb.VoterSet) *pb.VoterSet) {
	s.t.Helper()
	for range 200 {
		s.run(5)
		l := s.leader()
		if l == nil {
			continue
		}
		next := f(l.core.Voters())
		if _, _, err := l.core.ProposeVoters(next); err != nil {
			continue
		}
		s.run(20)
		return
	}
	s.fail("no voter set change was accepted")
}

// TestRolledBackDisk checks that a voter whose disk lost acknowledged entries or votes,
// because an older copy of the disk was restored, does not vote, and that the group
// keeps the committed entries.
func TestRolledBackDisk(t *testing.T) {
	caughtUp := 0
	defer func() { t.Logf("%d former leaders caught up before they could vote", caughtUp) }()
	for seed := range uint64(200) {
		s := newSim(t, seed, 3)
		s.mustMakeProgress()
		l := s.leader()
		victim := s.nodes[s.nodeIDs[s.rng.IntN(3)]]
		old := victim.disk.clone()
		for range 5 {
			s.propose()
			s.run(4)
		}
		acknowledged := &pb.Mark{Term: victim.core.durableTerm, Index: victim.core.ackedIndex}
		if victim == l {
			acknowledged.Index = victim.core.durableLast
		}
		s.crash(victim)
		s.run(s.rng.IntN(20))
		s.addNode(victim.id, old)
		for range 60 {
			s.step()
			if victim.core.Confirmed() && isBehindMark(victim.core.durableTerm, victim.core.durableLast, acknowledged) {
				s.fail("a rolled-back disk may vote, but holds less than it has acknowledged")
			}
		}
		if victim == l && !victim.core.Quarantined() {
			// A new leader, elected without it, has replicated the lost entries to it first.
			caughtUp++
			s.mustMakeProgress()
			continue
		}
		if !victim.core.Quarantined() {
			s.fail("the rolled-back disk was not quarantined")
		}
		s.crash(victim)
		s.boot(victim)
		s.run(60)
		if victim.core.Confirmed() {
			s.fail("a restart ended the quarantine")
		}
		s.mustMakeProgress()
		s.addNode(victim.id, &simDisk{id: victim.id + "-new", hs: &pb.HardState{}, marks: map[string]*pb.Mark{}})
		s.replaceVoter(victim.id, victim.id+"-new")
		s.mustMakeProgress()
	}
}

// TestSecondLossAfterReplacement loses a VM, replaces it, and at once loses another.
// The group must keep the committed entries and make progress.
func TestSecondLossAfterReplacement(t *testing.T) {
	for seed := range uint64(200) {
		s := newSim(t, seed, 3)
		s.mustMakeProgress()
		lost := s.nodeIDs[s.rng.IntN(3)]
		s.crash(s.nodes[lost])
		s.mustMakeProgressWithout(lost)
		s.addNode(lost, &simDisk{id: lost + "-2", hs: &pb.HardState{}, marks: map[string]*pb.Mark{}})
		s.replaceVoter(lost, lost+"-2")
		accepted := len(s.committed)
		var second *simNode
		for _, id := range s.nodeIDs {
			if id != lost && (second == nil || s.rng.IntN(2) == 0) {
				second = s.nodes[id]
			}
		}
		s.crash(second)
		s.crash(s.nodes[lost])
		s.boot(s.nodes[lost])
		s.mustMakeProgressWithout(second.id)
		if len(s.committed) <= accepted {
			s.fail("no entry was committed after the second loss")
		}
	}
}

func (s *sim) mustMakeProgressWithout(id string) {
	s.t.Helper()
	var rest []string
	for _, o := range s.nodeIDs {
		if o != id {
			rest = append(rest, o)
		}
	}
	s.mustMakeProgress(rest...)
}

// TestLeaderLossAtEachStep kills the leader after each number of steps that follow a
// proposal, and at each point of processing a Ready. A committed command must be kept
// and the group must make progress.
func TestLeaderLossAtEachStep(t *testing.T) {
	for seed := range uint64(10) {
		for steps := range 12 {
			for point := range 3 {
				s := newSim(t, seed, 3)
				s.mustMakeProgress()
				l := s.leader()
				s.propose()
				for range steps {
					s.step()
				}
				r := l.core.Ready()
				if point > 0 {
					s.send(r.Immediate)
				}
				if point > 1 {
					s.persist(l, r)
				}
				l.core = nil
				s.mustMakeProgressWithout(l.id)
				s.heal()
				s.mustMakeProgress()
			}
		}
	}
}

// Guards against a leader that gives up without a fault: one voter of three is lost, and large messages
// occupy the link between the two others again and again, each time for twice the election timeout.
// With a new leader after each, no change of the voters was completed.
func TestABusyLinkDoesNotChangeTheLeader(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(t, seed, 3)
		s.mustMakeProgress()
		l := s.leader()
		term := l.core.Term()
		lost := s.nodeIDs[(slices.Index(s.nodeIDs, l.id)+1)%3]
		s.crash(s.nodes[lost])
		for range 5 {
			for _, id := range s.nodeIDs {
				if id != l.id {
					s.blockedLinks[[2]string{id, l.id}], s.blockedLinks[[2]string{l.id, id}] = true, true
				}
			}
			s.run(int(2 * simConfig("", "").ElectionTimeout / simTick))
			clear(s.blockedLinks)
			s.run(10)
			if s.leader() != l || l.core.Term() != term {
				s.fail("leadership changed from %s, term %d", l.id, term)
			}
		}
		s.mustMakeProgressWithout(lost)
	}
}

// TestReadRound checks that a partitioned leader, which may have been replaced without
// knowing, does not confirm a read.
func TestReadRound(t *testing.T) {
	s := newSim(t, 5, 3)
	s.mustMakeProgress()
	old := s.leader()
	for _, id := range s.nodeIDs {
		if id != old.id {
			s.blockedLinks[[2]string{id, old.id}], s.blockedLinks[[2]string{old.id, id}] = true, true
		}
	}
	if err := old.core.ReadIndex(1); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		s.now += simTick
		old.core.Tick(s.now)
		r := old.core.Ready()
		if len(r.Reads) > 0 {
			t.Fatal("a read was confirmed without a majority")
		}
		if len(r.AbortedReads) == 1 {
			return
		}
	}
	t.Fatal("the read was neither confirmed nor aborted")
}

// TestHandOver checks that a leader can transfer leadership to another voter within
// 100 ms, in the next term.
func TestHandOver(t *testing.T) {
	s := newSim(t, 11, 3)
	s.mustMakeProgress()
	old := s.leader()
	term := old.core.Term()
	if !old.core.TransferLeadership() {
		t.Fatal("no voter holds the whole log")
	}
	s.run(5)
	if l := s.leader(); l == nil || l == old || l.core.Term() != term+1 {
		t.Fatal("leadership was not transferred within 100 ms")
	}
	s.mustMakeProgress()
}
