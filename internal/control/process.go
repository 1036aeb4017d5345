package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
	"github.com/kumquathollow/kumquathollow/internal/keys"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/storage"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

const (
	// confirmInterval is how often a process asks the leader whether its configuration
	// is still the newest.
	confirmInterval = time.Second
	// defaultTransferTimeout limits the transfer of leadership at shutdown.
	defaultTransferTimeout = 500 * time.Millisecond
	// adminHeaderTimeout limits reading the headers of a request on the admin address.
	adminHeaderTimeout = 5 * time.Second
)

// Process is one control process.
type Process struct {
	conf         *Settings
	fs           vfs.FS
	log          hclog.Logger
	store        *storage.Store
	group        *replication.Group
	stateMachine *stateMachine
	server       *Server
	dialer       *rpc.Dialer
	listener     net.Listener
	admin        net.Listener
	metrics      *telemetry.Registry
	readiness    *telemetry.Readiness
	incarnation  string

	transferTimeout time.Duration
}

// Options are the optional parameters of Open. The zero value is used in production.
type Options struct {
	// FleetListener and AdminListener, if set, are used instead of listening on the
	// addresses in the settings.
	FleetListener, AdminListener net.Listener
	// Check replaces CheckSet.
	Check Checker
	// TransferTimeout limits the transfer of leadership at shutdown. 0 means half a
	// second; with a negative value the process stops without a transfer, as in a crash.
	TransferTimeout time.Duration
	// ConfigureReplication, if set, modifies the options of the replication group.
	ConfigureReplication func(*replication.Options)
}

// Open opens the data folder on fs, restores the state and binds the listen addresses.
func Open(fs vfs.FS, conf *Settings, log hclog.Logger, opt Options) (*Process, error) {
	p := &Process{conf: conf, fs: fs, log: log, metrics: telemetry.NewRegistry(), readiness: telemetry.NewReadiness(reasonNoLeader), incarnation: uuid.NewString()}
	p.stateMachine = &stateMachine{state: NewState(), relay: distribution.NewRelay(0), check: CheckSet, log: log}
	if opt.Check != nil {
		p.stateMachine.check = opt.Check
	}
	p.listener, p.admin, p.transferTimeout = opt.FleetListener, opt.AdminListener, opt.TransferTimeout
	if p.transferTimeout == 0 {
		p.transferTimeout = defaultTransferTimeout
	}
	if err := p.openNetwork(); err != nil {
		return nil, errors.CombineErrors(err, p.close())
	}
	if err := p.openGroup(opt); err != nil {
		return nil, errors.CombineErrors(err, p.close())
	}
	p.server = &Server{group: p.group, stateMachine: p.stateMachine, nodes: newNodeTable(), dialer: p.dialer, log: log, metrics: p.metrics, now: time.Now}
	p.registerMetrics()
	return p, nil
}

func (p *Process) openNetwork() error {
	client, err := keys.FleetClientConfig(p.conf.TLS)
	if err != nil {
		return err
	}
	server, err := keys.FleetServerConfig(p.conf.TLS)
	if err != nil {
		return err
	}
	p.dialer = rpc.NewDialer(client)
	if p.listener == nil {
		if p.listener, err = rpc.Listen(p.conf.Address, server); err != nil {
			return err
		}
	}
	if p.admin == nil {
		p.admin, err = rpc.Listen(p.conf.Admin, nil)
	}
	return err
}

func (p *Process) openGroup(opt Options) error {
	store, restored, err := storage.OpenLogged(p.fs, p.conf.Data, p.conf.Node, p.log)
	if err != nil {
		return err
	}
	p.store = store
	o := replication.Options{
		Config: replication.DefaultConfig(p.conf.Node, store.DiskID()), Address: p.listener.Addr().String(),
		Storage: store, Restored: restored, StateMachine: p.stateMachine, Dialer: p.dialer,
		Log: p.log.Named("replication"), DeclaredVoters: p.conf.declaredVoters(),
	}
	if opt.ConfigureReplication != nil {
		opt.ConfigureReplication(&o)
	}
	p.group, err = replication.NewGroup(o)
	return err
}

// Addr returns the fleet address in use.
func (p *Process) Addr() string { return p.listener.Addr().String() }

// Run serves until ctx is cancelled or the disk fails.
func (p *Process) Run(ctx context.Context) error {
	handler, err := p.handler()
	if err != nil {
		return errors.CombineErrors(err, p.close())
	}
	p.log.Info("listening", "process", "kqcontrol", "node", p.conf.Node, "address", p.Addr(), "admin", p.admin.Addr().String(), "disk", p.store.DiskID())
	parent := ctx
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		select {
		case <-parent.Done():
			p.transferLeadership(ctx)
			stop()
		case <-ctx.Done():
		}
		return nil
	})
	admin := &http.Server{Handler: telemetry.AdminHandler(p.metrics, p.readiness), ReadHeaderTimeout: adminHeaderTimeout}
	g.Go(func() error { return ignoreAfterCancel(ctx, p.group.Run(ctx)) })
	g.Go(func() error { return ignoreAfterCancel(ctx, p.group.Bootstrap(ctx)) })
	g.Go(func() error { return ignoreAfterCancel(ctx, rpc.Serve(ctx, p.listener, handler)) })
	g.Go(func() error { return ignoreAfterCancel(ctx, admin.Serve(p.admin)) })
	g.Go(func() error { return p.confirmPeriodically(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return admin.Close()
	})
	err = g.Wait()
	return errors.CombineErrors(err, p.close())
}

// transferLeadership marks the process as not ready and transfers leadership before the
// process stops, so that the group need not wait for an election timeout.
func (p *Process) transferLeadership(ctx context.Context) {
	p.readiness.SetReason(reasonStopping, true)
	ctx, cancel := context.WithTimeout(ctx, p.transferTimeout)
	defer cancel()
	p.group.TransferLeadership(ctx)
	p.log.Info("stopping", "node", p.conf.Node, "leading", p.group.Status().Leading)
}

// ignoreAfterCancel returns nil once ctx is cancelled, since the errors are then a
// consequence of the cancellation.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (p *Process) close() error {
	if p.dialer != nil {
		_ = p.dialer.Close()
	}
	for _, l := range []net.Listener{p.listener, p.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
	if p.store == nil {
		return nil
	}
	return p.store.Close()
}

func (p *Process) handler() (drpc.Handler, error) {
	mux := drpcmux.New()
	err := errors.CombineErrors(controlpb.DRPCRegisterControl(mux, p.server), controlpb.DRPCRegisterDistribution(mux, p.stateMachine.relay))
	err = errors.CombineErrors(err, pb.DRPCRegisterPeer(mux, p.group.PeerServer(nil)))
	err = errors.CombineErrors(err, pb.DRPCRegisterForward(mux, forwardServer{p.server}))
	return keys.RequireRole(mux, keys.FleetRoles, p.conf.TLS.Enabled()), err
}

// Reasons why a control process is not ready.
const (
	reasonStopping    = "the process is stopping"
	reasonNoLeader    = "no leader of the control group is known"
	reasonQuarantined = "this voter is quarantined: its disk holds less than it acknowledged"
	reasonCheckFailed = "the newest configuration failed its check and is not distributed"
	reasonUnconfirmed = "no quorum confirmed which configuration is the newest"
)

// confirmPeriodically asks the leader at each confirmInterval whether this process
// distributes the newest configuration, and updates readiness.
func (p *Process) confirmPeriodically(ctx context.Context) error {
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	for {
		p.confirmOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (p *Process) confirmOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*confirmInterval)
	defer cancel()
	g := p.group.Status()
	if !g.Leading {
		p.server.nodes.clear()
	}
	p.readiness.SetReason(reasonNoLeader, g.Leader == "")
	p.readiness.SetReason(reasonQuarantined, g.Quarantined)
	p.readiness.SetReason(reasonCheckFailed, p.stateMachine.checkFailed.Load())
	local := p.stateMachine.state.Revision()
	askedAt := time.Now()
	resp, err := p.server.Heartbeat(ctx, &controlpb.HeartbeatRequest{Node: &controlpb.NodeStatus{
		Name: p.conf.Node, Role: keys.RoleControl, DataCentre: p.conf.DataCentre, Incarnation: p.incarnation,
		InForce: local.ToProto(), Ready: p.readiness.Ready(), Address: p.Addr(),
	}})
	isNewest := err == nil && resp.Newest.Epoch == local.Epoch && resp.Newest.Number == local.Number
	p.readiness.SetReason(reasonUnconfirmed, err != nil)
	if isNewest {
		p.stateMachine.relay.Confirm(askedAt)
	}
}

func (p *Process) registerMetrics() {
	status := func(f func(*replication.Status) int64) func() int64 {
		return func() int64 { return f(p.group.Status()) }
	}
	p.metrics.Gauge("control.term", status(func(s *replication.Status) int64 { return int64(s.Term) }))
	p.metrics.Gauge("control.commit_index", status(func(s *replication.Status) int64 { return int64(s.Commit) }))
	p.metrics.Gauge("control.log_bytes", status(func(s *replication.Status) int64 { return int64(s.LogBytes) }))
	p.metrics.Gauge("control.leading", status(func(s *replication.Status) int64 { return boolGauge(s.Leading) }))
	p.metrics.Gauge("control.quarantined", status(func(s *replication.Status) int64 { return boolGauge(s.Quarantined) }))
	p.metrics.Gauge("control.applied_index", func() int64 { return int64(p.group.AppliedIndex()) })
	p.metrics.Gauge("control.claims", func() int64 { return int64(p.stateMachine.state.ClaimCount()) })
	p.metrics.Gauge("control.revision", func() int64 { return int64(p.stateMachine.state.Revision().Number) })
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
