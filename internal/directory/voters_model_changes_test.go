package directory

import (
	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// status returns what leader i knows of the group, or nil if it may not change the voters. Members that it does not
// reach count as silent for long if silent is set.
func (m *model) status(w *modelWorld, i int, silent bool) *replication.Status {
	p := &w.p[i]
	if _, pending := p.pending(); !p.leads || !p.reachable() || pending || p.commit < p.since || int(p.last)+2 >= modelLog {
		return nil
	}
	set, _ := p.inForce()
	s := &replication.Status{
		ID: processOn(p.disk(i)), Disk: diskName(p.disk(i)), Leading: true, Commit: uint64(p.commit), VotersDurable: true, Voters: m.set(set),
		Progress: map[string]replication.MemberProgress{},
	}
	for _, d := range disksIn(set.voters | set.learners) {
		mp := replication.MemberProgress{}
		if q := &w.p[d/2]; q.disk(d/2) == d {
			mp.MatchIndex = uint64(p.acks[d/2].match)
		}
		if q := &w.p[d/2]; silent && (!q.reachable() || q.disk(d/2) != d) {
			mp.SilentMs, mp.UnansweredMs = 60_000, 60_000
		}
		s.Progress[processOn(d)] = mp
	}
	return s
}

// change has leader i make the next change of the voters, if one is due.
func (m *model) change(w *modelWorld, i int, silent bool) bool {
	s := m.status(w, i, silent)
	if s == nil {
		return false
	}
	var joins []*fleetpb.JoinRequest
	for j := range w.p {
		if q := &w.p[j]; q.reachable() && !q.resigning && !isVoter(s.Voters, processOn(q.disk(j)), diskName(q.disk(j))) {
			joins = append(joins, &fleetpb.JoinRequest{Id: processOn(q.disk(j)), Disk: diskName(q.disk(j))})
		}
	}
	c := nextVoterChange(s, joins, minVoters(m.tolerated))
	if c == nil {
		return false
	}
	set, _ := w.p[i].inForce()
	bit := uint16(1) << diskNumber(c.voter.Disk)
	switch c.op {
	case opRemove:
		set.voters, set.learners = set.voters&^bit, set.learners&^bit
	case opLearn:
		set.learners |= bit
	default:
		set.voters, set.learners = set.voters|bit, set.learners&^bit
	}
	w.p[i].append(modelEntry{set: set})
	return true
}

// resign has leader i remove process j, which has asked for it.
func (m *model) resign(w *modelWorld, i, j int) bool {
	s := m.status(w, i, false)
	q := &w.p[j]
	if s == nil || i == j || !q.resigning || !q.reachable() || !isVoter(s.Voters, processOn(q.disk(j)), diskName(q.disk(j))) || !isSurplus(s.Voters, minVoters(m.tolerated)) {
		return false
	}
	set, _ := w.p[i].inForce()
	set.voters &^= 1 << q.disk(j)
	w.p[i].append(modelEntry{set: set})
	return true
}

// observe has process i see that the disk of a voter, process j, was replaced.
func (m *model) observe(w *modelWorld, i, j int) bool {
	p, q := &w.p[i], &w.p[j]
	set, _ := p.inForce()
	bit := uint16(1) << diskOf(j, 0)
	if i == j || !p.reachable() || !q.reachable() || q.generation == 0 || set.voters&bit == 0 || p.replaced&bit != 0 {
		return false
	}
	p.replaced |= bit
	return true
}
