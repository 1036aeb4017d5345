package directory

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// session is one router's Follow call.
type session struct {
	router string
	queue  chan *fleetpb.FollowUpdate
	end    context.CancelFunc

	// Owned by the hub.

	// load is what the router has in flight; set if the router reports here.
	load *fleetpb.Load
	// listed is set once the router was told of all servers; relayed news is sent
	// to it from then on, while it reports here.
	listed bool
	// have is the revision that the router holds, or will with what was sent.
	have uint64
	// behind is set while the router is to be sent what it lacks.
	behind bool
	// whole is the revision of a whole state on its way, or 0, and since when.
	whole     uint64
	wholeSent time.Time
}

// push queues an update, or ends a session that takes none.
func (s *session) push(u *fleetpb.FollowUpdate) {
	select {
	case s.queue <- u:
	default:
		s.end()
	}
}

// sessionSilence ends the session of a router that asks nothing; it is several
// times the routers' ping interval.
const sessionSilence = 4 * time.Second

// Follow implements the Directory service.
func (s *server) Follow(stream fleetpb.DRPCDirectory_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ss := &session{router: first.Router, have: first.Have, queue: make(chan *fleetpb.FollowUpdate, sessionQueue), end: cancel}
	if err := s.hub.do(ctx, func() { s.hub.open(ss) }); err != nil {
		return err
	}
	defer s.hub.post(context.WithoutCancel(ctx), func() { s.hub.close(ss) })
	watchdog := time.AfterFunc(sessionSilence, cancel)
	defer watchdog.Stop()
	go func() {
		defer cancel()
		for req := first; ; {
			watchdog.Reset(sessionSilence)
			s.asked(ctx, ss, req)
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

// asked answers one request of a session; confirmations come later.
func (s *server) asked(ctx context.Context, ss *session, req *fleetpb.FollowRequest) {
	s.hub.post(ctx, func() { s.hub.asked(ss, req) })
	if req.Ping != 0 {
		s.confirms.add(ss, req.Ping)
	}
}

// confirmer answers pings after a round to a quorum that began after them. Pings
// that come during a round share the next one.
type confirmer struct {
	// barrier returns the newest revision accepted before the call.
	barrier func(context.Context) (uint64, error)

	mu      sync.Mutex
	waiting map[*session]uint64
	wake    chan struct{}
}

// confirmPause gathers the pings of several routers into one round.
const confirmPause = 40 * time.Millisecond

func newConfirmer(barrier func(context.Context) (uint64, error)) *confirmer {
	return &confirmer{barrier: barrier, waiting: map[*session]uint64{}, wake: make(chan struct{}, 1)}
}

func (c *confirmer) add(s *session, ping uint64) {
	c.mu.Lock()
	c.waiting[s] = ping
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
		time.Sleep(confirmPause)
		c.round(ctx)
	}
}

func (c *confirmer) round(ctx context.Context) {
	c.mu.Lock()
	asked := c.waiting
	c.waiting = make(map[*session]uint64, len(asked))
	c.mu.Unlock()
	if len(asked) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	newest, err := c.barrier(ctx)
	for s, ping := range asked {
		s.push(&fleetpb.FollowUpdate{Pong: ping, Confirmed: err == nil, Newest: newest})
	}
}
