package router

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/claims"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/dispatch"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
	"github.com/kumquathollow/kumquathollow/internal/grantor"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/membership"
	"github.com/kumquathollow/kumquathollow/internal/registry"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/settings"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Reasons against readiness.
const (
	reasonConfiguration = "no configuration in force yet"
	reasonGrantor       = "the grantor of the data centre is not reached yet"
	reasonShutdown      = "shutting down"
)

const (
	roleRouter       = "router"
	readyInterval    = 50 * time.Millisecond
	announceReadTime = 5 * time.Second
)

// Router is one running process.
type Router struct {
	settings Settings
	log      hclog.Logger
	metrics  *telemetry.Registry
	// fleetTraffic and announceTraffic count the bytes of control traffic.
	fleetTraffic, announceTraffic rpc.Traffic
	ready                         *telemetry.Readiness

	callers, announce, fleet, admin net.Listener

	dialer     *rpc.Dialer
	relay      *distribution.Relay
	watcher    *distribution.Watcher
	heartbeats *membership.Sender
	grantor    *grantor.Server
	client     *grantor.Client
	claims     *claims.Client
	dispatcher *dispatch.Dispatcher
	order      *order

	callerServer, announceServer, adminServer *http.Server
}

// New opens the listeners and assembles the process; Run runs it. Settings must
// have been checked and have their defaults.
func New(s Settings, log hclog.Logger) (*Router, error) {
	r := &Router{
		settings: s,
		log:      log,
		metrics:  telemetry.NewRegistry(),
		ready:    telemetry.NewReadiness(reasonConfiguration, reasonGrantor),
	}
	if err := r.listen(); err != nil {
		r.closeListeners()
		return nil, err
	}
	clientTLS, err := keys.ClientConfig(s.FleetTLS)
	if err != nil {
		r.closeListeners()
		return nil, err
	}
	r.dialer = rpc.NewDialer(clientTLS)
	r.dialer.Traffic = &r.fleetTraffic
	r.assembleFleet()
	r.assembleTraffic()
	r.registerMetrics()
	return r, nil
}

// registerMetrics serves the revision in force and the bytes of control
// traffic: connections of the fleet's processes, and announcements.
func (r *Router) registerMetrics() {
	revision := func() config.Revision { return r.state().InForce }
	r.metrics.Gauge("config.epoch", func() int64 { return int64(revision().Epoch) })
	r.metrics.Gauge("config.revision", func() int64 { return int64(revision().Number) })
	r.metrics.Gauge("control.bytes.fleet_in", r.fleetTraffic.In)
	r.metrics.Gauge("control.bytes.fleet_out", r.fleetTraffic.Out)
	r.metrics.Gauge("control.bytes.announce_in", r.announceTraffic.In)
	r.metrics.Gauge("control.bytes.announce_out", r.announceTraffic.Out)
}

func (r *Router) listen() error {
	for _, l := range []struct {
		to      *net.Listener
		address string
		tls     settings.TLS
		conf    func(settings.TLS) (*tls.Config, error)
		traffic *rpc.Traffic
	}{
		{&r.callers, r.settings.Listen.Callers, r.settings.CallersTLS, callersTLS, nil},
		{&r.announce, r.settings.Listen.Announce, r.settings.AnnounceTLS, callersTLS, &r.announceTraffic},
		{&r.fleet, r.settings.Listen.Fleet, r.settings.FleetTLS, keys.ServerConfig, &r.fleetTraffic},
		{&r.admin, r.settings.Listen.Admin, settings.TLS{}, keys.ServerConfig, nil},
	} {
		conf, err := l.conf(l.tls)
		if err != nil {
			return err
		}
		if *l.to, err = rpc.ListenCounted(l.address, conf, l.traffic); err != nil {
			return err
		}
	}
	if r.settings.FleetAddress == "" {
		r.settings.FleetAddress = r.fleet.Addr().String()
	}
	return nil
}

// callersTLS offers HTTP/1.1 only: the dispatcher shows a break of an answer by
// closing the connection, which HTTP/2 callers share.
func callersTLS(t settings.TLS) (*tls.Config, error) {
	conf, err := keys.ListenerConfig(t)
	if conf == nil || err != nil {
		return nil, err
	}
	inner := conf.GetConfigForClient
	conf.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		c, err := inner(h)
		if err != nil {
			return nil, err
		}
		c.NextProtos = []string{"http/1.1"}
		return c, nil
	}
	return conf, nil
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.callers, r.announce, r.fleet, r.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// assembleFleet makes what talks to the fleet's other processes.
func (r *Router) assembleFleet() {
	s := r.settings
	r.relay = distribution.NewRelay(0)
	sources, fallback := s.Relays, s.Control
	if len(sources) == 0 {
		sources, fallback = s.Control, nil
	}
	r.watcher = distribution.NewWatcher(distribution.Options{
		Node: s.Name, Sources: sources, Fallback: fallback, Dialer: r.dialer, DataDir: s.DataDir,
		IsolationBound: s.IsolationBound.D(), Relay: r.relay, Log: r.log.Named("config"),
	})
	r.heartbeats = membership.NewSender(membership.Options{
		Name: s.Name, Role: roleRouter, DataCentre: s.DataCentre, Address: s.FleetAddress,
		Controls: s.Control, Dialer: r.dialer, State: r.state, Log: r.log.Named("heartbeat"),
	})
	r.grantor = grantor.NewServer(grantor.ServerOptions{
		Name: s.Name, Incarnation: r.heartbeats.Incarnation(), DataCentre: s.DataCentre, Address: s.FleetAddress,
		Config: r.watcher.Current, Dialer: r.dialer, Log: r.log.Named("grantor"),
	})
	r.client = grantor.NewClient(grantor.ClientOptions{
		Name: s.Name, Incarnation: r.heartbeats.Incarnation(),
		Config: r.watcher.Current, Dialer: r.dialer, Log: r.log.Named("permits"),
	})
	r.claims = claims.New(claims.Options{
		Addresses: s.Control, Group: claims.Remote{Dialer: r.dialer}, Log: r.log.Named("claims"), Metrics: r.metrics,
	})
	r.order = &order{dataCentre: s.DataCentre, isolated: r.watcher.Isolated}
	r.watcher.Subscribe(r.order.observe)
}

// assembleTraffic makes what talks to callers, backend servers and the platform.
func (r *Router) assembleTraffic() {
	s := r.settings
	r.dispatcher = dispatch.New(dispatch.Options{
		Router: s.Name, Config: r.watcher.Current, Order: r.order.choose,
		Permits: permits{r.client}, Claims: r.claims, Log: r.log.Named("dispatch"), Metrics: r.metrics,
		Limits: dispatch.Limits{BodyTime: s.Limits.BodyTime.D(), StallTime: s.Limits.StallTime.D(), BodyBytes: s.Limits.BodyBytes},
	})
	r.callerServer = r.httpServer(r.dispatcher)
	r.announceServer = r.httpServer(registry.NewHandler(registry.Options{
		Config: r.watcher.Current, Announce: r.client.Announce, Log: r.log.Named("registry"),
	}))
	r.announceServer.ReadTimeout = announceReadTime
	r.adminServer = r.httpServer(telemetry.AdminHandler(r.metrics, r.ready))
}

func (r *Router) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: r.settings.Limits.HeaderTime.D(),
		MaxHeaderBytes:    r.settings.Limits.HeaderBytes,
		IdleTimeout:       r.settings.Limits.IdleTime.D(),
		ErrorLog:          r.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		// OPTIONS * is no route either.
		DisableGeneralOptionsHandler: true,
		TLSNextProto:                 map[string]func(*http.Server, *tls.Conn, http.Handler){},
	}
}

// state is what heartbeats tell.
func (r *Router) state() membership.State {
	var rev config.Revision
	if set := r.watcher.Current(); set != nil {
		rev = set.Revision
	}
	return membership.State{InForce: rev, Ready: r.ready.Ready(), Isolated: r.watcher.Isolated()}
}

// serve runs every component until ctx ends.
func (r *Router) serve(ctx context.Context, g *errgroup.Group) error {
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterDistribution(mux, r.relay); err != nil {
		return err
	}
	if err := grantpb.DRPCRegisterGrantor(mux, r.grantor); err != nil {
		return err
	}
	if err := grantpb.DRPCRegisterLeaseVoter(mux, r.grantor); err != nil {
		return err
	}
	guarded := keys.Guard(mux, keys.FleetRoles, r.settings.FleetTLS.Enabled())
	g.Go(func() error { return rpc.Serve(ctx, r.fleet, guarded) })
	g.Go(func() error { return r.watcher.Run(ctx) })
	g.Go(func() error { return r.heartbeats.Run(ctx) })
	g.Go(func() error { return r.claims.Run(ctx) })
	g.Go(func() error { return r.client.Run(ctx) })
	g.Go(func() error { return r.watchReadiness(ctx) })
	for _, s := range []struct {
		server *http.Server
		on     net.Listener
	}{{r.callerServer, r.callers}, {r.announceServer, r.announce}, {r.adminServer, r.admin}} {
		g.Go(func() error {
			if err := s.server.Serve(s.on); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
	}
	return nil
}

// watchReadiness follows the configuration and the data centre's grantor. Once
// reached, a lost grantor does not make the router unready: it can still serve
// from other data centres, and all routers of the data centre would go at once.
func (r *Router) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		r.ready.Set(reasonConfiguration, r.watcher.Current() == nil || !r.watcher.Ready())
		if r.anyGrantor() {
			r.ready.Set(reasonGrantor, false)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Router) anyGrantor() bool {
	set := r.watcher.Current()
	if set == nil {
		return false
	}
	for name := range set.DataCentres {
		if r.client.Connected(name) {
			return true
		}
	}
	return false
}
