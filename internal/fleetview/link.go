package fleetview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
)

const (
	// pingInterval is the interval at which the router requests a confirmation.
	pingInterval = 300 * time.Millisecond
	// receiveTimeout is how long a session may receive nothing before it is closed:
	// three ping intervals.
	receiveTimeout = 900 * time.Millisecond
	// minRedialBackoff and maxRedialBackoff limit the backoff after a failed session.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 300 * time.Millisecond
)

// link keeps a session with one directory process, and reopens it when it fails.
type link struct {
	view           *View
	address        string
	lastPing       uint64
	fetchRequested atomic.Bool
	listRequested  atomic.Bool
	wake           chan struct{}
	cancel         context.CancelFunc

	// The fields below are owned by the goroutine of View.Run.
	connected bool
	inQuorum  bool
	routers   int
	// revision is the newest revision that the directory process is known to have.
	revision uint64
	// load is the total number of requests in flight at the routers that report to
	// this directory process, by the hash of the backend server's id.
	load map[uint32]int
}

func (l *link) run(ctx context.Context) {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := l.follow(ctx)
		l.view.enqueue(ctx, func() { l.view.onDisconnect(l, err) })
		if time.Since(start) > receiveTimeout {
			backoff = minRedialBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// update is a received message and, if it is a pong, the boot-clock time at which the
// corresponding ping was sent.
type update struct {
	*fleetpb.FollowUpdate
	pingSentAt time.Duration
}

func (l *link) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(receiveTimeout, cancel)
	defer watchdog.Stop()
	conn, err := l.view.opts.Dialer.DialUnpooled(ctx, l.address)
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
	pingTimes := map[uint64]time.Duration{}
	for {
		u, err := stream.Recv()
		if err != nil {
			select {
			case sendErr := <-sent:
				return sendErr
			default:
				return err
			}
		}
		watchdog.Reset(receiveTimeout)
		for pending := true; pending; {
			select {
			case p := <-pings:
				pingTimes[p.number] = p.sentAt
			default:
				pending = false
			}
		}
		message := update{FollowUpdate: u}
		if u.Pong != 0 {
			message.pingSentAt = pingTimes[u.Pong]
			for n := range pingTimes {
				if n <= u.Pong {
					delete(pingTimes, n)
				}
			}
			if message.pingSentAt == 0 {
				message.Confirmed = false
			}
		}
		l.view.enqueue(ctx, func() { l.view.onUpdate(l, message) })
	}
}

type ping struct {
	number uint64
	sentAt time.Duration
}

// send sends a ping, together with any pending requests and the load report, every
// pingInterval and when woken.
func (l *link) send(ctx context.Context, stream fleetpb.DRPCDirectory_FollowClient, pings chan<- ping) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		l.lastPing++
		p := ping{number: l.lastPing, sentAt: clock.SinceBoot()}
		select {
		case pings <- p:
		default: // The buffer is full: nothing was received meanwhile, and the watchdog closes the session.
		}
		req := &fleetpb.FollowRequest{Router: l.view.opts.RouterID, Ping: p.number, Have: l.view.Snapshot().Revision, Fetch: l.fetchRequested.Swap(false), List: l.listRequested.Swap(false)}
		if l.view.reportTo.Load() == l {
			req.Load = encodeLoad(l.view.opts.Fleet.InFlight())
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

// requestFetch requests the revisions after the router's own, without waiting for
// the next ping.
func (l *link) requestFetch() {
	l.fetchRequested.Store(true)
	l.sendNow()
}

// sendNow wakes send, so that the next request is sent immediately.
func (l *link) sendNow() {
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
