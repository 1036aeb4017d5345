package fleetview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

const (
	// pingInterval is the interval at which the router requests a confirmation where it
	// reports its load, and the longest one at which it reports.
	pingInterval = 300 * time.Millisecond
	// standbyPingInterval is the interval at which it requests a confirmation elsewhere.
	standbyPingInterval = 500 * time.Millisecond
	// minReportInterval is the shortest interval at which the router reports its load.
	minReportInterval = 30 * time.Millisecond
	// receiveTimeout is how long a session may receive nothing before it is closed: over
	// twice the longest interval at which the directory process sends.
	receiveTimeout = 1200 * time.Millisecond
)

// link is a session with one directory process.
type link struct {
	view           *View
	address        string
	lastPing       uint64
	fetchRequested atomic.Bool
	listRequested  atomic.Bool
	// reportInterval is how often the process wants the router's load; 0 if it did not
	// say.
	reportInterval atomic.Int64
	// wake makes send send a ping and a report at once, report only a report.
	wake, report chan struct{}
	cancel       context.CancelFunc

	// The fields below are owned by the goroutine of View.Run.
	connected bool
	inQuorum  bool
	// openedAt is when the link was opened, and outOfQuorumSince when the process was
	// first heard to be out of quorum, 0 if it is in quorum; by the boot clock.
	openedAt, outOfQuorumSince time.Duration
	routers                    int
	// revision is the newest revision that the directory process is known to have.
	revision uint64
	// reportsSince is when the router began to report here, by the boot clock. answersSyncs is set once the
	// process has answered a sync.
	reportsSince time.Duration
	answersSyncs bool
	// servedVersions are those that the process has recorded, as last received.
	servedVersions []inventory.ServedVersion
}

func (l *link) run(ctx context.Context) {
	err := l.follow(ctx)
	l.view.enqueue(ctx, func() { l.view.onDisconnect(l, err) })
}

// update is a received message and, if it is a pong, the boot-clock time at which the
// corresponding ping was sent.
type update struct {
	*fleetpb.FollowUpdate
	pingSentAt time.Duration
	// pingRevision is the revision that the router held then.
	pingRevision uint64
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
	sentPings := map[uint64]ping{}
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
				sentPings[p.number] = p
			default:
				pending = false
			}
		}
		message := update{FollowUpdate: u}
		if u.Pong != 0 {
			message.pingSentAt, message.pingRevision = sentPings[u.Pong].sentAt, sentPings[u.Pong].revision
			for n := range sentPings {
				if n <= u.Pong {
					delete(sentPings, n)
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
	number   uint64
	sentAt   time.Duration
	revision uint64
}

// send sends a ping, together with any pending requests and the load report, at the
// interval between pings and when woken. If the router reports here, it sends further
// load reports in between.
func (l *link) send(ctx context.Context, stream fleetpb.DRPCDirectory_FollowClient, pings chan<- ping) error {
	var pingDue time.Duration
	due := time.NewTimer(pingInterval)
	defer due.Stop()
	wasReporting, syncDue := false, false
	for woken := true; ; {
		now, reporting := clock.SinceBoot(), l.view.reportTo.Load() == l
		req := &fleetpb.FollowRequest{Have: l.view.Snapshot().Revision, Fetch: l.fetchRequested.Swap(false), List: l.listRequested.Swap(false)}
		if woken || now >= pingDue {
			l.lastPing++
			req.Router, req.Ping, req.Handoff = l.view.opts.RouterID, l.lastPing, l.view.handoffAddress()
			req.FollowsRollouts, req.AppliesVersionZero = true, true
			select {
			case pings <- ping{number: l.lastPing, sentAt: now, revision: req.Have}:
			default: // The buffer is full: nothing was received meanwhile, and the watchdog closes the session.
			}
			pingDue = now + standbyPingInterval
			if reporting {
				pingDue, syncDue = now+pingInterval, true
			}
		}
		wait := pingDue - now
		if reporting {
			req.Load = inventory.EncodeLoad(l.view.opts.Fleet.InFlight())
			at := time.Now()
			crashes, survived := l.view.monitor.Reports(!wasReporting, at)
			req.Crashes = quarantine.EncodeCrashes(crashes, at)
			req.Survived, req.SurvivedRequests = quarantine.EncodeSubjects(survived)
			req.Origins, req.Lookups = l.view.origins.Report(!wasReporting, at)
			if l.view.syncs.wanted.Swap(false) || syncDue {
				req.Sync, syncDue = uint64(now), false
			}
			req.Rollouts = l.view.attempts.Report(!wasReporting, l.view.lastRollout)
			if report := time.Duration(l.reportInterval.Load()); report > 0 {
				wait = min(wait, max(minReportInterval, report))
			}
		}
		wasReporting = reporting
		if err := stream.Send(req); err != nil {
			return err
		}
		due.Reset(wait)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due.C:
			woken = false
		case <-l.report:
			woken = false
		case <-l.wake:
			woken = true
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
func (l *link) sendNow() { signal(l.wake) }

// reportNow wakes send for a report without a ping.
func (l *link) reportNow() { signal(l.report) }

// reportNow has the router report at once, if it reports to a directory process.
func (v *View) reportNow() {
	if l := v.reportTo.Load(); l != nil {
		l.reportNow()
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // A signal is pending already.
	}
}
