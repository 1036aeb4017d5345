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
	"github.com/kumquathollow/kumquathollow/internal/drain"
	"github.com/kumquathollow/kumquathollow/internal/grantor"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/membership"
	"github.com/kumquathollow/kumquathollow/internal/registry"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/settings"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Reasons for not being ready, as served by /readyz.
const (
	reasonConfiguration = "no configuration in force yet"
	reasonGrantor       = "the grantor of the data centre is not reached yet"
	reasonShutdown      = "shutting down"
)

const (
	roleRouter          = "router"
	readinessInterval   = 50 * time.Millisecond
	announceReadTimeout = 5 * time.Second
)

// Router is the router process.
type Router struct {
	settings Settings
	log      hclog.Logger
	metrics  *telemetry.Registry
	// Control traffic: connections between processes of the fleet, and announcements.
	fleetTraffic, announceTraffic rpc.Traffic
	ready                         *telemetry.Readiness

	callers, announce, fleet, admin net.Listener

	dialer          *rpc.Dialer
	relay           *distribution.Relay
	watcher         *distribution.Watcher
	heartbeats      *membership.Sender
	grantorServer   *grantor.Server
	grantorClient   *grantor.Client
	claims          *claims.Client
	dispatcher      *dispatch.Dispatcher
	dataCentreOrder *dataCentreOrder

	callerServer, announceServer, adminServer *http.Server
}

// New opens the listeners and creates the components; Run starts them. The settings
// must have been validated and have their defaults set, as by LoadSettings.
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
	clientTLS, err := keys.FleetClientConfig(s.FleetTLS)
	if err != nil {
		r.closeListeners()
		return nil, err
	}
	r.dialer = rpc.NewDialer(clientTLS)
	r.dialer.Traffic = &r.fleetTraffic
	r.assembleFleet()
	r.assembleServers()
	r.registerMetrics()
	return r, nil
}

// registerMetrics registers gauges for the revision in force and for the bytes of
// control traffic.
func (r *Router) registerMetrics() {
	revision := func() config.Revision { return r.heartbeatState().InForce }
	r.metrics.Gauge("config.epoch", func() int64 { return int64(revision().Epoch) })
	r.metrics.Gauge("config.revision", func() int64 { return int64(revision().Number) })
	r.metrics.Gauge("control.bytes.fleet_in", r.fleetTraffic.BytesReceived)
	r.metrics.Gauge("control.bytes.fleet_out", r.fleetTraffic.BytesSent)
	r.metrics.Gauge("control.bytes.announce_in", r.announceTraffic.BytesReceived)
	r.metrics.Gauge("control.bytes.announce_out", r.announceTraffic.BytesSent)
}

func (r *Router) listen() error {
	for _, l := range []struct {
		listener  *net.Listener
		address   string
		tls       settings.TLS
		tlsConfig func(settings.TLS) (*tls.Config, error)
		traffic   *rpc.Traffic
	}{
		{&r.callers, r.settings.Listen.Callers, r.settings.CallersTLS, callersTLS, nil},
		{&r.announce, r.settings.Listen.Announce, r.settings.AnnounceTLS, callersTLS, &r.announceTraffic},
		{&r.fleet, r.settings.Listen.Fleet, r.settings.FleetTLS, keys.FleetServerConfig, &r.fleetTraffic},
		{&r.admin, r.settings.Listen.Admin, settings.TLS{}, keys.FleetServerConfig, nil},
	} {
		conf, err := l.tlsConfig(l.tls)
		if err != nil {
			return err
		}
		if *l.listener, err = rpc.ListenCounted(l.address, conf, l.traffic); err != nil {
			return err
		}
	}
	if r.settings.FleetAddress == "" {
		r.settings.FleetAddress = r.fleet.Addr().String()
	}
	return nil
}

// callersTLS returns a TLS configuration that negotiates HTTP/1.1 only. The dispatcher
// signals a truncated response by closing the connection, which with HTTP/2 would also
// abort the other requests that share the connection.
func callersTLS(t settings.TLS) (*tls.Config, error) {
	conf, err := keys.ExternalServerConfig(t)
	if conf == nil || err != nil {
		return nil, err
	}
	getConfig := conf.GetConfigForClient
	conf.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		c, err := getConfig(h)
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

// assembleFleet creates the components that communicate with other processes of the
// fleet.
func (r *Router) assembleFleet() {
	s := r.settings
	r.relay = distribution.NewRelay(0)
	sources, fallback := s.Relays, s.Control
	if len(sources) == 0 {
		sources, fallback = s.Control, nil
	}
	r.watcher = distribution.NewWatcher(distribution.Options{
		Node: s.Name, Sources: sources, FallbackSources: fallback, Dialer: r.dialer, DataDir: s.DataDir,
		IsolationBound: s.IsolationBound.AsDuration(), Relay: r.relay, Log: r.log.Named("config"),
	})
	r.heartbeats = membership.NewSender(membership.Options{
		Name: s.Name, Role: roleRouter, DataCentre: s.DataCentre, Address: s.FleetAddress,
		ControlAddresses: s.Control, Dialer: r.dialer, State: r.heartbeatState, Log: r.log.Named("heartbeat"),
	})
	r.grantorServer = grantor.NewServer(grantor.ServerOptions{
		Name: s.Name, Incarnation: r.heartbeats.Incarnation(), DataCentre: s.DataCentre, Address: s.FleetAddress,
		Config: r.watcher.Current, Dialer: r.dialer, Log: r.log.Named("grantor"),
	})
	r.grantorClient = grantor.NewClient(grantor.ClientOptions{
		Name: s.Name, Incarnation: r.heartbeats.Incarnation(),
		Config: r.watcher.Current, Dialer: r.dialer, Log: r.log.Named("permits"),
	})
	r.claims = claims.New(claims.Options{
		Addresses: s.Control, Group: claims.DRPCGroup{Dialer: r.dialer}, Log: r.log.Named("claims"), Metrics: r.metrics,
	})
	r.dataCentreOrder = &dataCentreOrder{dataCentre: s.DataCentre, isolated: r.watcher.Isolated}
	r.watcher.Subscribe(r.dataCentreOrder.observe)
}

// assembleServers creates the dispatcher and the HTTP servers for clients,
// announcements of backend servers, and the platform's health and readiness checks.
func (r *Router) assembleServers() {
	s := r.settings
	r.dispatcher = dispatch.New(dispatch.Options{
		RouterName: s.Name, Config: r.watcher.Current, DataCentreOrder: r.dataCentreOrder.dataCentres,
		Permits: permitClient{r.grantorClient}, Claims: r.claims, Log: r.log.Named("dispatch"), Metrics: r.metrics,
		Limits: dispatch.Limits{BodyTimeout: s.Limits.BodyTime.AsDuration(), ClientWriteTimeout: s.Limits.StallTime.AsDuration(), TotalBodyBytes: s.Limits.BodyBytes},
	})
	r.callerServer = r.httpServer(r.dispatcher)
	r.announceServer = r.httpServer(registry.NewHandler(registry.Options{
		Config: r.watcher.Current, Announce: r.grantorClient.Announce, Log: r.log.Named("registry"),
	}))
	r.announceServer.ReadTimeout = announceReadTimeout
	r.adminServer = r.httpServer(telemetry.AdminHandler(r.metrics, r.ready))
}

func (r *Router) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: r.settings.Limits.HeaderTime.AsDuration(),
		MaxHeaderBytes:    r.settings.Limits.HeaderBytes,
		IdleTimeout:       r.settings.Limits.IdleTime.AsDuration(),
		ErrorLog:          r.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		// Pass "OPTIONS *" to the handler, which answers it like any other unknown route.
		DisableGeneralOptionsHandler: true,
		TLSNextProto:                 map[string]func(*http.Server, *tls.Conn, http.Handler){},
	}
}

// heartbeatState returns the state of this router to report in heartbeats.
func (r *Router) heartbeatState() membership.State {
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
	if err := grantpb.DRPCRegisterGrantor(mux, r.grantorServer); err != nil {
		return err
	}
	if err := grantpb.DRPCRegisterLeaseVoter(mux, r.grantorServer); err != nil {
		return err
	}
	guarded := keys.RequireRole(mux, keys.FleetRoles, r.settings.FleetTLS.Enabled())
	g.Go(func() error { return rpc.Serve(ctx, r.fleet, guarded) })
	g.Go(func() error { return r.watcher.Run(ctx) })
	g.Go(func() error { return r.heartbeats.Run(ctx) })
	g.Go(func() error { return r.claims.Run(ctx) })
	g.Go(func() error { return r.grantorClient.Run(ctx) })
	g.Go(func() error { return r.watchReadiness(ctx) })
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{r.callerServer, r.callers}, {r.announceServer, r.announce}, {r.adminServer, r.admin}} {
		g.Go(func() error { return drain.Serve(s.server, s.listener) })
	}
	return nil
}

// watchReadiness updates the readiness from the configuration and from the connections
// to grantors. Once a grantor has been reached, losing it does not make the router
// unready: the router can still use other data centres, and otherwise all routers of
// the data centre would become unready at the same time.
func (r *Router) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		r.ready.SetReason(reasonConfiguration, r.watcher.Current() == nil || !r.watcher.Ready())
		if r.anyGrantorConnected() {
			r.ready.SetReason(reasonGrantor, false)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Router) anyGrantorConnected() bool {
	set := r.watcher.Current()
	if set == nil {
		return false
	}
	for name := range set.DataCentres {
		if r.grantorClient.Connected(name) {
			return true
		}
	}
	return false
}
