package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/placement"
)

const (
	// maxRoomWait and roomWaitFraction, a fraction of the route's target latency, limit how
	// long a request waits for room on servers that fail by refusing.
	maxRoomWait      = 250 * time.Millisecond
	roomWaitFraction = 0.5
	// roomCheckInterval is how often a waiting request looks for room that none of this
	// router's requests has left.
	roomCheckInterval = 25 * time.Millisecond
)

// roomQueue holds the requests that wait for room on the servers of one service, in the order
// of their arrival.
type roomQueue struct {
	mu      sync.Mutex
	waiting []chan struct{}
}

// enter adds a request, unless most are waiting. The channel receives when there may be room.
func (q *roomQueue) enter(most int) (chan struct{}, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= most {
		return nil, false
	}
	c := make(chan struct{}, 1)
	q.waiting = append(q.waiting, c)
	return c, true
}

func (q *roomQueue) leave(c chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(waiting chan struct{}) bool { return waiting == c })
}

// requestEnded wakes the request that has waited longest.
func (q *roomQueue) requestEnded() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 {
		signal(q.waiting[0])
	}
}

func (f *Forwarder) roomQueueFor(service string) *roomQueue {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.roomQueues[service]
	if q == nil {
		q = &roomQueue{}
		f.roomQueues[service] = q
	}
	return q
}

// pick chooses a server. If those that fail by refusing have no room, it waits a short time for
// some, as long as no more requests wait than can be in flight.
func (x *exchange) pick() (*placement.PickResult, error) {
	req := placement.PickRequest{
		Service: x.service, Key: x.affinityKey, Parts: x.prefixHashes, SharedTokens: x.sharedTokens, TieBreaker: x.requestHash,
		Exclude: x.excluded, Version: x.origin.Version,
	}
	picked, err := x.choose(req)
	if !errors.Is(err, placement.ErrNoRoom) {
		return picked, err
	}
	queue := x.f.roomQueueFor(x.service.Name)
	wake, ok := queue.enter(x.f.opts.Fleet.Room(x.service.Name))
	if !ok {
		return nil, err
	}
	defer queue.leave(wake)
	x.f.opts.Metrics.Counter("forward.waited_for_room").Inc(1)
	over := time.NewTimer(min(maxRoomWait, time.Duration(roomWaitFraction*float64(x.route.Target))))
	defer over.Stop()
	check := time.NewTicker(roomCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return nil, err
		case <-over.C:
			return nil, err
		case <-wake:
		case <-check.C:
		}
		if picked, err = x.choose(req); !errors.Is(err, placement.ErrNoRoom) {
			return picked, err
		}
	}
}
