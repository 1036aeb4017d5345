package replication

import (
	"testing"
	"time"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// manageVoters changes the voters as the leader of a directory does: it removes a voter that was silent
// for six election timeouts while three are left, has processes that follow no leader or are no
// voters get the log, and promotes the ones that have caught up.
func (s *sim) manageVoters() {
	l := s.leader()
	if l == nil {
		return
	}
	silenceLimit := 6 * simConfig("", "").ElectionTimeout
	set := l.core.Voters()
	next, live := set, 0
	for _, v := range set.Voters {
		if p, ok := l.core.Progress(v.Id); v.Id == l.id || ok && p.SilentMs < silenceLimit.Milliseconds() {
			live++
		} else if next == set {
			next = WithoutMember(set, v.Id)
		}
	}
	if live < 3 {
		next = set
	}
	for _, id := range s.nodeIDs {
		n := s.nodes[id]
		switch p, _ := l.core.Progress(id); {
		case next != set || n.core == nil || n.held != nil || findVoter(set.Voters, id) != nil:
		case findVoter(set.Learners, id) == nil:
			next = WithLearner(set, &pb.Voter{Id: id, Disk: n.disk.id})
		case p.MatchIndex > 0 && p.MatchIndex+100 >= l.core.Commit():
			next = WithLearnerPromoted(set, id)
		}
	}
	if next != set {
		_, _, _ = l.core.ProposeVoters(next) // Another change may be pending.
	}
}

// Guards against a group that takes no changes once all disks have room again, where voters that
// were silent for long are removed and join again with the disk that they had. A change must be
// committed and applied by all, and all must be voters again.
func TestDisksFullInTurnWhileVotersAreReplaced(t *testing.T) {
	const recovery = 15
	for _, n := range []int{4, 5, 6} {
		removals, slowest := 0, time.Duration(0)
		for seed := uint64(*fullFirstSeed); seed < uint64(*fullFirstSeed+*fullSeeds); seed++ {
			s := newSim(t, seed, n)
			s.managed = true
			s.mustMakeProgress()
			restarts := s.rng.IntN(2) == 0
			for range 2 {
				s.fillInTurn(restarts)
			}
			s.heal()
			began := s.now
			s.awaitChange(recovery * simConfig("", "").ElectionTimeout)
			slowest = max(slowest, s.now-began)
			for end := s.now + recovery*simConfig("", "").ElectionTimeout; len(s.voterIDs()) < n; s.run(5) {
				if s.now > end {
					s.logNodes()
					s.fail("voters %v of %v", s.voterIDs(), s.nodeIDs)
				}
			}
			s.checkLogMatching()
			for _, e := range s.committed {
				if e.Type == pb.EntryType_VOTERS && e.Index > 1 && len(decodeVoterSet(s, e).Voters) < n && len(decodeVoterSet(s, e).Learners) == 0 {
					removals++
				}
			}
		}
		t.Logf("%d processes: slowest recovery %s, %d removals", n, slowest, removals)
		if removals < *fullSeeds {
			t.Errorf("%d processes: only %d voters were removed", n, removals)
		}
	}
}
