package directory

import (
	"github.com/cespare/xxhash/v2"
)

// settled reports whether a leader has all running processes as its voters, and all hold what it has committed:
// what the group reaches within the time that a lost machine still counts as lost.
func (m *model) settled(w *modelWorld) bool {
	running := uint16(0)
	for i := range w.p {
		if p := &w.p[i]; p.up && !p.resigning {
			running |= 1 << p.disk(i)
		}
	}
	for i := range w.p {
		p := &w.p[i]
		set, _ := p.inForce()
		if !p.leads || !p.reachable() || p.commit < p.since || set.voters != running || set.learners != 0 || p.commit != p.last {
			continue
		}
		for _, d := range disksIn(running) {
			if q := &w.p[d/2]; !q.reachable() || q.term != p.term || q.last != p.last || q.commit != p.commit {
				return false
			}
		}
		return true
	}
	return false
}

// serves reports whether a leader has committed an entry of its term and all running processes, which are voters, hold it.
func (m *model) serves(w *modelWorld) bool {
	for i := range w.p {
		p := &w.p[i]
		set, _ := p.inForce()
		if !p.leads || p.commit < p.since || p.commit != p.last || set.learners != 0 {
			continue
		}
		held := true
		for j := range w.p {
			q := &w.p[j]
			held = held && (!q.up || set.voters>>q.disk(j)&1 == 1 && q.term == p.term && q.last == p.last && q.commit == p.commit)
		}
		if held {
			return true
		}
	}
	return false
}

// recovers reports whether the group serves again, with all running processes as voters, once nothing fails any more.
func (m *model) recovers(from *modelWorld) bool {
	m.scratch = *from
	w := &m.scratch
	for i := range w.p {
		p := &w.p[i]
		p.frozen = false
		if p.resigning {
			p.end()
		}
	}
	for i := range w.p {
		for j := range w.p {
			m.observe(w, i, j)
		}
	}
	// What may still fail, and what was committed, makes no difference from here on.
	w.lost, w.spare, w.modelEvents = 0, 0, modelEvents{}
	w.nCommitted, w.leaders = 0, [16]uint8{}
	key := xxhash.Sum64(w.key(m.buf[:0]))
	if out, known := m.recovered[key]; known {
		return out
	}
	out := m.recoversFrom(w)
	m.recovered[key] = out
	return out
}

func (m *model) recoversFrom(w *modelWorld) bool {
	for range 3 * modelProcesses {
		if m.serves(w) {
			return true
		}
		m.electAny(w)
		for range 8 {
			for i := range w.p {
				for j := range w.p {
					if i != j {
						m.replicate(w, i, j)
					}
				}
				m.commit(w, i)
				m.change(w, i, true)
			}
		}
	}
	return m.serves(w)
}

// electAny has each process campaign in turn, with the votes of all others, unless the newest leader has a quorum.
func (m *model) electAny(w *modelWorld) {
	newest := uint8(0)
	for i := range w.p {
		if w.p[i].up {
			newest = max(newest, w.p[i].term)
		}
	}
	for i := range w.p {
		if p := &w.p[i]; p.leads && p.up && p.term == newest && m.quorum(p, func(d int, knowing bool) bool {
			q := &w.p[d/2]
			return q.reachable() && q.disk(d/2) == d && (!knowing || d == p.disk(i) || p.acks[d/2].knows)
		}) {
			return
		}
	}
	for i := range w.p {
		p := &w.p[i]
		set, _ := p.inForce()
		if !p.up || set.voters>>p.disk(i)&1 == 0 {
			continue
		}
		if p.leads {
			p.follow() // It does not hear from a majority, or there is a newer term.
		}
		// What pre-votes and their answers tell stays known, whoever is elected.
		for j := range w.p {
			if q := &w.p[j]; q.up && set.voters>>q.disk(j)&1 == 1 {
				q.learnCommit(p)
				p.learnCommit(q)
			}
		}
		m.next = *w
		next := &m.next
		// The terms of the search are few; those of a group are not.
		next.leaders = [16]uint8{}
		for j := range next.p {
			next.p[i].term = max(next.p[i].term, next.p[j].term)
		}
		if int(next.p[i].term)+1 >= len(next.leaders) {
			return
		}
		_, _ = m.campaign(next, i)
		for j := range next.p {
			if i != j {
				_, _ = m.vote(next, i, j)
			}
		}
		if next.p[i].leads {
			*w = *next
			return
		}
	}
}
