package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/drain"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/forward"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/httpguard"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Reasons why the process is not ready, as reported by the readiness handler.
const (
	reasonConfiguration = "no confirmed configuration yet"
	reasonNoQuorum      = "the directory's quorum is not reached"
	reasonNoBackend     = "no backend server can be reached"
	reasonStopping      = "the process is stopping"
)

const (
	readinessInterval = 100 * time.Millisecond
	// quorumTimeout is how long the router may go without a confirmation by the
	// directory's quorum before it reports that it is cut off. It covers several
	// confirmations, and most leader elections.
	quorumTimeout = 2500 * time.Millisecond
	// outOfQuorumTimeout is how long the router may be without a session to a directory
	// process that is in quorum before it reports that it is cut off. Most leader
	// elections take less time.
	outOfQuorumTimeout = 700 * time.Millisecond
	// headerTimeout limits reading a request header where the configuration sets no
	// shorter time, and waiting for its first byte.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits a request header.
	maxHeaderBytes = 64 << 10
	// maxCloseMargin and closeMarginFraction, a fraction of the grace period, limit the time that is
	// reserved for closing connections and listeners at its end.
	maxCloseMargin      = 700 * time.Millisecond
	closeMarginFraction = 8
)

func closeMargin(grace time.Duration) time.Duration {
	return min(maxCloseMargin, grace/closeMarginFraction)
}

// Router is an edge router process.
type Router struct {
	settings  *Settings
	log       hclog.Logger
	metrics   *telemetry.Registry
	ready     *telemetry.Readiness
	dialer    *rpc.Dialer
	view      *fleetview.View
	fleet     *placement.Fleet
	pool      *backend.Pool
	forwarder *forward.Forwarder
	// readyPath is the path of the load balancer's readiness check.
	readyPath string

	clients, readiness, admin net.Listener
	// handoff is the listener for requests of other routers; nil if there is none.
	handoff       net.Listener
	handoffServer *handoff.Server
	// takesHandoffs is set while this router takes over requests of others.
	takesHandoffs atomic.Bool
}

// Adapter holds the deployment-specific parts of a router.
type Adapter struct {
	Protocol forward.Protocol
	// Decode parses a configuration document.
	Decode func(document []byte) (*catalog.Set, error)
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// StartCall is how backend servers tell their start; nil if they do not.
	StartCall *backend.StartCall
	// DialServer opens connections to backend servers; nil means TCP.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// DialFleet opens connections to other processes of the fleet; nil means TCP.
	DialFleet func(ctx context.Context, address string) (net.Conn, error)
}

// New opens the listeners and assembles the router.
func New(conf *Settings, adapter Adapter, log hclog.Logger) (*Router, error) {
	r := &Router{
		settings: conf, log: log, metrics: telemetry.NewRegistry(), dialer: rpc.NewFleetDialer(),
		ready: telemetry.NewReadiness(reasonConfiguration), readyPath: adapter.ReadyPath,
	}
	r.dialer.Dial = adapter.DialFleet
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&r.clients, conf.Clients}, {&r.readiness, conf.Ready}, {&r.handoff, conf.Handoff}} {
		if l.address == "" {
			continue
		}
		var err error
		if *l.listener, err = rpc.Listen(l.address, nil); err != nil {
			r.closeListeners()
			return nil, err
		}
	}
	r.admin = telemetry.ListenAdmin(conf.Admin, log)
	r.fleet = placement.NewFleet(conf.Name, conf.DataCentre, placement.Bounds{ColdFactor: conf.Bounds.ColdFactor, ColdSlack: conf.Bounds.ColdSlack})
	r.view = fleetview.New(fleetview.Options{
		RouterID: conf.Name + "/" + uuid.NewString(), DataCentre: conf.DataCentre, Dialer: r.dialer, Seeds: rpc.WithPort(conf.Seeds, conf.DirectoryPort),
		Decode: adapter.Decode, Fleet: r.fleet, Log: log.Named("fleet"), HandoffAddress: r.handoffAddress,
	})
	opened, failed := r.metrics.Counter("backend.connections_opened"), r.metrics.Counter("backend.connections_failed")
	asked, untold := r.metrics.Counter("backend.starts_asked"), r.metrics.Counter("backend.starts_not_told")
	r.pool = backend.NewPool(backend.Options{
		OnOpen: func() { opened.Inc(1) }, OnFailure: func() { failed.Inc(1) }, Dial: adapter.DialServer,
		StartCall: adapter.StartCall, OnStartCall: func(told bool) {
			asked.Inc(1)
			if !told {
				untold.Inc(1)
			}
		},
		IsReplaced: func(t backend.Target) bool { return r.fleet.HasLaterIncarnation(t.ID, t.Address, t.Born) },
	})
	r.metrics.Gauge("backend.cut_off", func() int64 {
		if r.fleet.CutOff() {
			return 1
		}
		return 0
	})
	options := forward.Options{
		Protocol: adapter.Protocol, View: r.view, Fleet: r.fleet, Pool: r.pool,
		RetryLimits:        forward.RetryLimits{Ratio: conf.Bounds.RetryRatio, Slack: conf.Bounds.RetrySlack, Window: conf.Bounds.RetryWindow.AsDuration()},
		MaxConfirmationAge: conf.Bounds.KeyTime.AsDuration() - keyTimeMargin, Log: log.Named("forward"), Metrics: r.metrics,
	}
	if r.handoff != nil {
		options.Handoff = handoffs{&handoff.Client{Router: conf.Name, Dialer: r.dialer}, r.view, r.handoff.Addr().String()}
	}
	r.forwarder = forward.New(options)
	r.handoffServer = &handoff.Server{Handle: r.forwarder.ServeHandoff, Accepts: r.takesHandoffs.Load, Log: log.Named("handoff")}
	r.metrics.Gauge("handoff.in_flight", r.handoffServer.InFlight)
	r.metrics.Gauge("handoff.known", func() int64 { return int64(len(r.view.Handoffs())) })
	r.metrics.Gauge("config.revision", func() int64 { return int64(r.view.Snapshot().Revision) })
	r.metrics.Gauge("config.confirmed_ago_ms", func() int64 {
		age, _ := r.view.ConfirmationAge()
		return age.Milliseconds()
	})
	r.metrics.Gauge("servers.known_ago_ms", func() int64 { return r.view.ServersKnownAge().Milliseconds() })
	return r, nil
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.clients, r.readiness, r.admin, r.handoff} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// ClientsAddress returns the address that serves clients.
func (r *Router) ClientsAddress() string { return r.clients.Addr().String() }

// AdminAddress returns the address of the metrics, or "" if it could not be opened.
func (r *Router) AdminAddress() string {
	if r.admin == nil {
		return ""
	}
	return r.admin.Addr().String()
}

// SetSeeds replaces the seeds after a change of the settings.
func (r *Router) SetSeeds(ctx context.Context, seeds []string) {
	r.view.SetSeeds(ctx, rpc.WithPort(seeds, r.settings.DirectoryPort))
	r.log.Info("seeds changed", "seeds", seeds)
}

// Run serves until a signal arrives on stop, then shuts down gracefully.
func (r *Router) Run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	errorLog := r.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	clients := &http.Server{
		Handler: httpguard.Handler(r.forwarder), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
		ConnState: httpguard.ConnState, ConnContext: httpguard.ConnContext, DisableGeneralOptionsHandler: true,
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+r.readyPath, r.ready.Handler())
	readiness := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: errorLog}
	admin := &http.Server{Handler: telemetry.AdminHandler(r.metrics, r.ready), ReadHeaderTimeout: headerTimeout, ErrorLog: errorLog}
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{clients, &httpguard.Listener{Listener: r.clients, IdleTimeout: r.clientIdleTimeout, HeaderTimeout: r.clientHeaderTimeout}}, {readiness, r.readiness}, {admin, r.admin}} {
		if s.listener == nil {
			continue
		}
		g.Go(func() error { return drain.Serve(s.server, s.listener) })
	}
	g.Go(func() error { return r.view.Run(ctx) })
	g.Go(func() error { return r.pool.Run(ctx) })
	g.Go(func() error { return r.forwarder.Run(ctx) })
	if r.handoff != nil {
		g.Go(func() error { return r.serveHandoff(ctx) })
	}
	g.Go(func() error { return r.updateReadiness(ctx) })
	r.log.Info("listening", "name", r.settings.Name, "data-centre", r.settings.DataCentre, "clients", r.settings.Clients, "ready", r.settings.Ready, "seeds", r.settings.Seeds)
	select {
	case <-ctx.Done():
	case <-stop:
		r.drain(clients)
	}
	cancel()
	err := errors.CombineErrors(readiness.Close(), admin.Close())
	err = errors.CombineErrors(err, clients.Close())
	err = errors.CombineErrors(g.Wait(), err)
	r.log.Info("stopped", "name", r.settings.Name, "in-flight", r.forwarder.InFlight(), "error", err)
	return errors.CombineErrors(err, r.dialer.Close())
}

func (r *Router) clientIdleTimeout() time.Duration {
	if config := r.view.Snapshot().Configuration; config != nil {
		return config.Limits.IdleTime
	}
	return 0
}

func (r *Router) clientHeaderTimeout() time.Duration {
	if config := r.view.Snapshot().Configuration; config != nil {
		return config.Limits.HeaderTime
	}
	return 0
}

// drain makes the router unready, waits until the load balancer has noticed, and
// then waits for the requests in flight until the grace period is almost over. Requests that
// would outlast it are refused all the while.
func (r *Router) drain(clients *http.Server) {
	start := time.Now()
	r.log.Info("stopping", "in-flight", r.forwarder.InFlight())
	r.ready.SetReason(reasonStopping, true)
	end := start.Add(r.settings.Grace.AsDuration() - closeMargin(r.settings.Grace.AsDuration()))
	r.forwarder.Stop(end)
	time.Sleep(placement.BalancerDetectionTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := drain.Shutdown(ctx, clients, r.clients)
	if err == nil {
		err = r.awaitHandedOff(ctx)
	}
	if err != nil {
		r.log.Warn("requests aborted: still in flight at the end of the grace period", "in-flight", r.forwarder.InFlight(), "error", err)
	}
	r.log.Info("clients served", "took", time.Since(start).Round(time.Millisecond))
}

// updateReadiness periodically updates the readiness from the state of the
// configuration and the contact with the directory.
func (r *Router) updateReadiness(ctx context.Context) error {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	wasReady := false
	for {
		_, confirmed := r.view.ConfirmationAge()
		r.ready.SetReason(reasonConfiguration, !confirmed || r.view.Snapshot().Configuration == nil)
		r.ready.SetReason(reasonNoQuorum, r.view.QuorumAge() > quorumTimeout || r.view.OutOfQuorumDuration() > outOfQuorumTimeout)
		cutOff := r.fleet.CutOff()
		r.ready.SetReason(reasonNoBackend, cutOff && !r.forwarder.CanHandOff())
		if takes := r.ready.Ready() && !r.fleet.ReachesNoServer(); r.takesHandoffs.Swap(takes) != takes {
			r.view.HandoffAddressChanged(ctx)
		}
		if isReady := r.ready.Ready(); isReady != wasReady {
			wasReady = isReady
			r.log.Info("readiness", "ready", isReady, "reasons", r.ready.Reasons(), "cut-off", cutOff, "handoffs", len(r.view.Handoffs()), "quorum-heard-ago", r.view.QuorumAge().Round(time.Millisecond), "revision", r.view.Snapshot().Revision)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
