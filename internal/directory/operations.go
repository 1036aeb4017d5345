package directory

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Publish replicates a validated configuration document. It returns once a majority
// has the document, or one with a higher version, on disk.
func (p *Process) Publish(ctx context.Context, version uint64, document []byte) error {
	began := time.Now()
	base := p.machine.State()
	if base.Configuration != nil && version <= base.Version() {
		// What is applied here is committed, so that the change would have no effect. Callers that
		// got no answer send a change again; proposing it would take as much work as a new one.
		p.logChange("configuration received", began, nil, "version", version, "held-version", base.Version(), "bytes", len(document),
			"proposed", false, "revision", base.Revision)
		return nil
	}
	if err := p.checkVersionZero(ctx, base, version); err != nil {
		p.logChange("configuration received", began, err, "version", version, "bytes", len(document))
		return err
	}
	revision, size, err := p.publish(ctx, base, version, document, false)
	full := errkind.Of(err) == errkind.ChangeConflict
	if full {
		revision, size, err = p.publish(ctx, base, version, document, true)
	}
	p.logChange("configuration received", began, err, "version", version, "held-version", base.Version(), "bytes", len(document),
		"packed-bytes", size, "alone", full, "revision", revision)
	return err
}

// checkVersionZero returns an error for a first configuration of version 0 while a process of an earlier release
// would give it no effect.
func (p *Process) checkVersionZero(ctx context.Context, base *publication.State, version uint64) error {
	if version != 0 || base.Configuration != nil {
		return nil
	}
	obstacle := ""
	if err := p.hub.do(ctx, func() { obstacle = p.hub.obstacle(func(f features) bool { return f.versionZero }) }); err != nil {
		return err
	}
	if obstacle != "" {
		return errkind.New(errkind.NotReady, "%s runs a release that drops a configuration of version 0", obstacle).WithRetryAfter(time.Second)
	}
	return nil
}

// publish proposes a document, compressed against the one in base unless full is true.
// It fails with kind change-conflict if another process has replaced the configuration
// of base in the meantime.
func (p *Process) publish(ctx context.Context, base *publication.State, version uint64, document []byte, full bool) (revision uint64, size int, err error) {
	cmd, err := base.PublishCommand(version, document, full)
	if err != nil {
		return 0, 0, err
	}
	revision, err = p.server.propose(ctx, cmd)
	return revision, len(cmd.GetPublish().Document), err
}

// Evacuate takes a data centre's backend servers out of service, or returns them to
// service. It fails if the order might undo a later one of the data centre.
func (p *Process) Evacuate(ctx context.Context, dataCentre string, out bool) error {
	began := time.Now()
	cmd := &fleetpb.Command{Op: &fleetpb.Command_Evacuate{Evacuate: &fleetpb.Evacuate{DataCentre: dataCentre, Out: out}}}
	revision, err := p.order(ctx, cmd)
	p.logChange("evacuation received", began, err, "data-centre", dataCentre, "out", out, "revision", revision)
	return err
}

func (p *Process) logChange(message string, began time.Time, err error, fields ...any) {
	fields = append(fields, "took", time.Since(began).Round(time.Microsecond))
	p.metrics.Histogram("directory.change_us").Update(time.Since(began).Microseconds())
	if err != nil {
		p.metrics.Counter("directory.changes_failed").Inc(1)
		p.log.Warn(message, append(fields, "outcome", errkind.Of(err), "error", err)...)
		return
	}
	p.log.Info(message, append(fields, "outcome", "acknowledged")...)
}

// Configuration returns the document of the latest configuration, as confirmed by a
// quorum after the call. The error has kind not-ready if there is none yet.
func (p *Process) Configuration(ctx context.Context) ([]byte, error) {
	s, err := p.latestState(ctx)
	switch {
	case err != nil:
		return nil, err
	case s.Configuration == nil:
		return nil, errkind.New(errkind.NotReady, "no configuration has been accepted yet")
	}
	return s.Configuration.Document, nil
}

// Announce processes the announcement of a backend server. It returns once the change
// has been sent to the routers that follow this process. If the server is leaving, it returns
// once a majority of the directory processes has recorded that on disk, and waits until so many
// have sent the change to their own routers that each router has it, for at most relayTimeout.
func (p *Process) Announce(ctx context.Context, s inventory.Server) error {
	began := time.Now()
	var relayed *ackCounter
	var recorded <-chan error
	var broadcastDone <-chan struct{}
	var change inventory.Change
	full := false
	err := p.hub.do(ctx, func() {
		overruled := p.hub.table.Overruled(&s)
		change = p.hub.merge(s, true)
		full = change == inventory.Stale && p.hub.table.Full() && p.hub.table.Get(s.ID) == nil
		if d, leaving := s.Departure(); leaving && !overruled {
			recorded = p.hub.recordDeparture(d, change)
		}
		relayed = p.hub.relayed
		if change == inventory.Changed && p.hub.broadcastTimer != nil {
			broadcastDone = p.hub.broadcastDone
		}
	})
	switch {
	case err != nil:
		return err
	case full:
		return errkind.New(errkind.QueueFull, "the table of servers is full: server %q of service %q was not registered", s.ID, s.Service)
	case recorded != nil:
		err := awaitDeparture(ctx, recorded, relayed)
		if change == inventory.Changed || err != nil {
			p.logDeparture("server announced that it leaves", s.ID, s.Born, change, began, relayed, err)
		}
		return err
	case broadcastDone == nil:
		return nil
	}
	select {
	case <-broadcastDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leave processes the departure of a backend server. It waits like Announce does for a
// server that is leaving.
func (p *Process) Leave(ctx context.Context, id string, born int64) error {
	began := time.Now()
	if born == 0 {
		// The server may have left by another process since, and started again.
		if err := p.checkCaller(ctx); err != nil {
			return err
		}
	}
	var relayed *ackCounter
	var recorded <-chan error
	var change inventory.Change
	var refused error
	err := p.hub.do(ctx, func() {
		if refused = p.hub.checkLeave(id, born); refused != nil {
			return
		}
		var d inventory.Departure
		d, change = p.hub.leave(id, born)
		recorded, relayed = p.hub.recordDeparture(d, change), p.hub.relayed
	})
	if err = cmp.Or(err, refused); err != nil {
		return err
	}
	err = awaitDeparture(ctx, recorded, relayed)
	p.logDeparture("server left", id, born, change, began, relayed, err)
	return err
}

// logDeparture logs the answer to a server that leaves: whether the table knew the server, and how
// many processes have the change.
func (p *Process) logDeparture(message, id string, born int64, change inventory.Change, began time.Time, relayed *ackCounter, err error) {
	acked, processes := relayed.counts()
	outcome := "acknowledged"
	if err != nil {
		outcome = string(errkind.Of(err))
	}
	p.log.Info(message, "server", id, "born", born, "change", change.String(), "relayed-to", acked, "processes", processes,
		"took", time.Since(began).Round(time.Microsecond), "outcome", outcome, "error", err)
}

// propose replicates a command, forwarding it if another process leads.
func (s *server) propose(ctx context.Context, cmd *fleetpb.Command) (uint64, error) {
	return s.change(ctx, &fleetpb.ChangeRequest{Command: cmd})
}

// change is propose for a command that may depend on a revision.
func (s *server) change(ctx context.Context, req *fleetpb.ChangeRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	address, leading, err := s.awaitLeader(ctx)
	if err != nil {
		return 0, err
	}
	if leading {
		return s.changeLocal(ctx, req)
	}
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := fleetpb.NewDRPCDirectoryClient(conn).Change(ctx, req)
	if err != nil {
		return 0, rpc.WrapConnectionError(err, errkind.ChangeUnknown, leaderLostMessage)
	}
	return resp.Revision, nil
}

func (s *server) proposeLocal(ctx context.Context, cmd *fleetpb.Command) (uint64, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.BadRequest, "encode the change")
	}
	out, err := s.group.Propose(ctx, data)
	if err != nil {
		return 0, err
	}
	r := out.(publication.Result)
	return r.Revision, r.Err
}

const leaderLostMessage = "the connection to the leader broke before its answer"

// awaitLeader waits for a known leader until ctx ends.
func (s *server) awaitLeader(ctx context.Context) (address string, leading bool, err error) {
	if address, leading, err = s.group.AwaitLeader(ctx); err != nil {
		err = errkind.Wrap(err, errkind.NoQuorum, "the directory has no leader; nothing was accepted")
	}
	return address, leading, err
}

// barrier returns the mark of the latest state committed before the call.
func (s *server) barrier(ctx context.Context) (publication.Mark, error) {
	address, leading, err := s.awaitLeader(ctx)
	if err != nil {
		return publication.Mark{}, err
	}
	if leading {
		return s.barrierLocal(ctx)
	}
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := fleetpb.NewDRPCDirectoryClient(conn).Barrier(ctx, &fleetpb.BarrierRequest{})
	if err != nil {
		return publication.Mark{}, rpc.WrapConnectionError(err, errkind.NoQuorum, leaderLostMessage)
	}
	return publication.Mark{Revision: resp.Revision, Sum: resp.Sum}, nil
}

func (s *server) barrierLocal(ctx context.Context) (publication.Mark, error) {
	if err := s.group.ReadBarrier(ctx); err != nil {
		return publication.Mark{}, err
	}
	return s.machine.Mark(), nil
}
