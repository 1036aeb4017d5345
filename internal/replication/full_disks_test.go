package replication

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// Flags to run more schedules, or to rerun a single one: -full-seeds 1 -full-first-seed N.
var (
	fullSeeds     = flag.Int("full-seeds", 40, "schedules with disks that are full in turn, for each number of processes")
	fullFirstSeed = flag.Int("full-first-seed", 0, "seed of the first schedule with full disks")
)

// stalledSeeds are the seeds, by the number of processes, that failed while a leader waited for the
// acknowledgement of a snapshot that was lost, since it was suspended when it came.
var stalledSeeds = map[int][]uint64{
	3: {205, 223, 510, 515, 566, 573},
	5: {4, 256, 343, 389, 424, 427, 489, 507, 571},
	6: {18, 44, 47, 163, 423, 452, 455, 483},
}

func seedRange(first, n int) (seeds []uint64) {
	for i := range n {
		seeds = append(seeds, uint64(first+i))
	}
	return seeds
}

// sendSnapshot begins the transfer of a snapshot. It is a stream: it arrives once, or breaks.
func (s *sim) sendSnapshot(m *pb.Message) {
	delay := time.Duration(s.rng.IntN(int(s.maxDelay.Milliseconds()))) * time.Millisecond
	if s.blockedLinks[[2]string{m.From, m.To}] || s.rng.IntN(100) < s.lossPct {
		s.transfers = append(s.transfers, &snapshotTransfer{m: m, senderBoots: s.nodes[m.From].boots, endsAt: s.now + delay, broken: true})
		return
	}
	s.inFlight = append(s.inFlight, inFlightMessage{s.now + delay, proto.Clone(m).(*pb.Message)})
}

// receiveSnapshot passes a snapshot to its receiver. The stream ends once it is installed or refused.
func (s *sim) receiveSnapshot(m *pb.Message) {
	sender, n := s.nodes[m.From], s.nodes[m.To]
	if sender == nil {
		return
	}
	t := &snapshotTransfer{m: m, senderBoots: sender.boots, endsAt: s.now + time.Duration(s.rng.IntN(20))*time.Millisecond}
	blocked := s.blockedLinks[[2]string{m.From, m.To}] || s.blockedLinks[[2]string{m.To, m.From}]
	if n == nil || n.core == nil || blocked || m.ToDisk != n.disk.id || n.held != nil || n.receiving != nil {
		t.broken = true
		s.transfers = append(s.transfers, t)
		return
	}
	n.core.advanceClock(s.now)
	n.core.Step(m)
	if n.core.ready.Install != m.Snapshot {
		s.transfers = append(s.transfers, t)
		return
	}
	n.receiving = t
	if s.rng.IntN(3) > 0 {
		s.processReady(n)
	}
}

// endTransfer ends the transfer that a process waits to install.
func (s *sim) endTransfer(n *simNode, broken bool) {
	if t := n.receiving; t != nil {
		n.receiving, t.broken, t.endsAt = nil, broken, s.now+time.Duration(s.rng.IntN(20))*time.Millisecond
		s.transfers = append(s.transfers, t)
	}
}

// reportTransfers tells the senders of the transfers that have ended.
func (s *sim) reportTransfers() {
	var later []*snapshotTransfer
	for _, t := range s.transfers {
		n := s.nodes[t.m.From]
		switch {
		case t.endsAt > s.now:
			later = append(later, t)
		case n == nil || n.core == nil || n.boots != t.senderBoots:
		case t.broken:
			n.core.ReportSnapshotFailure(t.m.To)
		default:
			n.core.ReportSnapshotSent(t.m.To, t.m.Snapshot.Index)
		}
	}
	s.transfers = later
}

// proposeLarge proposes a command of up to a few times the size of an append message.
func (s *sim) proposeLarge() (index uint64, ok bool) {
	l := s.leader()
	if l == nil {
		return 0, false
	}
	s.lastCommand++
	data := append(fmt.Appendf(nil, "command %d ", s.lastCommand), bytes.Repeat([]byte{'x'}, s.rng.IntN(4*simConfig("", "").MaxAppendBytes))...)
	index, _, err := l.core.Propose(data)
	return index, err == nil
}

// Guards against a group that takes no changes once all disks have room again: the disk of each
// process is full in turn, the leader's first, under large changes, while snapshots are saved and
// sent and processes restart. From the last one on, with all processes up, a change must be committed
// and applied everywhere within a few election timeouts.
func TestDisksFullInTurn(t *testing.T) {
	const recovery = 15
	for _, n := range []int{3, 5, 6} {
		installs, slowest := 0, time.Duration(0)
		for _, seed := range append(stalledSeeds[n], seedRange(*fullFirstSeed, *fullSeeds)...) {
			s := newSim(t, seed, n)
			s.mustMakeProgress()
			if s.rng.IntN(3) == 0 {
				s.lossPct = 2
			}
			restarts := s.rng.IntN(2) == 0
			for range 2 {
				s.fillInTurn(restarts)
			}
			s.heal()
			began := s.now
			s.awaitChange(recovery * simConfig("", "").ElectionTimeout)
			slowest = max(slowest, s.now-began)
			s.checkLogMatching()
			for _, node := range s.nodes {
				installs += node.installs
			}
		}
		t.Logf("%d processes: slowest recovery %s, %d snapshots installed", n, slowest, installs)
		if installs < *fullSeeds/2 {
			t.Errorf("%d processes: only %d snapshots were installed", n, installs)
		}
	}
}

// fillInTurn fills the disk of each process once, never two at a time, under changes. Processes save
// snapshots now and then, and if restarts is set some are killed while their disk is full.
func (s *sim) fillInTurn(restarts bool) {
	s.t.Helper()
	left := append([]string(nil), s.nodeIDs...)
	s.rng.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	for len(left) > 0 {
		next := 0
		for i, id := range left {
			if s.leader() == s.nodes[id] {
				next = i
			}
		}
		p := s.nodes[left[next]]
		left = append(left[:next], left[next+1:]...)
		steps := 5 + s.rng.IntN(150)
		p.roomAt = s.now + time.Duration(steps)*simTick
		killAt := -1
		if restarts && s.rng.IntN(2) == 0 {
			killAt = s.rng.IntN(steps)
		}
		for i := range steps + s.rng.IntN(10) {
			s.step()
			if s.rng.IntN(4) == 0 {
				s.proposeLarge()
			}
			if s.rng.IntN(10) == 0 {
				s.compact(s.nodes[s.nodeIDs[s.rng.IntN(len(s.nodeIDs))]])
			}
			if i == killAt {
				s.crash(p)
				s.boot(p)
			}
		}
	}
}

// awaitChange fails the test unless a change that is proposed from now on is committed, and applied by
// all processes, within the bound.
func (s *sim) awaitChange(bound time.Duration) {
	s.t.Helper()
	least := uint64(len(s.committed))
	for end := s.now + bound; ; s.step() {
		applied := uint64(1 << 63)
		for _, id := range s.nodeIDs {
			applied = min(applied, s.nodes[id].applied)
		}
		if applied > least && s.committed[least].Type == pb.EntryType_COMMAND {
			return
		}
		if applied > least {
			least++
		}
		if s.now > end {
			s.logNodes()
			s.fail("no change was committed and applied everywhere within %s", bound)
		}
		if s.rng.IntN(4) == 0 {
			s.proposeLarge()
		}
	}
}
