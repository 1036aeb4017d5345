package admission

import (
	"container/heap"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

const (
	// priorityLevels is the number of priorities, 0 to 9.
	priorityLevels = 10
	// lowPriorityInterval is the interval, in grants, at which the lowest waiting
	// priority is served first, so that a constant stream of high-priority
	// requests cannot starve it.
	lowPriorityInterval = 8
	// virtualCost is the virtual time of one grant at weight 1.
	virtualCost = 1 << 20
)

// waiter is a queued ask.
type waiter struct {
	ask      *grantpb.Ask
	session  SessionID
	enqueued Instant
	expires  Instant
	tenant   *tenant
	flow     *flow
	previous *waiter
	next     *waiter
}

// flow is the FIFO queue of one workspace's asks of one priority.
type flow struct {
	tenant     *tenant
	level      *level
	head, tail *waiter
	// finishTag is the virtual finish time of the flow's next grant.
	finishTag uint64
	count     int
	heapIndex int
}

// level is a heap of the non-empty flows of one priority, ordered by finish tag.
type level struct {
	flows       []*flow
	virtualTime uint64
	count       int
}

// queue holds the waiters of a pool. It is ordered by priority, and within a
// priority by weighted fair queueing between workspaces.
type queue struct {
	levels [priorityLevels]level
	count  int
	served uint64
}

func (l *level) Len() int { return len(l.flows) }
func (l *level) Less(i, j int) bool {
	a, b := l.flows[i], l.flows[j]
	if a.finishTag != b.finishTag {
		return a.finishTag < b.finishTag
	}
	return a.tenant.name < b.tenant.name
}

func (l *level) Swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].heapIndex, l.flows[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (l *level) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(l.flows)
	l.flows = append(l.flows, f)
}

// Pop implements heap.Interface.
func (l *level) Pop() any {
	last := len(l.flows) - 1
	f := l.flows[last]
	l.flows[last] = nil
	l.flows = l.flows[:last]
	return f
}

// clampPriority returns the level of a declared priority.
func clampPriority(priority int32) int {
	return int(min(max(priority, 0), priorityLevels-1))
}

func (q *queue) push(w *waiter) {
	n := clampPriority(w.ask.Priority)
	lv := &q.levels[n]
	f := w.tenant.flows[n]
	if f == nil {
		f = &flow{tenant: w.tenant, level: lv}
		w.tenant.flows[n] = f
	}
	w.flow = f
	if f.head == nil {
		f.head = w
		f.finishTag = max(f.finishTag, lv.virtualTime) + virtualCost/uint64(w.tenant.workspace.weight)
		heap.Push(lv, f)
	} else {
		f.tail.next, w.previous = w, f.tail
	}
	f.tail = w
	f.count++
	lv.count++
	q.count++
	w.tenant.addUsage(0, 1)
}

// remove removes a waiter from any position of its flow.
func (q *queue) remove(w *waiter) {
	f := w.flow
	if w.previous != nil {
		w.previous.next = w.next
	} else {
		f.head = w.next
	}
	if w.next != nil {
		w.next.previous = w.previous
	} else {
		f.tail = w.previous
	}
	w.previous, w.next = nil, nil
	if f.head == nil {
		heap.Remove(f.level, f.heapIndex)
	}
	f.count--
	f.level.count--
	q.count--
	w.tenant.addUsage(0, -1)
}

// removeGranted removes a waiter whose ask was granted and charges its flow for the
// next grant. A flow that is empty now is charged by push once it has another waiter.
func (q *queue) removeGranted(w *waiter) {
	f := w.flow
	f.level.virtualTime = max(f.level.virtualTime, f.finishTag)
	if f.head != f.tail {
		f.finishTag += virtualCost / uint64(w.tenant.workspace.weight)
		heap.Fix(f.level, f.heapIndex)
	}
	q.remove(w)
	q.served++
}

// levelOrder appends the non-empty levels to dst in the order in which the next
// slot is offered to them.
func (q *queue) levelOrder(dst []int) []int {
	if q.served%lowPriorityInterval == lowPriorityInterval-1 {
		for i := range priorityLevels {
			if q.levels[i].count > 0 {
				dst = append(dst, i)
				break
			}
		}
	}
	for i := priorityLevels - 1; i >= 0; i-- {
		if q.levels[i].count > 0 && (len(dst) == 0 || dst[0] != i) {
			dst = append(dst, i)
		}
	}
	return dst
}

// mostQueued returns the tenant with the most waiters relative to its weight.
func (q *queue) mostQueued() *tenant {
	var heaviest *tenant
	for i := range q.levels {
		for _, f := range q.levels[i].flows {
			t := f.tenant
			if heaviest == nil || t.queued*heaviest.workspace.weight > heaviest.queued*t.workspace.weight {
				heaviest = t
			}
		}
	}
	return heaviest
}

// requestsAhead estimates how many waiters are granted before a new ask of the
// tenant: all of higher priorities and, of the same priority, those of its own
// flow and the other flows' fair share.
func (q *queue) requestsAhead(t *tenant, priority int32) int {
	n := clampPriority(priority)
	higher := 0
	for i := n + 1; i < priorityLevels; i++ {
		higher += q.levels[i].count
	}
	lv := &q.levels[n]
	own := 0
	if f := t.flows[n]; f != nil {
		own = f.count
	}
	others := len(lv.flows)
	if own > 0 {
		others--
	}
	fair := own + (own+1)*others
	return higher + min(fair, lv.count)
}
