package directory

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/storage"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Reasons for which a directory process is not ready.
const (
	reasonNoLeader = "no leader of the directory is known"
	reasonStopping = "the process is stopping"
)

// Process is one directory process.
type Process struct {
	conf    *Settings
	log     hclog.Logger
	store   *storage.Store
	group   *replication.Group
	machine *publication.Machine
	hub     *hub
	server  *server
	dialer  *rpc.Dialer
	metrics *telemetry.Registry
	ready   *telemetry.Readiness

	operations, fleet, admin net.Listener
	// own is where the fleet's own processes reach this one.
	own string
}

// Open opens the data folder, restores the state and takes the addresses.
func Open(fs vfs.FS, conf *Settings, log hclog.Logger) (*Process, error) {
	p := &Process{
		conf: conf, log: log, machine: publication.New(), dialer: rpc.NewFleetDialer(),
		metrics: telemetry.NewRegistry(), ready: telemetry.NewReadiness(reasonNoLeader),
	}
	if err := p.open(fs); err != nil {
		return nil, errors.CombineErrors(err, p.close())
	}
	return p, nil
}

func (p *Process) open(fs vfs.FS) error {
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{{&p.operations, p.conf.Operations}, {&p.fleet, p.conf.Fleet}} {
		var err error
		if *l.to, err = rpc.Listen(l.address, nil); err != nil {
			return err
		}
	}
	p.admin = telemetry.ListenAdmin(p.conf.Admin, p.log)
	p.own = p.fleet.Addr().String()
	if p.conf.FleetAddress != "" {
		p.own = p.conf.FleetAddress
	}
	own := p.own
	seeds := p.fleetAddresses(p.conf.Seeds)
	store, restored, err := storage.Open(fs, p.conf.Data, own)
	if err != nil {
		return err
	}
	p.store = store
	var declared []*pb.Voter
	for _, a := range seeds {
		declared = append(declared, &pb.Voter{Id: a, Address: a})
	}
	config := replication.DefaultConfig(own, store.Disk())
	config.ElectionTimeout, config.Heartbeat, config.FirstElection = electionTimeout, heartbeat, firstElection
	config.ConfirmTime = confirmTime
	p.group, err = replication.NewGroup(replication.Options{
		Config: config, Address: own, Storage: store, Restored: restored,
		Machine: p.machine, Dialer: p.dialer, Log: p.log.Named("replication"), Declared: declared,
		SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		return err
	}
	p.assemble(own, seeds)
	return nil
}

const (
	// electionTimeout is how long voters wait for a leader that is silent. It covers
	// a few heartbeats on a VM that stands still for a tenth of a second at a time.
	electionTimeout = 500 * time.Millisecond
	heartbeat       = 100 * time.Millisecond
	// firstElection is the wait of a voter that has just started. A live leader is
	// not disturbed by it, since voters stay with a leader that they hear.
	firstElection = 150 * time.Millisecond
	// confirmTime is the wait for voters that do not come back. Disks here are lost
	// as a whole, which shows, so a short one serves.
	confirmTime = 800 * time.Millisecond
)

// snapshotBytes bounds the log between snapshots, for processes with little
// memory: some hundred configurations of a few kilobytes.
const snapshotBytes = 1 << 20

func (p *Process) assemble(own string, seeds []string) {
	r := &roster{
		id: own, address: own, disk: p.store.Disk(), group: p.group, dialer: p.dialer, log: p.log.Named("roster"),
		now: time.Now, seeds: seeds, candidates: map[string]candidate{},
	}
	p.server = &server{group: p.group, machine: p.machine, roster: r, dialer: p.dialer, log: p.log}
	p.hub = newHub(p.log.Named("servers"), p.machine, p.spread)
	p.server.hub = p.hub
	p.hub.places.propose = p.assign
	p.machine.Changed = func(*publication.State) { p.hub.post(context.Background(), p.hub.stateChanged) }
	p.server.confirms = newConfirmer(p.server.barrier)
	p.metrics.Gauge("directory.revision", func() int64 { return int64(p.machine.State().Revision) })
	p.metrics.Gauge("directory.term", func() int64 { return int64(p.group.Status().Term) })
	p.metrics.Gauge("directory.voters", func() int64 { return int64(len(p.group.Status().Voters.GetVoters())) })
}

// spread passes announcements to the directory process at the address, or to all
// others if it is empty, so that routers learn them even if this process stops.
func (p *Process) spread(to string, news []*fleetpb.Announcement) <-chan struct{} {
	addresses := []string{to}
	if to == "" {
		addresses = slices.DeleteFunc(p.roster().members(), func(a string) bool { return a == p.own })
	}
	passed := newPassed(len(addresses))
	for _, a := range addresses {
		go func() {
			known := false
			defer func() { passed.answered(known) }()
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			conn := p.dialer.Conn(ctx, a)
			defer conn.Close()
			if _, err := fleetpb.NewDRPCDirectoryClient(conn).Spread(ctx, &fleetpb.SpreadRequest{Announcements: news}); err != nil {
				p.log.Debug("announcements not passed on", "address", a, "error", err)
				return
			}
			known = true
		}()
	}
	return passed.done
}

// Run serves until ctx ends or the disk fails. handler answers the operations
// address.
func (p *Process) Run(ctx context.Context, handler http.Handler) error {
	mux := drpcmux.New()
	err := errors.CombineErrors(fleetpb.DRPCRegisterDirectory(mux, p.server), pb.DRPCRegisterPeer(mux, p.group.PeerServer(nil)))
	if err != nil {
		return errors.CombineErrors(err, p.close())
	}
	p.log.Info("listening", "name", p.conf.Name, "data-centre", p.conf.DataCentre, "operations", p.conf.Operations,
		"fleet", p.own, "disk", p.store.Disk(), "founding", p.conf.Founding, "revision", p.machine.State().Revision)
	asked := ctx
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	operations := &http.Server{Handler: handler, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout, IdleTimeout: operationsIdle}
	admin := &http.Server{Handler: telemetry.AdminHandler(p.metrics, p.ready), ReadHeaderTimeout: adminTimeout}
	g.Go(func() error {
		select {
		case <-asked.Done():
			p.ready.Set(reasonStopping, true)
			hctx, cancel := context.WithTimeout(ctx, handOverTime)
			defer cancel()
			p.group.HandOver(hctx)
			stop()
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(func() error { return ignoreEnd(ctx, p.group.Run(ctx)) })
	g.Go(func() error { return ignoreEnd(ctx, p.group.Form(ctx)) })
	g.Go(func() error { return p.hub.run(ctx) })
	g.Go(func() error { return p.server.confirms.run(ctx) })
	g.Go(func() error { return p.roster().run(ctx) })
	g.Go(func() error { return p.watch(ctx) })
	g.Go(func() error { return ignoreEnd(ctx, rpc.Serve(ctx, p.fleet, mux)) })
	g.Go(func() error { return ignoreEnd(ctx, operations.Serve(p.operations)) })
	if p.admin != nil {
		g.Go(func() error { return ignoreEnd(ctx, admin.Serve(p.admin)) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return errors.CombineErrors(operations.Close(), admin.Close())
	})
	err = g.Wait()
	p.log.Info("stopped", "name", p.conf.Name, "error", err)
	return errors.CombineErrors(err, p.close())
}

// watchInterval is how often the hub looks at the group's members and leader.
const watchInterval = 100 * time.Millisecond

// watch tells the hub of other members, and of leaders found or lost. It gives
// leadership up while this process is slow.
func (p *Process) watch(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	own := &lateness{interval: watchInterval}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s := p.group.Status()
		if own.tick(time.Now(), s.Leading) {
			hctx, cancel := context.WithTimeout(ctx, handOverTime)
			p.group.HandOver(hctx)
			cancel()
			p.log.Warn("leadership given up", "because", "this process is slow", "late", own.average, "leading", p.group.Status().Leading)
		}
		p.ready.Set(reasonNoLeader, s.Leader == "")
		// A process's id is its address.
		members, leader, leading := p.roster().members(), s.Leader, s.Leading
		p.hub.post(ctx, func() {
			p.hub.groupChanged(members, leader)
			p.hub.lead(leading)
		})
	}
}

func (p *Process) roster() *roster { return p.server.roster }

// fleetAddresses returns where the seeds answer the fleet's own processes, which
// all listen on the port of the own address.
func (p *Process) fleetAddresses(seeds []string) []string {
	_, port, err := net.SplitHostPort(p.own)
	if err != nil {
		p.log.Error("the own fleet address has no port; no seed can be reached", "address", p.own, "error", err)
	}
	return rpc.OnPort(seeds, port)
}

// SetSeeds takes new seeds in, as the settings change.
func (p *Process) SetSeeds(seeds []string) {
	p.roster().setSeeds(p.fleetAddresses(seeds))
	p.log.Info("seeds changed", "seeds", seeds)
}

func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (p *Process) close() error {
	_ = p.dialer.Close()
	for _, l := range []net.Listener{p.operations, p.fleet, p.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
	if p.store == nil {
		return nil
	}
	return p.store.Close()
}
