package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/forward"
	"github.com/kumquathollow/kumquathollow/internal/httpguard"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Reasons against readiness.
const (
	reasonConfiguration = "no confirmed configuration yet"
	reasonCutOff        = "the directory's quorum is not reached"
	reasonStopping      = "the process is stopping"
)

const (
	readyInterval = 100 * time.Millisecond
	// cutOffTime is how long the quorum may be silent before the router says that
	// it is cut off: several confirmations, and most elections.
	cutOffTime = 2500 * time.Millisecond
	// minorityTime is how long most of the directory's processes may be out of
	// reach; they are back sooner if they were only restarted.
	minorityTime = 700 * time.Millisecond
	// headerTime bounds reading a request's header.
	headerTime = 10 * time.Second
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
	// balancerTime is how long the balancer may take to see that the router is not
	// ready: two checks a second apart, and one more.
	balancerTime = 2500 * time.Millisecond
	// endMargin is kept at the end of the grace time for closing.
	endMargin = 700 * time.Millisecond
)

// Router is one edge router.
type Router struct {
	conf    *Settings
	log     hclog.Logger
	metrics *telemetry.Registry
	ready   *telemetry.Readiness
	dialer  *rpc.Dialer
	view    *fleetview.View
	fleet   *placement.Fleet
	pool    *backend.Pool
	handler *forward.Forwarder
	// readyPath is the path on which the balancer asks.
	readyPath string

	clients, readiness, admin net.Listener
}

// Adapter is what an adapter gives a router.
type Adapter struct {
	Protocol forward.Protocol
	// Decode reads a configuration document.
	Decode func(document []byte) (*catalog.Set, error)
	// ReadyPath is the path on which the balancer asks.
	ReadyPath string
}

// New takes the addresses and assembles the router.
func New(conf *Settings, a Adapter, log hclog.Logger) (*Router, error) {
	r := &Router{
		conf: conf, log: log, metrics: telemetry.NewRegistry(), dialer: rpc.NewFleetDialer(),
		ready: telemetry.NewReadiness(reasonConfiguration), readyPath: a.ReadyPath,
	}
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{{&r.clients, conf.Clients}, {&r.readiness, conf.Ready}} {
		var err error
		if *l.to, err = rpc.Listen(l.address, nil); err != nil {
			r.closeListeners()
			return nil, err
		}
	}
	r.admin = telemetry.ListenAdmin(conf.Admin, log)
	r.fleet = placement.NewFleet(conf.Name, conf.DataCentre, placement.Bounds{ColdFactor: conf.Bounds.ColdFactor, ColdSlack: conf.Bounds.ColdSlack})
	r.view = fleetview.New(fleetview.Options{
		Router: conf.Name + "/" + uuid.NewString(), Dialer: r.dialer, Seeds: rpc.OnPort(conf.Seeds, conf.DirectoryPort),
		Decode: a.Decode, Fleet: r.fleet, Log: log.Named("fleet"),
	})
	opened := r.metrics.Counter("backend.connections_opened")
	r.pool = backend.NewPool(func() { opened.Inc(1) })
	r.handler = forward.New(forward.Options{
		Protocol: a.Protocol, View: r.view, Fleet: r.fleet, Pool: r.pool,
		RetryLimits:        forward.RetryLimits{Ratio: conf.Bounds.RetryRatio, Slack: conf.Bounds.RetrySlack, Window: conf.Bounds.RetryWindow.D()},
		MaxConfirmationAge: conf.Bounds.KeyTime.D() - keyMargin, Log: log.Named("forward"), Metrics: r.metrics,
	})
	r.metrics.Gauge("config.revision", func() int64 { return int64(r.view.Snapshot().Revision) })
	r.metrics.Gauge("config.confirmed_ago_ms", func() int64 {
		age, _ := r.view.Age()
		return age.Milliseconds()
	})
	return r, nil
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.clients, r.readiness, r.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// SetSeeds takes new seeds in, as the settings change.
func (r *Router) SetSeeds(ctx context.Context, seeds []string) {
	r.view.SetSeeds(ctx, rpc.OnPort(seeds, r.conf.DirectoryPort))
	r.log.Info("seeds changed", "seeds", seeds)
}

// Run serves until a signal comes, then stops gracefully.
func (r *Router) Run(stop <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	errorLog := r.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	clients := &http.Server{
		Handler: r.handler, ReadHeaderTimeout: headerTime, MaxHeaderBytes: headerBytes, ErrorLog: errorLog,
		ConnState: httpguard.State, ConnContext: httpguard.Context, DisableGeneralOptionsHandler: true,
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+r.readyPath, r.ready.Handler())
	readiness := &http.Server{Handler: mux, ReadHeaderTimeout: headerTime, ErrorLog: errorLog}
	admin := &http.Server{Handler: telemetry.AdminHandler(r.metrics, r.ready), ReadHeaderTimeout: headerTime, ErrorLog: errorLog}
	for _, s := range []struct {
		server *http.Server
		on     net.Listener
	}{{clients, &httpguard.Listener{Listener: r.clients, IdleTime: r.idleTime}}, {readiness, r.readiness}, {admin, r.admin}} {
		if s.on == nil {
			continue
		}
		g.Go(func() error {
			if err := s.server.Serve(s.on); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	g.Go(func() error { return r.view.Run(ctx) })
	g.Go(func() error { return r.pool.Run(ctx) })
	g.Go(func() error { return r.watchReadiness(ctx) })
	r.log.Info("listening", "name", r.conf.Name, "data-centre", r.conf.DataCentre, "clients", r.conf.Clients, "ready", r.conf.Ready, "seeds", r.conf.Seeds)
	select {
	case <-ctx.Done():
	case <-stop:
		r.shutDown(clients)
	}
	cancel()
	err := errors.CombineErrors(readiness.Close(), admin.Close())
	err = errors.CombineErrors(err, clients.Close())
	err = errors.CombineErrors(g.Wait(), err)
	r.log.Info("stopped", "name", r.conf.Name, "in-flight", r.handler.InFlight(), "error", err)
	return errors.CombineErrors(err, r.dialer.Close())
}

func (r *Router) idleTime() time.Duration {
	if set := r.view.Snapshot().Set; set != nil {
		return set.Limits.IdleTime
	}
	return 0
}

// shutDown finishes what the clients have begun.
func (r *Router) shutDown(clients *http.Server) {
	began := time.Now()
	r.log.Info("stopping", "in-flight", r.handler.InFlight())
	r.ready.Set(reasonStopping, true)
	r.handler.DisableKeepAlives()
	time.Sleep(balancerTime)
	ctx, cancel := context.WithTimeout(context.Background(), r.conf.Grace.D()-balancerTime-endMargin)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		r.log.Warn("requests cut off at the end of the grace time", "in-flight", r.handler.InFlight(), "error", err)
	}
	r.log.Info("clients served", "took", time.Since(began).Round(time.Millisecond))
}

// watchReadiness follows the configuration and the directory.
func (r *Router) watchReadiness(ctx context.Context) error {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	was := false
	for {
		_, confirmed := r.view.Age()
		r.ready.Set(reasonConfiguration, !confirmed || r.view.Snapshot().Set == nil)
		r.ready.Set(reasonCutOff, r.view.QuorumAge() > cutOffTime || r.view.MinorityAge() > minorityTime)
		if now := r.ready.Ready(); now != was {
			was = now
			r.log.Info("readiness", "ready", now, "reasons", r.ready.Reasons(), "quorum-heard-ago", r.view.QuorumAge().Round(time.Millisecond), "revision", r.view.Snapshot().Revision)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
