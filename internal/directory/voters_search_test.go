package directory

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// voterStep is one step of the processes, or one event: i acts, on or for j.
type voterStep struct {
	kind stepKind
	i, j int8
}

type stepKind int8

const (
	stepCampaign stepKind = iota
	stepCommand
	stepChange
	stepChangeSilent
	stepVote
	stepReplicate
	stepObserve
	stepResign
	eventRestartAll
	eventRestart
	eventThaw
	eventEnd
	eventKillReplaced
	eventAskToEnd
	eventLoseDisk
	eventFreeze
	eventLoseForGood
	stepKinds
)

var stepNames = [stepKinds]string{
	"%s campaigns", "%s takes a command", "%s changes the voters", "%s changes the voters, and finds some silent", "%s gets the vote of %s",
	"%s replicates to %s", "%s sees that the disk of %s was replaced", "%s lets %s resign", "all restart", "%s restarts", "%s thaws", "%s ends",
	"%s is killed for good, its successor is there", "%s is asked to end, its successor is there", "%s loses its disk", "%s freezes", "%s is lost for good",
}

func (s voterStep) String() string {
	name := func(i int8) string { return string(rune('a' + i)) }
	switch strings.Count(stepNames[s.kind], "%s") {
	case 2:
		return fmt.Sprintf(stepNames[s.kind], name(s.i), name(s.j))
	case 1:
		return fmt.Sprintf(stepNames[s.kind], name(s.i))
	}
	return stepNames[s.kind]
}

// voterSearch visits all states of a group that its steps and the events of a case lead to, each once.
type voterSearch struct {
	m       *model
	visited map[uint64]struct{}
	path    []voterStep
	// states are those on the path.
	states []*modelWorld
	// violation says what was found first, with the path to it.
	violation string
	// losses is how many processes may be lost at once. If it is more than the group is to bear, only safety is checked.
	losses int
	// ending and wiped are the processes that may end and lose their disks, as bits.
	ending, wiped uint8
	buf           []byte
}

// settledGroup returns a group of voters without a fault, led by one of them, and with successors that are
// about to join.
func settledGroup(voters, successors, leader int) modelWorld {
	w := modelWorld{spare: int8(successors)}
	set := modelSet{}
	for i := range voters {
		set.voters |= 1 << diskOf(i, 0)
	}
	for i := range voters + successors {
		w.p[i].up = true
	}
	for i := range voters {
		p := &w.p[i]
		p.term, p.vote, p.saved, p.commit = 1, uint8(diskOf(leader, 0))+1, 2, 2
		p.append(modelEntry{set: set})
		p.append(modelEntry{})
	}
	l := &w.p[leader]
	l.leads, l.since = true, 2
	for i := range voters {
		if i != leader {
			l.acks[i] = modelAck{match: 2}
		}
	}
	w.leaders[1] = uint8(diskOf(leader, 0)) + 1
	w.nCommitted = 2
	copy(w.committed[:], l.log[:2])
	return w
}

// visit checks the last state of the path and goes on with all that may come next.
func (s *voterSearch) visit() {
	w := s.states[len(s.path)]
	if s.violation != "" {
		return
	}
	if w.lost != 0 && s.m.settled(w) {
		w.lost = 0
	}
	s.buf = w.key(s.buf)
	h := xxhash.Sum64(s.buf)
	if _, seen := s.visited[h]; seen {
		return
	}
	s.visited[h] = struct{}{}
	if s.losses <= s.m.tolerated && !s.m.recovers(w) {
		s.report("no majority can form any more", w)
		return
	}
	for kind := range stepKinds {
		for i := range int8(modelProcesses) {
			if kind == eventRestartAll && i > 0 {
				break
			}
			switch kind {
			case stepVote, stepReplicate, stepObserve, stepResign:
				for j := range int8(modelProcesses) {
					if i != j {
						s.try(voterStep{kind, i, j})
					}
				}
			default:
				s.try(voterStep{kind, i, i})
			}
		}
	}
}

func (s *voterSearch) report(what string, w *modelWorld) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%s after %v\n%v", what, slices.Clone(s.path), w)
	}
}

// try takes a step from the last state of the path, if it is possible there, and visits what follows.
func (s *voterSearch) try(step voterStep) {
	depth := len(s.path)
	if !s.possible(s.states[depth], step) {
		return
	}
	if len(s.states) == depth+1 {
		s.states = append(s.states, &modelWorld{})
	}
	next := s.states[depth+1]
	*next = *s.states[depth]
	changed, violation := s.take(next, step)
	if !changed && violation == "" {
		return
	}
	s.path = append(s.path, step)
	if violation != "" {
		s.report(violation, next)
	} else {
		s.visit()
	}
	s.path = s.path[:depth]
}

// possible reports whether a step may be taken: whether its process runs, and for an event whether the case allows it.
func (s *voterSearch) possible(w *modelWorld, step voterStep) bool {
	p, q := &w.p[step.i], &w.p[step.j]
	mayLose := bits.OnesCount8(w.lost) < s.losses && p.up && !p.resigning
	switch step.kind {
	case stepCampaign:
		return w.campaigns > 0 && p.reachable()
	case stepCommand:
		return w.commands > 0 && p.reachable() && p.leads
	case eventRestartAll:
		return w.restarts > 0
	case eventRestart:
		return w.restarts > 0 && p.up
	case eventThaw:
		return p.up && p.frozen
	case eventEnd:
		return p.up && p.resigning
	case eventKillReplaced, eventAskToEnd:
		return s.ending>>step.i&1 == 1 && w.ends > 0 && w.spare > 0 && p.up && !p.resigning && s.m.settled(w)
	case eventLoseDisk:
		return mayLose && s.wiped>>step.i&1 == 1 && w.wipes > 0 && p.generation == 0 && p.last > 0
	case eventFreeze:
		return mayLose && w.freezes > 0 && !p.frozen
	case eventLoseForGood:
		return mayLose && w.losses > 0
	}
	return p.reachable() && q.reachable()
}

func (s *voterSearch) take(w *modelWorld, step voterStep) (changed bool, violation string) {
	i, j := int(step.i), int(step.j)
	p := &w.p[i]
	switch step.kind {
	case stepCampaign:
		w.campaigns--
		return s.m.campaign(w, i)
	case stepCommand:
		w.commands--
		p.append(modelEntry{command: uint8(w.commands) + 1})
	case stepChange:
		return s.m.change(w, i, false), ""
	case stepChangeSilent:
		return s.m.change(w, i, true), ""
	case stepVote:
		return s.m.vote(w, i, j)
	case stepReplicate:
		if !s.m.replicate(w, i, j) {
			return false, ""
		}
		_, violation := s.m.commit(w, i)
		return true, violation
	case stepObserve:
		return s.m.observe(w, i, j), ""
	case stepResign:
		return s.m.resign(w, i, j), ""
	case eventRestartAll:
		w.restarts--
		for i := range w.p {
			w.p[i].restart()
		}
	case eventRestart:
		w.restarts--
		p.restart()
	case eventThaw:
		p.frozen = false
	case eventEnd:
		p.end()
	case eventKillReplaced:
		w.ends, w.spare = w.ends-1, w.spare-1
		p.end()
	case eventAskToEnd:
		w.ends, w.spare = w.ends-1, w.spare-1
		p.resigning = true
	case eventLoseDisk:
		w.wipes--
		w.lost |= 1 << i
		*p = modelProcess{up: true, generation: 1}
		for j := range w.p {
			w.p[j].acks[i] = modelAck{}
		}
	case eventFreeze:
		w.freezes--
		w.lost |= 1 << i
		p.frozen = true
	case eventLoseForGood:
		w.losses--
		w.lost |= 1 << i
		p.end()
	}
	return true, ""
}
