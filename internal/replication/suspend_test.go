package replication

import (
	"testing"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// A leader whose disk is full must hand over at once: before the others would notice that it
// is silent.
func TestALeaderWithAFullDiskHandsOverAtOnce(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(t, seed, 3)
		s.mustMakeProgress()
		old := s.leader()
		old.roomAt = s.now + time.Hour
		began := s.now
		s.propose()
		for s.leader() == old || s.leader() == nil {
			s.step()
			if s.now-began > simConfig("", "").ElectionTimeout {
				s.fail("no other voter leads %s after the leader's disk was full", s.now-began)
			}
		}
		s.mustMakeProgressWithout(old.id)
		if old.core.Commit() >= uint64(len(s.committed)) {
			s.fail("the voter without room follows the log")
		}
		old.roomAt = 0
		s.mustMakeProgress()
	}
}

// A voter without room grants no vote and acknowledges nothing until its disk holds it.
func TestAVoterWithAFullDiskAcknowledgesNothing(t *testing.T) {
	s := newSim(t, 3, 3)
	s.mustMakeProgress()
	var voter *simNode
	for _, id := range s.nodeIDs {
		if n := s.nodes[id]; n != s.leader() {
			voter = n
		}
	}
	voter.roomAt = s.now + time.Hour
	s.propose()
	s.run(10)
	if voter.held == nil {
		t.Fatal("the voter was sent nothing to persist")
	}
	acked := voter.core.ackedIndex
	for range 100 {
		s.propose()
		s.step()
		for _, f := range s.inFlight {
			if f.m.From == voter.id && (f.m.Type == pb.MessageType_APPEND_REPLY || f.m.Type == pb.MessageType_VOTE_REPLY) && f.m.Index > uint64(len(voter.disk.log)) {
				t.Fatalf("sent %v while its disk takes nothing", f.m)
			}
		}
	}
	if voter.core.ackedIndex != acked {
		t.Errorf("acknowledged up to %d, was %d", voter.core.ackedIndex, acked)
	}
	if _, _, err := voter.core.Propose(nil); err == nil {
		t.Error("accepted a proposal")
	}
	voter.roomAt = 0
	s.mustMakeProgress()
}
