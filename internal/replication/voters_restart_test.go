package replication

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

func blankDisk(id string) *simDisk {
	return &simDisk{id: id, hs: &pb.HardState{}, marks: map[string]*pb.Mark{}}
}

// replaceLostVoter loses the process b for good and has d take its place: d is added while b
// still counts, then b is removed. It returns the index of the entry that removes b.
func (s *sim) replaceLostVoter() uint64 {
	s.t.Helper()
	s.crash(s.nodes["b"])
	delete(s.nodes, "b")
	s.nodeIDs = []string{"a", "c"}
	s.mustMakeProgress()
	s.addNode("d", blankDisk("d-1"))
	s.commitVoterChange(func(set *pb.VoterSet) *pb.VoterSet {
		return WithLearner(set, &pb.Voter{Id: "d", Disk: "d-1"})
	})
	s.run(20)
	s.commitVoterChange(func(set *pb.VoterSet) *pb.VoterSet { return WithLearnerPromoted(set, "d") })
	s.run(10)
	return s.proposeRemoval("b")
}

// proposeRemoval proposes to remove a voter and returns the index of the entry.
func (s *sim) proposeRemoval(id string) uint64 {
	s.t.Helper()
	for range 200 {
		s.step()
		if l := s.leader(); l != nil && findVoter(l.core.Voters().Voters, id) != nil {
			if index, _, err := l.core.ProposeVoters(WithoutMember(l.core.Voters(), id)); err == nil {
				return index
			}
		}
	}
	s.fail("the removal of %s was not accepted", id)
	return 0
}

// restartAllButOneDisk crashes all processes at the same moment. All return, one of them with a
// blank disk.
func (s *sim) restartAllButOneDisk(lost string) {
	for _, id := range s.nodeIDs {
		s.crash(s.nodes[id])
	}
	s.inFlight = nil
	for _, id := range s.nodeIDs {
		if id == lost {
			s.addNode(id, blankDisk(id+"-lost"))
		} else {
			s.boot(s.nodes[id])
		}
	}
}

func without(ids []string, id string) []string {
	var out []string
	for _, o := range ids {
		if o != id {
			out = append(out, o)
		}
	}
	return out
}

// Guards against a quorum that is lost for good: a voter was removed, nothing changed since, all
// voters restart and one of them loses its disk. The others must know that the removal is
// committed, or they wait for the removed voter.
func TestARemovedVoterStaysRemovedAfterARestartOfAllVoters(t *testing.T) {
	for seed := range uint64(100) {
		for _, lost := range []string{"a", "c", "d"} {
			s := newSim(t, seed, 3)
			s.replaceLostVoter()
			s.run(20)
			s.restartAllButOneDisk(lost)
			s.mustMakeProgress(without(s.nodeIDs, lost)...)
		}
	}
}

// Guards against an acknowledgement that rests on a voter set which too few voters know to be
// committed: commands are proposed beside the removal of a voter, and all voters restart as soon
// as one of them that is newer than the removal is applied. With any one disk lost, the others
// must go on and hold the command.
func TestACommandIsAcknowledgedOnlyOnceItsVoterSetIsDurable(t *testing.T) {
	restarts := 0
	for seed := range uint64(300) {
		for _, lost := range []string{"a", "c", "d"} {
			s := newSim(t, seed, 3)
			removal := s.replaceLostVoter()
			s.propose()
			if seed%4 == 1 {
				// One voter hears of nothing for a while.
				far := s.nodeIDs[s.rng.IntN(3)]
				for _, id := range s.nodeIDs {
					s.blockedLinks[[2]string{id, far}] = true
				}
			}
			s.lossPct = 20
			acknowledged := func() bool {
				for _, e := range s.committed[min(len(s.committed), int(removal)):] {
					if e.Type == pb.EntryType_COMMAND {
						return true
					}
				}
				return false
			}
			for i := 0; i < 50 && !acknowledged(); i++ {
				s.step()
				if s.rng.IntN(3) == 0 {
					s.propose()
				}
			}
			if !acknowledged() {
				continue
			}
			restarts++
			s.lossPct, s.blockedLinks = 0, map[[2]string]bool{}
			s.restartAllButOneDisk(lost)
			s.mustMakeProgress(without(s.nodeIDs, lost)...)
		}
	}
	t.Logf("%d restarts", restarts)
	if restarts < 300 {
		t.Fatalf("only %d schedules acknowledged a command after the removal", restarts)
	}
}

// Guards against voters that wait for a removed one although another process knows of the
// removal: here that one's log is shorter, so that it cannot be elected, and the voter with the
// longer log does not know that the removal is committed.
func TestAVoterLearnsFromAnotherWhatIsCommitted(t *testing.T) {
	four := &pb.VoterSet{Voters: []*pb.Voter{{Id: "a", Disk: "a-1"}, {Id: "b", Disk: "b-1"}, {Id: "c", Disk: "c-1"}, {Id: "d", Disk: "d-1"}}}
	for seed := range uint64(50) {
		for _, restarted := range []bool{true, false} {
			s := newSim(t, seed, 0)
			var log []*pb.Entry
			for i, set := range []*pb.VoterSet{four, WithoutMember(four, "b")} {
				data, err := proto.Marshal(set)
				if err != nil {
					t.Fatal(err)
				}
				log = append(log, &pb.Entry{Term: 1, Index: uint64(i + 1), Type: pb.EntryType_VOTERS, Data: data})
			}
			s.committed = log
			longer := append(log[:2:2], &pb.Entry{Term: 1, Index: 3, Data: []byte("command 1")})
			s.addNode("a", blankDisk("a-lost"))
			s.addNode("c", &simDisk{id: "c-1", hs: &pb.HardState{Term: 1, Commit: 2}, log: log, marks: map[string]*pb.Mark{}})
			s.addNode("d", &simDisk{id: "d-1", hs: &pb.HardState{Term: 1, Commit: 1}, log: longer, marks: map[string]*pb.Mark{}})
			for _, id := range []string{"c", "d"} {
				s.nodes[id].core.confirmed = !restarted
			}
			s.mustMakeProgress("c", "d")
		}
	}
}

// Guards against more than one write to disk for each change of the voters, and against one for
// each entry, beyond those that the entries themselves need.
func TestACommittedVoterChangeCostsOneWrite(t *testing.T) {
	writes := func(change bool) map[string]int {
		s := newSim(t, 4, 3)
		s.mustMakeProgress()
		s.run(50)
		s.writes = map[string]int{}
		for range 10 {
			s.propose()
			s.run(10)
		}
		if change {
			s.proposeRemoval("c")
		}
		s.run(50)
		return s.writes
	}
	calm, changed := writes(false), writes(true)
	for _, id := range []string{"a", "b"} {
		t.Logf("%s: %d writes for 10 commands, %d with a change of the voters", id, calm[id], changed[id])
		if calm[id] != 10 {
			t.Errorf("%s wrote %d times for 10 commands", id, calm[id])
		}
		if n := changed[id] - calm[id]; n != 2 {
			t.Errorf("%s wrote %d times for a change of the voters, want one for its entry and one that it is committed", id, n)
		}
	}
}

// Guards against voter sets without a common majority that both commit, and against a committed
// entry that is lost: voters are replaced, all voters restart at the same moment, and disks are
// lost, of a minority of the voters at a time.
func TestSchedulesWithLostDisksAndRestartsOfAllVoters(t *testing.T) {
	lostDisks, restarts, changes := 0, 0, 0
	for seed := uint64(*firstSeed); seed < uint64(*firstSeed+*schedules/4); seed++ {
		s := newSim(t, seed, 3+2*int(seed%2))
		wipes := map[string]int{}
		for range 60 {
			s.run(1 + s.rng.IntN(8))
			for range s.rng.IntN(3) {
				s.propose()
			}
			if !s.proposeRemovalOfLostDisk() {
				s.proposeVoterChange(wipes)
			}
			switch s.rng.IntN(12) {
			case 0:
				restarts++
				for _, id := range s.nodeIDs {
					s.crash(s.nodes[id])
				}
				for _, id := range s.nodeIDs {
					s.boot(s.nodes[id])
				}
			case 1:
				lostDisks += s.loseDisk(wipes)
			case 2, 3, 4:
				s.injectFault()
			}
			s.checkLogMatching()
			s.checkCommitted()
		}
		s.heal()
		s.run(200)
		s.removeLostDisks()
		s.run(200)
		s.mustMakeProgress(s.voterIDs()...)
		s.checkCommitted()
		for _, e := range s.committed {
			if e.Type == pb.EntryType_VOTERS {
				changes++
			}
		}
	}
	t.Logf("%d lost disks, %d restarts of all voters, %d committed voter sets", lostDisks, restarts, changes)
	if lostDisks < *schedules/8 || restarts < *schedules {
		t.Fatalf("only %d disks were lost and all voters restarted %d times", lostDisks, restarts)
	}
}

// loseDisk replaces the disk of a process by a blank one if a majority of the voters is left with
// theirs in every voter set that may be in force, and something newer than the last change of the
// voters is committed. It returns the number of disks lost.
func (s *sim) loseDisk(wipes map[string]int) int {
	id := s.nodeIDs[s.rng.IntN(len(s.nodeIDs))]
	if s.committed[len(s.committed)-1].Type == pb.EntryType_VOTERS {
		return 0
	}
	for _, set := range s.setsInForce() {
		if len(set.Learners) > 0 {
			return 0
		}
		intact := 0
		for _, v := range set.Voters {
			if v.Id != id && s.nodes[v.Id].disk.id == v.Disk {
				intact++
			}
		}
		if intact < majority(len(set.Voters)) {
			return 0
		}
	}
	s.wipe(id, wipes)
	return 1
}

// setsInForce returns the newest committed voter set and those after it that a log or a message
// holds.
func (s *sim) setsInForce() []*pb.VoterSet {
	newest := 0
	for i, e := range s.committed {
		if e.Type == pb.EntryType_VOTERS {
			newest = i
		}
	}
	out := []*pb.VoterSet{decodeVoterSet(s, s.committed[newest])}
	add := func(es []*pb.Entry) {
		for _, e := range es {
			if e.Type == pb.EntryType_VOTERS && e.Index > uint64(newest+1) {
				out = append(out, decodeVoterSet(s, e))
			}
		}
	}
	for _, id := range s.nodeIDs {
		n := s.nodes[id]
		add(n.disk.log)
		if n.core != nil {
			add(n.core.log.entries)
		}
	}
	for _, f := range s.inFlight {
		add(f.m.Entries)
	}
	return out
}

// proposeRemovalOfLostDisk proposes to remove a voter whose disk was lost, if there is one. It
// reports whether there is: then no other voter may be removed.
func (s *sim) proposeRemovalOfLostDisk() bool {
	for _, set := range s.setsInForce() {
		for _, v := range set.Voters {
			if s.nodes[v.Id].disk.id == v.Disk {
				continue
			}
			if l := s.leader(); l != nil {
				_, _, _ = l.core.ProposeVoters(WithoutMember(l.core.Voters(), v.Id))
			}
			return true
		}
	}
	return false
}

// removeLostDisks removes the voters whose disk was lost.
func (s *sim) removeLostDisks() {
	s.t.Helper()
	for range 200 {
		s.run(20)
		if !s.proposeRemovalOfLostDisk() {
			return
		}
	}
	s.logNodes()
	s.fail("a voter whose disk was lost was not removed after the faults ended")
}

// checkCommitted checks that every committed entry is held by a voter of the newest committed
// set that has its disk.
func (s *sim) checkCommitted() {
	last := s.committed[len(s.committed)-1]
	set := s.setsInForce()[0]
	for _, v := range set.Voters {
		d := s.nodes[v.Id].disk
		if d.id != v.Disk {
			continue
		}
		if last.Index <= d.snap.GetIndex() {
			return
		}
		for _, e := range d.log {
			if e.Index == last.Index && e.Term == last.Term {
				return
			}
		}
	}
	s.fail("no voter of %v holds committed entry %d of term %d", set, last.Index, last.Term)
}
