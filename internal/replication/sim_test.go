package replication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// simDisk is the durable state of a simulated process.
type simDisk struct {
	id    string
	hs    *pb.HardState
	snap  *pb.SnapshotMeta
	log   []*pb.Entry
	marks map[string]*pb.Mark
}

func (d *simDisk) clone() *simDisk {
	c := *d
	c.log = append([]*pb.Entry(nil), d.log...)
	c.marks = map[string]*pb.Mark{}
	for k, v := range d.marks {
		c.marks[k] = v
	}
	return &c
}

func (d *simDisk) append(es []*pb.Entry) {
	if len(es) == 0 {
		return
	}
	at := es[0].Index - d.snap.GetIndex() - 1
	d.log = append(d.log[:at:at], es...)
}

type simNode struct {
	id      string
	disk    *simDisk
	core    *Core
	applied uint64
	boots   int
	// Until roomAt the disk takes nothing. held is the work that waits for it, with the core
	// suspended.
	roomAt time.Duration
	held   *Ready
	// receiving is the transfer of the snapshot that is to be installed.
	receiving *snapshotTransfer
	// installs counts the snapshots that were installed.
	installs int
}

// snapshotTransfer is a stream that brings a snapshot. Its sender is told at endsAt whether the
// snapshot was taken or refused, or that the stream broke.
type snapshotTransfer struct {
	m           *pb.Message
	senderBoots int
	endsAt      time.Duration
	broken      bool
}

type inFlightMessage struct {
	deliverAt time.Duration
	m         *pb.Message
}

// sim simulates a group in virtual time, over a network that loses, delays,
// duplicates and reorders messages and has partitions.
type sim struct {
	t            testing.TB
	rng          *rand.Rand
	seed         uint64
	now          time.Duration
	nodes        map[string]*simNode
	nodeIDs      []string
	inFlight     []inFlightMessage
	transfers    []*snapshotTransfer
	blockedLinks map[[2]string]bool
	lossPct      int
	// maxDelay bounds the delay of a message; with loss, one in ten takes 20 times its
	// drawn delay.
	maxDelay time.Duration
	// committed is the single history of committed entries, in the order of indexes.
	committed   []*pb.Entry
	leaders     map[uint64]string
	lastCommand int
	// writes counts the writes to disk of each process.
	writes map[string]int
	// managed is set if the leader changes the voters as in a directory.
	managed bool
}

const simTick = 20 * time.Millisecond

func simConfig(id, disk string) Config {
	c := DefaultConfig(id, disk)
	c.ElectionTimeout, c.HeartbeatInterval = 200*time.Millisecond, 40*time.Millisecond
	c.QuorumTimeout = 3 * c.ElectionTimeout
	// As in a directory, a snapshot may take over a hundred election timeouts.
	c.ConfirmTimeout, c.InstallTimeout = 600*time.Millisecond, 120*c.ElectionTimeout
	c.MaxAppendBytes, c.MaxInflightMessages = 300, 4
	return c
}

func newSim(t testing.TB, seed uint64, n int) *sim {
	s := &sim{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{},
		blockedLinks: map[[2]string]bool{}, leaders: map[uint64]string{}, writes: map[string]int{}, maxDelay: 15 * time.Millisecond,
	}
	set := &pb.VoterSet{}
	for i := range n {
		id := string(rune('a' + i))
		set.Voters = append(set.Voters, &pb.Voter{Id: id, Disk: id + "-1"})
	}
	data, _ := proto.Marshal(set)
	first := &pb.Entry{Term: 1, Index: 1, Type: pb.EntryType_VOTERS, Data: data}
	s.committed = []*pb.Entry{first}
	for _, v := range set.Voters {
		d := &simDisk{id: v.Disk, hs: &pb.HardState{Term: 1, Commit: 1}, log: []*pb.Entry{first}, marks: map[string]*pb.Mark{}}
		s.addNode(v.Id, d)
	}
	return s
}

func (s *sim) addNode(id string, d *simDisk) *simNode {
	n := s.nodes[id]
	if n == nil {
		n = &simNode{id: id}
		s.nodes[id] = n
		s.nodeIDs = append(s.nodeIDs, id)
	}
	n.disk = d
	s.boot(n)
	return n
}

func (s *sim) boot(n *simNode) {
	n.boots++
	r := RestoredState{HardState: n.disk.hs, Snapshot: n.disk.snap, Entries: append([]*pb.Entry(nil), n.disk.log...)}
	for _, m := range n.disk.marks {
		r.Marks = append(r.Marks, m)
	}
	n.applied = n.disk.snap.GetIndex()
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	n.core, n.held = New(simConfig(n.id, n.disk.id), rng, s.now, r), nil
}

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
}

// crash stops a node at a random point of processing a Ready. What is not on its disk
// is lost.
func (s *sim) crash(n *simNode) {
	if n.core == nil {
		return
	}
	defer func() { s.endTransfer(n, true) }()
	if n.held != nil {
		n.core = nil
		return
	}
	r := n.core.Ready()
	switch s.rng.IntN(3) {
	case 0:
	case 1:
		s.send(r.Immediate)
	case 2:
		s.send(r.Immediate)
		s.persist(n, r)
	}
	n.core = nil
}

func (s *sim) persist(n *simNode, r Ready) {
	if r.NeedsSync() {
		s.writes[n.id]++
	}
	if r.Install != nil {
		n.disk.snap, n.disk.log = r.Install, nil
		n.applied = r.Install.Index
		n.installs++
		s.endTransfer(n, false)
	}
	if r.HardState != nil {
		n.disk.hs = r.HardState
	}
	n.disk.append(r.Entries)
	for _, m := range r.Marks {
		n.disk.marks[m.Disk] = m
	}
}

func (s *sim) processReady(n *simNode) {
	for n.core != nil {
		var r Ready
		if n.held != nil {
			if s.now < n.roomAt {
				s.send(n.core.HandOverSuspended())
				break
			}
			r = *n.held
		} else {
			r = n.core.Ready()
			if r.Empty() {
				break
			}
			s.send(r.Immediate)
			if s.now < n.roomAt && (r.NeedsSync() || r.Install != nil) {
				n.held = &r
				n.core.Suspend()
				s.send(n.core.HandOverSuspended())
				break
			}
		}
		s.persist(n, r)
		n.core.ReportDurable(r)
		if n.held != nil {
			n.held = nil
			n.core.Resume()
		}
		s.send(r.Messages)
		for _, e := range r.Committed {
			s.apply(n, e)
		}
	}
	if n.core != nil && n.core.Role() == Leader {
		s.checkLeaderSafety(n)
	}
}

func (s *sim) apply(n *simNode, e *pb.Entry) {
	if e.Index != n.applied+1 {
		s.fail("%s applied entry %d after entry %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	if int(e.Index) <= len(s.committed) {
		if c := s.committed[e.Index-1]; c.Term != e.Term || string(c.Data) != string(e.Data) {
			s.fail("%s applied an entry at %d that differs from the committed one", n.id, e.Index)
		}
		return
	}
	s.committed = append(s.committed, e)
}

// checkLeaderSafety checks election safety and leader completeness.
func (s *sim) checkLeaderSafety(n *simNode) {
	term := n.core.Term()
	if was, ok := s.leaders[term]; ok {
		if was != n.disk.id {
			s.fail("term %d has two leaders: %s and %s", term, was, n.disk.id)
		}
		return
	}
	s.leaders[term] = n.disk.id
	for _, c := range s.committed {
		t, ok := n.core.log.term(c.Index)
		if c.Index > n.core.log.base && (!ok || t != c.Term) {
			s.fail("leader %s of term %d does not hold committed entry %d", n.id, term, c.Index)
		}
	}
}

// checkLogMatching checks that two logs that agree on an entry's term agree on all
// entries before it.
func (s *sim) checkLogMatching() {
	for _, a := range s.nodeIDs {
		for _, b := range s.nodeIDs {
			x, y := s.nodes[a].core, s.nodes[b].core
			if a >= b || x == nil || y == nil {
				continue
			}
			same := false
			for i := min(x.log.last(), y.log.last()); i > max(x.log.base, y.log.base); i-- {
				tx, _ := x.log.term(i)
				ty, _ := y.log.term(i)
				if same && tx != ty {
					s.fail("logs of %s and %s differ at index %d, below a matching entry", a, b, i)
				}
				same = same || tx == ty
			}
		}
	}
}

func (s *sim) send(ms []*pb.Message) {
	for _, m := range ms {
		if m.Type == pb.MessageType_SNAPSHOT {
			s.sendSnapshot(m)
			continue
		}
		if s.blockedLinks[[2]string{m.From, m.To}] || s.rng.IntN(100) < s.lossPct {
			continue
		}
		copies := 1
		if s.lossPct > 0 && s.rng.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			d := time.Duration(s.rng.IntN(int(s.maxDelay.Milliseconds()))) * time.Millisecond
			if s.lossPct > 0 && s.rng.IntN(10) == 0 {
				d *= 20
			}
			s.inFlight = append(s.inFlight, inFlightMessage{s.now + d, proto.Clone(m).(*pb.Message)})
		}
	}
}

// step advances the time by one tick and delivers the messages that are due, in random
// order.
func (s *sim) step() {
	s.now += simTick
	var due, later []inFlightMessage
	for _, f := range s.inFlight {
		if f.deliverAt <= s.now {
			due = append(due, f)
		} else {
			later = append(later, f)
		}
	}
	s.inFlight = later
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	s.reportTransfers()
	if s.managed && s.rng.IntN(5) == 0 {
		s.manageVoters()
	}
	for _, f := range due {
		n := s.nodes[f.m.To]
		if f.m.Type == pb.MessageType_SNAPSHOT {
			s.receiveSnapshot(f.m)
			continue
		}
		if n == nil || n.core == nil || s.blockedLinks[[2]string{f.m.From, f.m.To}] {
			continue
		}
		n.core.advanceClock(s.now)
		n.core.Step(f.m)
		if s.rng.IntN(3) > 0 {
			s.processReady(n)
		}
	}
	for _, id := range s.nodeIDs {
		if n := s.nodes[id]; n.core != nil {
			n.core.Tick(s.now)
			s.processReady(n)
		}
	}
}

func (s *sim) run(steps int) {
	for range steps {
		s.step()
	}
}

// leader returns the leader of the highest term. A suspended process does not count, since
// it reports that it does not lead.
func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.nodeIDs {
		n := s.nodes[id]
		if n.core != nil && n.held == nil && n.core.Role() == Leader && (best == nil || n.core.Term() > best.core.Term()) {
			best = n
		}
	}
	return best
}

// propose proposes a command to every process that considers itself the leader.
func (s *sim) propose() {
	for _, id := range s.nodeIDs {
		if n := s.nodes[id]; n.core != nil && n.core.Role() == Leader {
			s.lastCommand++
			_, _, _ = n.core.Propose(fmt.Appendf(nil, "command %d by %s", s.lastCommand, id))
		}
	}
}

func (s *sim) compact(n *simNode) {
	if n.core == nil || n.applied <= n.core.snapshot.GetIndex() || n.applied < n.core.log.base {
		return
	}
	s.processReady(n)
	term, ok := n.core.log.term(n.applied)
	if !ok || n.held != nil {
		return
	}
	meta := &pb.SnapshotMeta{Index: n.applied, Term: term, Voters: cloneVoterSet(n.core.Voters()), VotersIndex: n.core.votersIndex}
	keep := n.applied - min(n.applied, uint64(s.rng.IntN(3)))
	n.disk.log = append([]*pb.Entry(nil), n.core.log.slice(n.applied+1, n.core.log.last(), 1<<30)...)
	n.disk.snap = meta
	n.core.Compact(meta, keep)
}

// heal ends all network faults, gives all disks room and restarts every process that is
// down.
func (s *sim) heal() {
	s.lossPct = 0
	s.blockedLinks = map[[2]string]bool{}
	for _, id := range s.nodeIDs {
		n := s.nodes[id]
		n.roomAt = 0
		if n.core == nil {
			s.boot(n)
		}
	}
}

// mustMakeProgress fails the test unless the group commits a command and all given
// members, by default all processes, apply it.
func (s *sim) mustMakeProgress(members ...string) {
	s.t.Helper()
	if len(members) == 0 {
		members = s.nodeIDs
	}
	for range 60 {
		s.run(10)
		l := s.leader()
		if l == nil {
			continue
		}
		before := len(s.committed)
		s.propose()
		s.run(20)
		behind := 0
		for _, id := range members {
			if s.nodes[id].applied < uint64(len(s.committed)) {
				behind++
			}
		}
		if len(s.committed) > before && behind == 0 {
			return
		}
	}
	s.logNodes()
	s.fail("the group did not commit and apply a command in 60 attempts")
}

// logNodes logs the state of each process.
func (s *sim) logNodes() {
	s.t.Helper()
	for _, id := range s.nodeIDs {
		if c := s.nodes[id].core; c != nil {
			s.t.Logf("%s: role %d term %d last %d commit %d confirmed %v quarantined %v voters %v", id, c.role, c.term, c.log.last(), c.commit, c.confirmed, c.quarantined, c.voters)
		}
	}
}

func decodeVoterSet(s *sim, e *pb.Entry) *pb.VoterSet {
	set := &pb.VoterSet{}
	if err := proto.Unmarshal(e.Data, set); err != nil {
		s.fail("entry %d: %v", e.Index, err)
	}
	return set
}
