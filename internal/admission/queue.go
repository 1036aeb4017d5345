package admission

import (
	"container/heap"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

const (
	// levels is the number of priorities, 0 to 9.
	levels = 10
	// lowShare gives every so manieth place to the lowest waiting priority, so
	// that a constant stream of urgent work can't starve it.
	lowShare = 8
	// serviceUnit is the virtual time of one place at weight 1.
	serviceUnit = 1 << 20
)

// waiter is an ask in a queue.
type waiter struct {
	ask      *grantpb.Ask
	session  SessionID
	enqueued Instant
	expires  Instant
	tenant   *tenant
	line     *line
	previous *waiter
	next     *waiter
}

// line is one workspace's asks of one priority, in order of arrival.
type line struct {
	tenant     *tenant
	level      *level
	head, tail *waiter
	// tag is the virtual time at which the line's next place ends.
	tag   uint64
	count int
	index int
}

// level holds the lines of one priority that have waiters, lowest tag first.
type level struct {
	lines   []*line
	virtual uint64
	count   int
}

// queue holds the asks of a pool that wait for a place: by priority, and fairly
// by weight between the workspaces of a priority.
type queue struct {
	levels [levels]level
	count  int
	served uint64
}

func (l *level) Len() int { return len(l.lines) }
func (l *level) Less(i, j int) bool {
	a, b := l.lines[i], l.lines[j]
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.tenant.name < b.tenant.name
}

func (l *level) Swap(i, j int) {
	l.lines[i], l.lines[j] = l.lines[j], l.lines[i]
	l.lines[i].index, l.lines[j].index = i, j
}

// Push is part of heap.Interface.
func (l *level) Push(x any) {
	ln := x.(*line)
	ln.index = len(l.lines)
	l.lines = append(l.lines, ln)
}

// Pop is part of heap.Interface.
func (l *level) Pop() any {
	last := len(l.lines) - 1
	ln := l.lines[last]
	l.lines[last] = nil
	l.lines = l.lines[:last]
	return ln
}

// clampLevel returns the level of a declared priority.
func clampLevel(priority int32) int {
	return int(min(max(priority, 0), levels-1))
}

func (q *queue) push(w *waiter) {
	n := clampLevel(w.ask.Priority)
	lv := &q.levels[n]
	ln := w.tenant.lines[n]
	if ln == nil {
		ln = &line{tenant: w.tenant, level: lv}
		w.tenant.lines[n] = ln
	}
	w.line = ln
	if ln.head == nil {
		ln.head = w
		ln.tag = max(ln.tag, lv.virtual) + serviceUnit/uint64(w.tenant.workspace.weight)
		heap.Push(lv, ln)
	} else {
		ln.tail.next, w.previous = w, ln.tail
	}
	ln.tail = w
	ln.count++
	lv.count++
	q.count++
	w.tenant.use(0, 1)
}

// remove takes a waiter out, wherever it stands.
func (q *queue) remove(w *waiter) {
	ln := w.line
	if w.previous != nil {
		w.previous.next = w.next
	} else {
		ln.head = w.next
	}
	if w.next != nil {
		w.next.previous = w.previous
	} else {
		ln.tail = w.previous
	}
	w.previous, w.next = nil, nil
	if ln.head == nil {
		heap.Remove(ln.level, ln.index)
	}
	ln.count--
	ln.level.count--
	q.count--
	w.tenant.use(0, -1)
}

// serve takes out a waiter that got a place and charges its line.
func (q *queue) serve(w *waiter) {
	ln := w.line
	ln.level.virtual = max(ln.level.virtual, ln.tag)
	ln.tag += serviceUnit / uint64(w.tenant.workspace.weight)
	if ln.head != ln.tail {
		heap.Fix(ln.level, ln.index)
	}
	q.remove(w)
	q.served++
}

// order returns the levels in the order in which the next place is offered.
func (q *queue) order(dst []int) []int {
	if q.served%lowShare == lowShare-1 {
		for i := range levels {
			if q.levels[i].count > 0 {
				dst = append(dst, i)
				break
			}
		}
	}
	for i := levels - 1; i >= 0; i-- {
		if q.levels[i].count > 0 && (len(dst) == 0 || dst[0] != i) {
			dst = append(dst, i)
		}
	}
	return dst
}

// longest returns the tenant with the most waiters for its weight.
func (q *queue) longest() *tenant {
	var most *tenant
	for i := range q.levels {
		for _, ln := range q.levels[i].lines {
			t := ln.tenant
			if most == nil || t.queued*most.workspace.weight > most.queued*t.workspace.weight {
				most = t
			}
		}
	}
	return most
}

// ahead returns how many places go to others before an ask of the tenant that
// joined now: all of higher priorities, and of its own priority those of its
// own line and the fair part of the others.
func (q *queue) ahead(t *tenant, priority int32) int {
	n := clampLevel(priority)
	higher := 0
	for i := n + 1; i < levels; i++ {
		higher += q.levels[i].count
	}
	lv := &q.levels[n]
	own := 0
	if ln := t.lines[n]; ln != nil {
		own = ln.count
	}
	others := len(lv.lines)
	if own > 0 {
		others--
	}
	fair := own + (own+1)*others
	return higher + min(fair, lv.count)
}
