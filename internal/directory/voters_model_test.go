package directory

import (
	"fmt"
	"math/bits"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// The model of a group of voters whose states TestNoStateOfTheVoters... search. Its steps are those of the
// replication: a vote, the transfer of a log, a commit, a restart. Quorums, the disks that are left uncounted, the
// changes of the voters and resignations are decided by the functions of the product.

const (
	modelProcesses = 6
	modelLog       = 40
)

// A disk is a process and the generation of its disk, which is 1 after the first was lost.
func diskOf(process, generation int) int { return 2*process + generation }

// modelSet holds disks as bits.
type modelSet struct{ voters, learners uint16 }

type modelEntry struct {
	term uint8
	// set is empty unless the entry holds a voter set, and command is 0 unless it holds a command.
	set     modelSet
	command uint8
}

type modelAck struct {
	match uint8
	knows bool
}

type modelProcess struct {
	up, frozen, resigning bool
	generation            uint8
	// Durable: the term, the disk voted for plus 1, the log, the commit index and the replaced disks.
	term, vote, last, saved uint8
	replaced                uint16
	log                     [modelLog]modelEntry
	// Not durable. uncounted is a disk plus 1, and since is the index of the first entry that the leader has appended
	// in its term and since its set is in force.
	commit, uncounted, since uint8
	leads, campaigns         bool
	votes, knowing           uint16
	acks                     [modelProcesses]modelAck
}

// modelWorld is one state. What follows the processes is known to the search only.
type modelWorld struct {
	p [modelProcesses]modelProcess
	// lost are the processes that count as lost, and spare is the number of successors without a predecessor that
	// has ended.
	lost  uint8
	spare int8
	modelEvents
	committed  [modelLog]modelEntry
	nCommitted uint8
	// leaders holds the disk, plus 1, that was elected in each term.
	leaders [16]uint8
}

// modelEvents is how often each event may still happen.
type modelEvents struct{ campaigns, commands, restarts, wipes, freezes, ends, losses int8 }

// modelRules are the decisions that the search tests. Variants of them are known to be wrong.
type modelRules struct {
	uncountable func(set *pb.VoterSet, replaced []string, known bool) string
	quorum      func(q replication.Quorum, agrees func(*pb.Voter, string) bool) bool
	// leaveOutAll leaves out all replaced disks at once.
	leaveOutAll bool
}

type model struct {
	rules modelRules
	// tolerated is the number of losses that the group is to bear.
	tolerated int
	sets      map[modelSet]*pb.VoterSet
	// recovered holds what recovers has found.
	recovered map[uint64]bool
	buf       []byte
	scratch   modelWorld
	next      modelWorld
}

func newModel(tolerated int, rules modelRules) *model {
	if rules.uncountable == nil {
		rules.uncountable = replication.Uncountable
	}
	if rules.quorum == nil {
		rules.quorum = replication.Quorum.Reached
	}
	return &model{tolerated: tolerated, rules: rules, sets: map[modelSet]*pb.VoterSet{}, recovered: map[uint64]bool{}, buf: make([]byte, 0, 4096)}
}

var diskNames = [2 * modelProcesses]string{"a0", "a1", "b0", "b1", "c0", "c1", "d0", "d1", "e0", "e1", "f0", "f1"}

func diskName(d int) string { return diskNames[d] }

// processOn returns the name of the process that a disk belongs to.
func processOn(d int) string { return diskName(d)[:1] }

func diskNumber(name string) int { return diskOf(int(name[0]-'a'), int(name[1]-'0')) }

func disksIn(set uint16) (out []int) {
	for ; set != 0; set &= set - 1 {
		out = append(out, bits.TrailingZeros16(set))
	}
	return out
}

func (m *model) set(s modelSet) *pb.VoterSet {
	if out := m.sets[s]; out != nil {
		return out
	}
	voters := func(set uint16) (vs []*pb.Voter) {
		for _, d := range disksIn(set) {
			vs = append(vs, &pb.Voter{Id: processOn(d), Disk: diskName(d)})
		}
		return vs
	}
	out := &pb.VoterSet{Voters: voters(s.voters), Learners: voters(s.learners)}
	m.sets[s] = out
	return out
}

func (p *modelProcess) disk(i int) int { return diskOf(i, int(p.generation)) }

// inForce returns the voter set in force and its index.
func (p *modelProcess) inForce() (modelSet, uint8) {
	for i := p.commit; i > 0; i-- {
		if s := p.log[i-1].set; s.voters != 0 {
			return s, i
		}
	}
	return modelSet{}, 0
}

// pending returns the newest voter set after the one in force.
func (p *modelProcess) pending() (modelSet, bool) {
	for i := p.last; i > p.commit; i-- {
		if s := p.log[i-1].set; s.voters != 0 {
			return s, true
		}
	}
	return modelSet{}, false
}

func (p *modelProcess) lastTerm() uint8 {
	if p.last == 0 {
		return 0
	}
	return p.log[p.last-1].term
}

func (p *modelProcess) append(e modelEntry) {
	e.term = p.term
	p.log[p.last] = e
	p.last++
}

// advance sets the commit index. It becomes durable as in Core.hardStateIfChanged.
func (p *modelProcess) advance(to uint8, written bool) {
	if to <= p.commit {
		return
	}
	before, _ := p.inForce()
	p.commit = to
	set, index := p.inForce()
	p.replaced &= set.voters
	mayLeaveOut := bits.OnesCount16(set.voters) >= 4 && bits.OnesCount16(set.voters)%2 == 0
	if written || set != before || p.saved < index || p.saved == index && to > index && mayLeaveOut {
		p.saved = to
	}
}

func (p *modelProcess) follow() {
	p.leads, p.campaigns, p.votes, p.knowing, p.uncounted, p.since = false, false, 0, 0, 0, 0
	p.acks = [modelProcesses]modelAck{}
}

func (p *modelProcess) restart() {
	p.follow()
	p.commit = p.saved
	set, _ := p.inForce()
	p.replaced &= set.voters
}

// end has a process end for good.
func (p *modelProcess) end() {
	p.up, p.resigning = false, false
	p.follow()
}

func (p *modelProcess) reachable() bool { return p.up && !p.frozen }

// quorum decides for process i whether the processes that agree are enough.
func (m *model) quorum(p *modelProcess, agrees func(disk int, knowing bool) bool) bool {
	set, _ := p.inForce()
	if m.rules.leaveOutAll {
		set.voters &^= p.replaced
		return replication.Quorum{Voters: m.set(set)}.Reached(func(v *pb.Voter, _ string) bool { return agrees(diskNumber(v.Disk), false) })
	}
	q := replication.Quorum{Voters: m.set(set)}
	if p.uncounted != 0 {
		q.Uncounted = diskName(int(p.uncounted) - 1)
		if s, ok := p.pending(); ok {
			q.Pending = m.set(s)
		}
	}
	return m.rules.quorum(q, func(v *pb.Voter, uncounted string) bool { return agrees(diskNumber(v.Disk), uncounted != "") })
}

func (m *model) campaign(w *modelWorld, i int) (changed bool, violation string) {
	p := &w.p[i]
	set, index := p.inForce()
	if !p.reachable() || set.voters>>p.disk(i)&1 == 0 || int(p.term)+1 >= len(w.leaders) {
		return false, ""
	}
	p.follow()
	p.term++
	p.vote = uint8(p.disk(i)) + 1
	p.campaigns, p.votes, p.knowing = true, 1<<p.disk(i), 1<<p.disk(i)
	var replaced []string
	for _, d := range disksIn(p.replaced) {
		replaced = append(replaced, diskName(d))
	}
	if out := m.rules.uncountable(m.set(set), replaced, p.commit > index); out != "" {
		p.uncounted = uint8(diskNumber(out)) + 1
	}
	return true, m.tally(w, i)
}

// tally makes a candidate that has enough votes the leader.
func (m *model) tally(w *modelWorld, i int) (violation string) {
	p := &w.p[i]
	won := m.quorum(p, func(d int, knowing bool) bool {
		return p.votes>>d&1 == 1 && (!knowing || p.knowing>>d&1 == 1)
	})
	if !won {
		return ""
	}
	return w.elect(i)
}

// vote has process j vote for candidate i, and reports whether anything changed.
func (m *model) vote(w *modelWorld, i, j int) (changed bool, violation string) {
	p, q := &w.p[i], &w.p[j]
	if !p.campaigns || !p.reachable() || !q.reachable() || q.last == 0 || p.votes>>q.disk(j)&1 == 1 {
		return false, ""
	}
	set, _ := p.inForce()
	pending, _ := p.pending()
	if (set.voters|pending.voters)>>q.disk(j)&1 == 0 {
		return false, ""
	}
	changed = q.learnCommit(p)
	if p.learnCommit(q) {
		if now, _ := p.inForce(); now != set {
			p.follow() // The votes were asked of another set.
			return true, ""
		}
		changed = true
	}
	if q.term > p.term {
		return changed, ""
	}
	if q.term == p.term && (q.leads || q.campaigns || q.vote != 0) {
		return changed, ""
	}
	if q.term < p.term {
		q.follow()
		q.term, q.vote, changed = p.term, 0, true
	}
	if p.lastTerm() < q.lastTerm() || p.lastTerm() == q.lastTerm() && p.last < q.last {
		return changed, ""
	}
	q.vote = uint8(p.disk(i)) + 1
	p.votes |= 1 << q.disk(j)
	if learnUncounted(p, q, j) {
		p.knowing |= 1 << q.disk(j)
	}
	return true, m.tally(w, i)
}

// learnCommit takes over the commit index of another process if the log holds the same entry there.
func (p *modelProcess) learnCommit(from *modelProcess) bool {
	at := from.commit
	if p.leads || at <= p.commit || at > p.last || p.log[at-1].term != from.log[at-1].term {
		return false
	}
	p.advance(at, false)
	return true
}

// learnUncounted has process j learn which disk p leaves out, and reports whether it says so in its answer.
func learnUncounted(p, q *modelProcess, j int) bool {
	if p.uncounted == 0 || int(p.uncounted)-1 == q.disk(j) {
		return false
	}
	set, _ := q.inForce()
	q.replaced |= 1 << (p.uncounted - 1) & set.voters
	return true
}

func (w *modelWorld) elect(i int) (violation string) {
	p := &w.p[i]
	for d := range 2 * modelProcesses {
		if p.knowing>>d&1 == 1 && d != p.disk(i) {
			p.acks[d/2].knows = true
		}
	}
	p.leads, p.campaigns, p.votes, p.knowing = true, false, 0, 0
	if was := w.leaders[p.term]; was != 0 && int(was)-1 != p.disk(i) {
		return fmt.Sprintf("term %d has two leaders, %s and %s", p.term, diskName(int(was)-1), diskName(p.disk(i)))
	}
	w.leaders[p.term] = uint8(p.disk(i)) + 1
	for at := range w.nCommitted {
		if at >= p.last || p.log[at] != w.committed[at] {
			return fmt.Sprintf("leader %s of term %d lacks the committed entry %d", diskName(p.disk(i)), p.term, at+1)
		}
	}
	p.append(modelEntry{})
	p.since = p.last
	return ""
}

// replicate brings the log of leader i to process j.
func (m *model) replicate(w *modelWorld, i, j int) bool {
	p, q := &w.p[i], &w.p[j]
	set, _ := p.inForce()
	if !p.leads || !p.reachable() || !q.reachable() || q.term > p.term || (set.voters|set.learners)>>q.disk(j)&1 == 0 {
		return false
	}
	before := *q
	if q.term < p.term {
		q.term, q.vote = p.term, 0
	}
	if q.vote == 0 {
		q.vote = uint8(p.disk(i)) + 1
	}
	q.follow()
	written := q.last != p.last || q.log != p.log
	q.log, q.last = p.log, p.last
	q.advance(p.commit, written)
	ack := modelAck{match: q.last, knows: learnUncounted(p, q, j) || p.acks[j].knows}
	changed := *q != before || p.acks[j] != ack
	p.acks[j] = ack
	return changed
}

// commit has leader i commit what a quorum holds.
func (m *model) commit(w *modelWorld, i int) (changed bool, violation string) {
	p := &w.p[i]
	if !p.leads || !p.reachable() {
		return false, ""
	}
	for index := p.last; index > p.commit && index >= p.since; index-- {
		if p.log[index-1].term != p.term {
			break
		}
		reached := m.quorum(p, func(d int, knowing bool) bool {
			if d == p.disk(i) {
				return true
			}
			j := d / 2
			return w.p[j].disk(j) == d && p.acks[j].match >= index && (!knowing || p.acks[j].knows)
		})
		if !reached {
			continue
		}
		to := index
		for at := p.commit + 1; at <= index; at++ {
			if p.log[at-1].set.voters != 0 {
				to = at
				break
			}
		}
		before, _ := p.inForce()
		p.advance(to, false)
		for at := w.nCommitted; at < to; at++ {
			w.committed[at] = p.log[at]
		}
		for at := range to {
			if w.committed[at] != p.log[at] {
				return true, fmt.Sprintf("%s committed another entry %d in term %d", diskName(p.disk(i)), at+1, p.term)
			}
		}
		w.nCommitted = max(w.nCommitted, to)
		if set, _ := p.inForce(); set != before {
			if set.voters>>p.disk(i)&1 == 0 {
				p.follow()
				return true, ""
			}
			p.uncounted = 0
			p.append(modelEntry{})
			p.since = p.last
		}
		return true, ""
	}
	return false, ""
}
