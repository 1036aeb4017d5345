package directory

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// session is the Follow stream of one router.
type session struct {
	router string
	queue  chan *fleetpb.FollowUpdate
	cancel context.CancelFunc

	// The fields below are accessed only on the hub's goroutine.

	// load is the router's requests in flight; nil unless the router reports here.
	load *fleetpb.Load
	// listDue is true while the router is to be sent the list of all servers: it has
	// begun to report here, or asked for the list. Besides, while it reports here, it is
	// sent the changes relayed by other processes.
	listDue bool
	// departuresSent is set once the router was sent the servers that leave while its list waits.
	departuresSent bool
	// listSent is set once the router was sent the list of all servers that were known.
	listSent bool
	// revision is the revision that the router holds, or will hold once it has received
	// what was sent.
	revision uint64
	// behind is true while the router is to be brought up to the latest revision.
	behind bool
	// bulkRevision is the revision that the full state or large change in flight to the
	// router leads to, or 0; bulkSentAt is when it was sent.
	bulkRevision uint64
	bulkSentAt   time.Time
	bulkIsState  bool
	// pong is the result of the last ping that the router has yet to be sent; nil if
	// there is none.
	pong *fleetpb.FollowUpdate
	// flushedAt is when the last flush sent the router something.
	flushedAt time.Time
	// handoff is the address at which the router takes over requests of others; empty if it
	// takes none.
	handoff string
	// handoffsSent are the other routers that it was sent as taking some, chosen from the
	// list with handoffsVersion.
	handoffsSent    []string
	handoffsVersion uint64
	// overflowed is set once the queue was full.
	overflowed bool
	// syncs are those of the router that are not answered yet, oldest first.
	syncs []syncRequest
	// features are those that the router has said it has.
	features features
	// confirmed is true once the router was sent a confirmation. The first one is sent
	// at once, since a router serves nothing without it.
	confirmed bool
}

func featuresOf(req *fleetpb.FollowRequest) features {
	return features{rollouts: req.FollowsRollouts, versionZero: req.AppliesVersionZero}
}

// bulkInFlight reports whether a full state or a large change is on its way to the
// router.
func (s *session) bulkInFlight(now time.Time) bool {
	return s.bulkRevision != 0 && now.Sub(s.bulkSentAt) < bulkTimeout
}

// takePong returns an update with the pong that the router is owed, if any.
func (s *session) takePong() *fleetpb.FollowUpdate {
	u := s.pong
	s.pong = nil
	if u == nil {
		return &fleetpb.FollowUpdate{}
	}
	s.confirmed = s.confirmed || u.Confirmed
	return u
}

// push queues an update. It ends the session if the queue is full.
func (s *session) push(u *fleetpb.FollowUpdate) {
	select {
	case s.queue <- u:
	default:
		s.overflowed = true
		s.cancel()
	}
}

// sessionIdleTimeout ends the session of a router that has sent nothing. It is several
// times the routers' ping interval.
const sessionIdleTimeout = 4 * time.Second

// Follow implements the Directory service.
func (s *server) Follow(stream fleetpb.DRPCDirectory_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ss := &session{router: first.Router, revision: first.Have, queue: make(chan *fleetpb.FollowUpdate, sessionQueueSize), cancel: cancel, features: featuresOf(first)}
	if err := s.hub.do(ctx, func() { s.hub.openSession(ss) }); err != nil {
		return err
	}
	defer s.hub.post(context.WithoutCancel(ctx), func() { s.hub.closeSession(ss) })
	watchdog := time.AfterFunc(sessionIdleTimeout, cancel)
	defer watchdog.Stop()
	go func() {
		defer cancel()
		for req := first; ; {
			watchdog.Reset(sessionIdleTimeout)
			s.handleRequest(ctx, ss, req)
			var err error
			if req, err = stream.Recv(); err != nil {
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return errkind.New(errkind.Unreachable, "the session of router %q ended", ss.router)
		case u := <-ss.queue:
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

// handleRequest processes one message of a session. Pings are answered asynchronously.
func (s *server) handleRequest(ctx context.Context, ss *session, req *fleetpb.FollowRequest) {
	s.hub.post(ctx, func() { s.hub.handleRequest(ss, req) })
	if req.Ping != 0 {
		s.confirmer.add(ss, req.Ping, req.Ping == 1)
	}
}

// confirmer settles each ping with the result of a quorum round that started after the
// ping arrived. Pings that arrive during a round are batched into the next one.
type confirmer struct {
	// barrier returns the mark of the latest state committed before the call.
	barrier func(context.Context) (publication.Mark, error)
	// report is called with the pings of a round and its result.
	report func(pings map[*session]uint64, newest publication.Mark, err error)

	mu           sync.Mutex
	pending      map[*session]uint64
	wake, urgent chan struct{}
}

const (
	// confirmDelay is how long a round is delayed to batch the pings of several
	// routers. Their results are sent with the next flush.
	confirmDelay = 250 * time.Millisecond
	// firstConfirmDelay is confirmDelay if a session's first ping is pending.
	firstConfirmDelay = 40 * time.Millisecond
)

func newConfirmer(barrier func(context.Context) (publication.Mark, error), report func(map[*session]uint64, publication.Mark, error)) *confirmer {
	return &confirmer{barrier: barrier, report: report, pending: map[*session]uint64{}, wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
}

func (c *confirmer) add(s *session, ping uint64, urgent bool) {
	c.mu.Lock()
	c.pending[s] = ping
	c.mu.Unlock()
	if urgent {
		signal(c.urgent)
	}
	signal(c.wake)
}

// signal wakes the goroutine that receives from a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (c *confirmer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		select {
		case <-time.After(confirmDelay):
		case <-c.urgent:
			time.Sleep(firstConfirmDelay)
		}
		c.confirmPending(ctx)
	}
}

func (c *confirmer) confirmPending(ctx context.Context) {
	c.mu.Lock()
	pings := c.pending
	c.pending = make(map[*session]uint64, len(pings))
	c.mu.Unlock()
	if len(pings) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	newest, err := c.barrier(ctx)
	c.report(pings, newest, err)
}

// confirmRouters records the result of a round for the sessions whose pings it answers.
func (h *hub) confirmRouters(pings map[*session]uint64, newest publication.Mark, err error) {
	if err == nil {
		h.newestConfirmed = newest.Revision
	}
	for s, ping := range pings {
		if !h.sessions[s] {
			continue
		}
		s.pong = &fleetpb.FollowUpdate{Pong: ping, Confirmed: err == nil, Newest: newest.Revision, NewestSum: newest.Sum}
		if !s.confirmed && err == nil {
			s.push(h.withStatus(s.takePong()))
		}
	}
}
