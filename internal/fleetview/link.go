package fleetview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
)

const (
	// pingInterval is how often the router asks for a confirmation.
	pingInterval = 300 * time.Millisecond
	// linkSilence ends a session that brings nothing: three pings.
	linkSilence = 900 * time.Millisecond
	// redialPause and maxRedialPause bound the wait after a failed session.
	redialPause    = 100 * time.Millisecond
	maxRedialPause = 300 * time.Millisecond
)

// link is the session with one directory process.
type link struct {
	v       *View
	address string
	ping    uint64
	fetch   atomic.Bool
	list    atomic.Bool
	wake    chan struct{}
	stop    context.CancelFunc

	// Owned by the view's goroutine.
	connected bool
	inQuorum  bool
	routers   int
	// revision is the newest one that the process is known to hold.
	revision uint64
	// load is what the routers that report to this process have in flight.
	load map[uint32]int
}

func (l *link) run(ctx context.Context) {
	pause := redialPause
	for ctx.Err() == nil {
		began := time.Now()
		err := l.session(ctx)
		l.v.post(ctx, func() { l.v.lost(l, err) })
		if time.Since(began) > linkSilence {
			pause = redialPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialPause)
	}
}

// update is what one message brought, and when its confirmation was asked for.
type update struct {
	*fleetpb.FollowUpdate
	askedAt time.Duration
}

func (l *link) session(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(linkSilence, cancel)
	defer watchdog.Stop()
	conn, err := l.v.opts.Dialer.Direct(ctx, l.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := fleetpb.NewDRPCDirectoryClient(conn).Follow(ctx)
	if err != nil {
		return err
	}
	pings := make(chan ping, 16)
	sent := make(chan error, 1)
	go func() { sent <- l.send(ctx, stream, pings) }()
	asked := map[uint64]time.Duration{}
	for {
		u, err := stream.Recv()
		if err != nil {
			select {
			case serr := <-sent:
				return serr
			default:
				return err
			}
		}
		watchdog.Reset(linkSilence)
		for more := true; more; {
			select {
			case p := <-pings:
				asked[p.number] = p.at
			default:
				more = false
			}
		}
		in := update{FollowUpdate: u}
		if u.Pong != 0 {
			in.askedAt = asked[u.Pong]
			for n := range asked {
				if n <= u.Pong {
					delete(asked, n)
				}
			}
			if in.askedAt == 0 {
				in.Confirmed = false
			}
		}
		l.v.post(ctx, func() { l.v.took(l, in) })
	}
}

type ping struct {
	number uint64
	at     time.Duration
}

// send asks for confirmations regularly, and for the state when woken.
func (l *link) send(ctx context.Context, stream fleetpb.DRPCDirectory_FollowClient, pings chan<- ping) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		l.ping++
		p := ping{number: l.ping, at: clock.Boot()}
		select {
		case pings <- p:
		default: // Nothing was received meanwhile; the watchdog ends the session.
		}
		req := &fleetpb.FollowRequest{Router: l.v.opts.Router, Ping: p.number, Have: l.v.Snapshot().Revision, Fetch: l.fetch.Swap(false), List: l.list.Swap(false)}
		if l.v.reportTo.Load() == l {
			req.Load = encodeLoad(l.v.opts.Fleet.InFlight())
		}
		if err := stream.Send(req); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-l.wake:
		}
	}
}

// request asks for what is missing at once.
func (l *link) request() {
	l.fetch.Store(true)
	l.nudge()
}

// nudge has the next request sent at once.
func (l *link) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func encodeLoad(load map[uint32]int) *fleetpb.Load {
	out := &fleetpb.Load{}
	for server, n := range load {
		out.Servers = append(out.Servers, server)
		out.InFlight = append(out.InFlight, uint32(n))
	}
	return out
}
