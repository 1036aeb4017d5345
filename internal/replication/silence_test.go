package replication

import (
	"testing"
	"time"
)

// Guards against a lost voter that is never removed, since each change of the leader begins its
// silence anew: leadership changes five times while a voter is gone. The last leader must know how
// long the voter is silent, and that the others are not.
func TestANewLeaderKnowsHowLongAVoterIsSilent(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(t, seed, 5)
		s.mustMakeProgress()
		lost := s.nodeIDs[s.rng.IntN(5)]
		s.crash(s.nodes[lost])
		began := s.now
		for range 5 {
			s.mustMakeProgressWithout(lost)
			if l := s.leader(); seed%2 == 0 {
				l.core.TransferLeadership()
			} else {
				s.crash(l)
				s.run(30)
				s.boot(l)
			}
		}
		s.mustMakeProgressWithout(lost)
		s.run(int(simConfig("", "").ElectionTimeout / simTick))
		l := s.leader()
		for _, id := range s.nodeIDs {
			p, _ := l.core.Progress(id)
			silent := time.Duration(p.SilentMs) * time.Millisecond
			if gone := s.now - began; id == lost && silent < gone-2*simConfig("", "").ElectionTimeout {
				s.fail("%s is gone for %s and known to be silent for %s", id, gone, silent)
			}
			if id != lost && silent > simConfig("", "").ElectionTimeout {
				s.fail("%s is said to be silent for %s", id, silent)
			}
		}
	}
}
