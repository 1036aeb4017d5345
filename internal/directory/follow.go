package directory

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// session is the Follow stream of one router.
type session struct {
	router string
	queue  chan *fleetpb.FollowUpdate
	cancel context.CancelFunc

	// The fields below are accessed only on the hub's goroutine.

	// load is the router's requests in flight; nil unless the router reports here.
	load *fleetpb.Load
	// serversSent is true once the router has been sent all servers. From then on, while
	// it reports here, it is sent the changes relayed by other processes.
	serversSent bool
	// revision is the revision that the router holds, or will hold once it has received
	// what was sent.
	revision uint64
	// behind is true while the router is to be brought up to the latest revision.
	behind bool
	// fullStateRevision is the revision of the full state in flight to the router, or 0;
	// fullStateSentAt is when it was sent.
	fullStateRevision uint64
	fullStateSentAt   time.Time
}

// push queues an update. It ends the session if the queue is full.
func (s *session) push(u *fleetpb.FollowUpdate) {
	select {
	case s.queue <- u:
	default:
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
	ss := &session{router: first.Router, revision: first.Have, queue: make(chan *fleetpb.FollowUpdate, sessionQueueSize), cancel: cancel}
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
		s.confirmer.add(ss, req.Ping)
	}
}

// confirmer answers each ping with the result of a quorum round that started after the
// ping arrived. Pings that arrive during a round are batched into the next one.
type confirmer struct {
	// barrier returns the latest revision committed before the call.
	barrier func(context.Context) (uint64, error)

	mu      sync.Mutex
	pending map[*session]uint64
	wake    chan struct{}
}

// confirmDelay is how long a round is delayed to batch the pings of several routers.
const confirmDelay = 40 * time.Millisecond

func newConfirmer(barrier func(context.Context) (uint64, error)) *confirmer {
	return &confirmer{barrier: barrier, pending: map[*session]uint64{}, wake: make(chan struct{}, 1)}
}

func (c *confirmer) add(s *session, ping uint64) {
	c.mu.Lock()
	c.pending[s] = ping
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
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
		time.Sleep(confirmDelay)
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
	latest, err := c.barrier(ctx)
	for s, ping := range pings {
		s.push(&fleetpb.FollowUpdate{Pong: ping, Confirmed: err == nil, Newest: latest})
	}
}
