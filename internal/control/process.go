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
	// confirmInterval is how often a process asks whether its configuration is
	// still the newest.
	confirmInterval = time.Second
	// defaultHandOver bounds giving leadership away at the end.
	defaultHandOver = 500 * time.Millisecond
	// adminTimeout bounds reading a request on the admin address.
	adminTimeout = 5 * time.Second
)

// Process is one control process.
type Process struct {
	conf        *Settings
	fs          vfs.FS
	log         hclog.Logger
	store       *storage.Store
	group       *replication.Group
	machine     *machine
	server      *Server
	dialer      *rpc.Dialer
	listener    net.Listener
	admin       net.Listener
	metrics     *telemetry.Registry
	ready       *telemetry.Readiness
	incarnation string

	handOverTime time.Duration
}

// Options change how a process runs; the zero value is production's.
type Options struct {
	// Fleet and Admin are listeners to use in place of the settings' addresses.
	Fleet, Admin net.Listener
	// Check replaces CheckSet.
	Check Checker
	// HandOver bounds giving leadership away at the end; 0 means half a second, and
	// a negative time ends at once, as a crash does.
	HandOver time.Duration
	// Replication may change the options of the group.
	Replication func(*replication.Options)
}

// Open opens the data folder on fs, restores the state and takes the addresses.
func Open(fs vfs.FS, conf *Settings, log hclog.Logger, opt Options) (*Process, error) {
	p := &Process{conf: conf, fs: fs, log: log, metrics: telemetry.NewRegistry(), ready: telemetry.NewReadiness(noLeader), incarnation: uuid.NewString()}
	p.machine = &machine{state: NewState(), relay: distribution.NewRelay(0), check: CheckSet, log: log}
	if opt.Check != nil {
		p.machine.check = opt.Check
	}
	p.listener, p.admin, p.handOverTime = opt.Fleet, opt.Admin, opt.HandOver
	if p.handOverTime == 0 {
		p.handOverTime = defaultHandOver
	}
	if err := p.openNetwork(); err != nil {
		return nil, errors.CombineErrors(err, p.close())
	}
	if err := p.openGroup(opt); err != nil {
		return nil, errors.CombineErrors(err, p.close())
	}
	p.server = &Server{group: p.group, machine: p.machine, nodes: newNodes(), dialer: p.dialer, log: log, metrics: p.metrics, now: time.Now}
	p.registerMetrics()
	return p, nil
}

func (p *Process) openNetwork() error {
	client, err := keys.ClientConfig(p.conf.TLS)
	if err != nil {
		return err
	}
	server, err := keys.ServerConfig(p.conf.TLS)
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
	store, restored, err := storage.Open(p.fs, p.conf.Data, p.conf.Node)
	if err != nil {
		return err
	}
	p.store = store
	o := replication.Options{
		Config: replication.DefaultConfig(p.conf.Node, store.Disk()), Address: p.listener.Addr().String(),
		Storage: store, Restored: restored, Machine: p.machine, Dialer: p.dialer,
		Log: p.log.Named("replication"), Declared: p.conf.declared(),
	}
	if opt.Replication != nil {
		opt.Replication(&o)
	}
	p.group, err = replication.NewGroup(o)
	return err
}

// Addr returns the fleet address in use.
func (p *Process) Addr() string { return p.listener.Addr().String() }

// Run serves until ctx ends, or the disk fails.
func (p *Process) Run(ctx context.Context) error {
	handler, err := p.handler()
	if err != nil {
		return errors.CombineErrors(err, p.close())
	}
	p.log.Info("listening", "process", "kqcontrol", "node", p.conf.Node, "address", p.Addr(), "admin", p.admin.Addr().String(), "disk", p.store.Disk())
	asked := ctx
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		select {
		case <-asked.Done():
			p.handOver(ctx)
			stop()
		case <-ctx.Done():
		}
		return nil
	})
	admin := &http.Server{Handler: telemetry.AdminHandler(p.metrics, p.ready), ReadHeaderTimeout: adminTimeout}
	g.Go(func() error { return ignoreEnd(ctx, p.group.Run(ctx)) })
	g.Go(func() error { return ignoreEnd(ctx, p.group.Form(ctx)) })
	g.Go(func() error { return ignoreEnd(ctx, rpc.Serve(ctx, p.listener, handler)) })
	g.Go(func() error { return ignoreEnd(ctx, admin.Serve(p.admin)) })
	g.Go(func() error { return p.confirm(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return admin.Close()
	})
	err = g.Wait()
	return errors.CombineErrors(err, p.close())
}

// handOver makes the process unready and gives leadership away before it stops,
// so that the group does not wait for an election.
func (p *Process) handOver(ctx context.Context) {
	p.ready.Set(stopping, true)
	ctx, cancel := context.WithTimeout(ctx, p.handOverTime)
	defer cancel()
	p.group.HandOver(ctx)
	p.log.Info("stopping", "node", p.conf.Node, "leading", p.group.Status().Leading)
}

// ignoreEnd drops the errors that the end of ctx causes.
func ignoreEnd(ctx context.Context, err error) error {
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
	err := errors.CombineErrors(controlpb.DRPCRegisterControl(mux, p.server), controlpb.DRPCRegisterDistribution(mux, p.machine.relay))
	err = errors.CombineErrors(err, pb.DRPCRegisterPeer(mux, p.group.PeerServer(nil)))
	err = errors.CombineErrors(err, pb.DRPCRegisterForward(mux, forwarded{p.server}))
	return keys.Guard(mux, keys.FleetRoles, p.conf.TLS.Enabled()), err
}

// Reasons for which a control process is not ready.
const (
	stopping    = "the process is stopping"
	noLeader    = "no leader of the control group is known"
	wrongDisk   = "this disk is older than its promises"
	unsoundSet  = "the set in force fails its check"
	unconfirmed = "the newest configuration is not confirmed"
)

// confirm asks regularly whether what this process distributes is the newest,
// and keeps readiness up to date.
func (p *Process) confirm(ctx context.Context) error {
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
	p.ready.Set(noLeader, g.Leader == "")
	p.ready.Set(wrongDisk, g.Quarantined)
	p.ready.Set(unsoundSet, p.machine.unsound.Load())
	mine := p.machine.state.Revision()
	asked := time.Now()
	resp, err := p.server.Heartbeat(ctx, &controlpb.HeartbeatRequest{Node: &controlpb.NodeStatus{
		Name: p.conf.Node, Role: keys.RoleControl, DataCentre: p.conf.DataCentre, Incarnation: p.incarnation,
		InForce: mine.PB(), Ready: p.ready.Ready(), Address: p.Addr(),
	}})
	fresh := err == nil && resp.Newest.Epoch == mine.Epoch && resp.Newest.Number == mine.Number
	p.ready.Set(unconfirmed, err != nil)
	if fresh {
		p.machine.relay.Confirm(asked)
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
	p.metrics.Gauge("control.applied_index", func() int64 { return int64(p.group.Applied()) })
	p.metrics.Gauge("control.claims", func() int64 { return int64(p.machine.state.Claims()) })
	p.metrics.Gauge("control.revision", func() int64 { return int64(p.machine.state.Revision().Number) })
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
