package directory

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
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/callerconn"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/storage"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Reasons why a directory process is not ready.
const (
	reasonNoLeader = "no directory leader is known"
	reasonStopping = "the process is stopping"
)

// Process is one directory process.
type Process struct {
	conf      *Settings
	log       hclog.Logger
	store     *storage.Store
	group     *replication.Group
	machine   *publication.Machine
	hub       *hub
	server    *server
	dialer    *rpc.Dialer
	metrics   *telemetry.Registry
	readiness *telemetry.Readiness

	operations, fleet, admin net.Listener
	// setAside is the number of damaged contents that the data folder keeps.
	setAside int
	// ownAddress is the address at which other processes of the fleet reach this one.
	ownAddress string
	pauses     pauseDetector
}

// Open opens the data folder, restores the state and binds the listen addresses.
func Open(fs vfs.FS, conf *Settings, log hclog.Logger) (*Process, error) {
	p := &Process{
		conf: conf, log: log, machine: publication.New(), dialer: rpc.NewFleetDialer(),
		metrics: telemetry.NewRegistry(), readiness: telemetry.NewReadiness(reasonNoLeader),
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
	p.ownAddress = p.fleet.Addr().String()
	if p.conf.FleetAddress != "" {
		p.ownAddress = p.conf.FleetAddress
	}
	ownAddress := p.ownAddress
	seeds := p.fleetAddresses(p.conf.Seeds)
	store, restored, err := storage.OpenLogged(fs, p.conf.Data, ownAddress, p.log)
	if err != nil {
		return err
	}
	p.store = store
	if p.setAside, err = storage.CountSetAside(fs, p.conf.Data); err != nil {
		return err
	}
	var declared []*pb.Voter
	for _, a := range seeds {
		declared = append(declared, &pb.Voter{Id: a, Address: a})
	}
	config := replication.DefaultConfig(ownAddress, store.DiskID())
	config.ElectionTimeout, config.HeartbeatInterval, config.FirstElectionTimeout = electionTimeout, heartbeatInterval, firstElectionTimeout
	config.ConfirmTimeout, config.QuorumTimeout = confirmTimeout, quorumLossTimeout
	p.group, err = replication.NewGroup(replication.Options{
		Config: config, Address: ownAddress, Storage: store, Restored: restored,
		StateMachine: p.machine, Dialer: p.dialer, Log: p.log.Named("replication"), DeclaredVoters: declared,
		SnapshotBytes: snapshotBytes,
	})
	if err != nil {
		return err
	}
	p.assemble(ownAddress, seeds)
	return nil
}

const (
	// electionTimeout is how long voters wait for a silent leader. It covers several
	// heartbeats on a VM that stalls for 100 ms at a time.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// quorumLossTimeout is how long a leader leads that does not hear from a majority. A large
	// configuration occupies the link of a small VM for 0.7 s, so that heartbeats and their
	// answers wait.
	quorumLossTimeout = 3 * electionTimeout
	// firstElectionTimeout replaces electionTimeout in a voter that has just started. It
	// does not disrupt a live leader, since voters keep a leader that they hear from.
	firstElectionTimeout = 150 * time.Millisecond
	// confirmTimeout is how long a started voter waits for all others to confirm its
	// disk before a majority suffices. Disks here are lost as a whole, which is
	// detectable, so a short wait is enough.
	confirmTimeout = 800 * time.Millisecond
)

// snapshotBytes limits the log between snapshots, for processes with little memory.
// This is about a hundred configurations of a few kilobytes.
const snapshotBytes = 1 << 20

func (p *Process) assemble(ownAddress string, seeds []string) {
	manager := &voterManager{
		id: ownAddress, address: ownAddress, disk: p.store.DiskID(), group: p.group, dialer: p.dialer, log: p.log.Named("roster"),
		now: time.Now, seeds: seeds, minVoters: minVoters(p.conf.ToleratedLosses), pendingJoins: map[string]pendingJoin{}, changing: make(chan struct{}, 1),
	}
	p.server = &server{
		process: uuid.NewString(), group: p.group, machine: p.machine, voterManager: manager, dialer: p.dialer, log: p.log,
		evacuations: newEvacuationLocks(),
	}
	p.hub = newHub(p.log.Named("servers"), p.machine, ownAddress, p.conf.DataCentre, p.startPeer)
	p.server.hub = p.hub
	p.hub.propose, p.hub.submit = p.submitter(p.server.proposeLocal), p.submitter(p.server.propose)
	p.hub.rollouts.bounds = p.conf.Rollouts.bounds()
	p.machine.OnChange = func(*publication.State) { p.hub.post(context.Background(), p.hub.stateChanged) }
	p.server.confirmer = newConfirmer(p.server.barrier, func(pings map[*session]uint64, newest publication.Mark, err error) {
		p.hub.post(context.Background(), func() { p.hub.confirmRouters(pings, newest, err) })
	})
	p.metrics.Gauge("directory.revision", func() int64 { return int64(p.machine.State().Revision) })
	p.metrics.Gauge("directory.term", func() int64 { return int64(p.group.Status().Term) })
	p.metrics.Gauge("directory.suspended", func() int64 {
		if p.group.Status().Suspended {
			return 1
		}
		return 0
	})
	p.metrics.Gauge("directory.folders_set_aside", func() int64 { return int64(p.setAside) })
	p.metrics.Gauge("directory.quarantined", func() int64 { return int64(len(p.machine.State().Quarantined)) })
	p.metrics.Gauge("directory.rollouts_running", func() int64 {
		n := int64(0)
		for _, r := range p.machine.State().Rollouts {
			if r.Running() {
				n++
			}
		}
		return n
	})
	p.metrics.Gauge("directory.voters", func() int64 { return int64(len(p.group.Status().Voters.GetVoters())) })
}

// startPeer starts the goroutine that keeps another directory process up to date.
func (p *Process) startPeer(to *peer) {
	ctx, stop := context.WithCancel(context.Background())
	to.stop = stop
	go p.server.updatePeer(ctx, to)
}

// OperationsAddress returns the address that serves operators and backend servers.
func (p *Process) OperationsAddress() string { return p.operations.Addr().String() }

// FleetAddress returns the address that serves routers and other directory processes.
func (p *Process) FleetAddress() string { return p.ownAddress }

// Run serves until ctx ends or the disk fails. handler serves the operations address.
func (p *Process) Run(ctx context.Context, handler http.Handler) error {
	mux := drpcmux.New()
	err := errors.CombineErrors(fleetpb.DRPCRegisterDirectory(mux, p.server), pb.DRPCRegisterPeer(mux, p.group.PeerServer(nil)))
	if err != nil {
		return errors.CombineErrors(err, p.close())
	}
	p.log.Info("listening", "name", p.conf.Name, "data-centre", p.conf.DataCentre, "operations", p.conf.Operations,
		"fleet", p.ownAddress, "disk", p.store.DiskID(), "founding", p.conf.Founding, "revision", p.machine.State().Revision)
	callerCtx := ctx
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	operations := &http.Server{Handler: handler, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout, IdleTimeout: operationsIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: callerconn.Context}
	admin := &http.Server{Handler: telemetry.AdminHandler(p.metrics, p.readiness), ReadHeaderTimeout: adminTimeout, MaxHeaderBytes: maxHeaderBytes}
	g.Go(func() error {
		select {
		case <-callerCtx.Done():
			p.readiness.SetReason(reasonStopping, true)
			hctx, cancel := context.WithTimeout(ctx, handOverTimeout)
			defer cancel()
			p.group.TransferLeadership(hctx)
			p.voterManager().resign(ctx)
			stop()
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(func() error { return ignoreShutdownError(ctx, p.group.Run(ctx)) })
	g.Go(func() error { return ignoreShutdownError(ctx, p.group.Bootstrap(ctx)) })
	g.Go(func() error { return p.hub.run(ctx) })
	g.Go(func() error { return p.server.confirmer.run(ctx) })
	g.Go(func() error { return p.voterManager().run(ctx) })
	g.Go(func() error { return p.watchGroup(ctx) })
	g.Go(func() error { return p.pauses.run(ctx) })
	g.Go(func() error { return ignoreShutdownError(ctx, rpc.Serve(ctx, p.fleet, mux)) })
	g.Go(func() error { return ignoreShutdownError(ctx, operations.Serve(p.operations)) })
	if p.admin != nil {
		g.Go(func() error { return ignoreShutdownError(ctx, admin.Serve(p.admin)) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return errors.CombineErrors(operations.Close(), admin.Close())
	})
	err = g.Wait()
	p.log.Info("stopped", "name", p.conf.Name, "error", err)
	return errors.CombineErrors(err, p.close())
}

// watchInterval is how often the group's members and leader are checked.
const watchInterval = 100 * time.Millisecond

// watchGroup notifies the hub of changes of the members and the leader. It hands over
// leadership while this process is slow.
func (p *Process) watchGroup(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	detector := &slowLeaderDetector{interval: watchInterval}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s := p.group.Status()
		if detector.tick(time.Now(), s.Leading) {
			hctx, cancel := context.WithTimeout(ctx, handOverTimeout)
			p.group.TransferLeadership(hctx)
			cancel()
			p.log.Warn("leadership given up", "because", "this process is slow", "late", detector.averageDelay, "leading", p.group.Status().Leading)
		}
		p.readiness.SetReason(reasonNoLeader, s.Leader == "")
		// A process's id is its address, so s.Leader is the leader's address.
		members, leader, leading := p.voterManager().members(), s.Leader, s.Leading
		p.hub.post(ctx, func() {
			p.hub.groupChanged(members, leader)
			p.hub.setLeading(leading)
		})
	}
}

func (p *Process) voterManager() *voterManager { return p.server.voterManager }

// fleetAddresses returns the seeds' addresses for fleet traffic. All processes use the
// port of ownAddress there.
func (p *Process) fleetAddresses(seeds []string) []string {
	_, port, err := net.SplitHostPort(p.ownAddress)
	if err != nil {
		p.log.Error("own fleet address has no port, so seed addresses cannot be derived", "address", p.ownAddress, "error", err)
	}
	return rpc.WithPort(seeds, port)
}

// SetSeeds replaces the seeds after a change of the settings.
func (p *Process) SetSeeds(seeds []string) {
	p.voterManager().setSeeds(p.fleetAddresses(seeds))
	p.log.Info("seeds changed", "seeds", seeds)
}

func ignoreShutdownError(ctx context.Context, err error) error {
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
