package directory

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Publish replicates a checked configuration document. It returns once a
// majority holds it on disk, or a higher version.
func (p *Process) Publish(ctx context.Context, version uint64, document []byte) error {
	began := time.Now()
	held := p.machine.State()
	revision, size, err := p.publish(ctx, held, version, document, false)
	alone := errkind.Of(err) == errkind.ChangeConflict
	if alone {
		revision, size, err = p.publish(ctx, held, version, document, true)
	}
	p.told("configuration received", began, err, "version", version, "held-version", held.Version(), "bytes", len(document),
		"packed-bytes", size, "alone", alone, "revision", revision)
	return err
}

// publish proposes a document relative to the one held, or alone. Another
// process may have changed the one in force meanwhile.
func (p *Process) publish(ctx context.Context, held *publication.State, version uint64, document []byte, alone bool) (revision uint64, size int, err error) {
	cmd, err := held.Publication(version, document, alone)
	if err != nil {
		return 0, 0, err
	}
	revision, err = p.server.change(ctx, cmd)
	return revision, len(cmd.GetPublish().Document), err
}

// Evacuate takes a data centre's backend servers out, or back.
func (p *Process) Evacuate(ctx context.Context, dataCentre string, out bool) error {
	began := time.Now()
	cmd := &fleetpb.Command{Op: &fleetpb.Command_Evacuate{Evacuate: &fleetpb.Evacuate{DataCentre: dataCentre, Out: out}}}
	revision, err := p.server.change(ctx, cmd)
	p.told("evacuation received", began, err, "data-centre", dataCentre, "out", out, "revision", revision)
	return err
}

func (p *Process) told(what string, began time.Time, err error, fields ...any) {
	fields = append(fields, "took", time.Since(began).Round(time.Microsecond))
	p.metrics.Histogram("directory.change_us").Update(time.Since(began).Microseconds())
	if err != nil {
		p.metrics.Counter("directory.changes_failed").Inc(1)
		p.log.Warn(what, append(fields, "outcome", errkind.Of(err), "error", err)...)
		return
	}
	p.log.Info(what, append(fields, "outcome", "acknowledged")...)
}

// Configuration returns the newest configuration's document, confirmed by a
// quorum after the call, or an error of kind not-found if there is none yet.
func (p *Process) Configuration(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	newest, err := p.server.barrier(ctx)
	if err != nil {
		return nil, err
	}
	for {
		s := p.machine.State()
		switch {
		case s.Revision >= newest && s.Configuration == nil:
			return nil, errkind.New(errkind.NotReady, "no configuration has been accepted yet")
		case s.Revision >= newest:
			return s.Configuration.Document, nil
		}
		select {
		case <-time.After(statePoll):
		case <-ctx.Done():
			return nil, errkind.New(errkind.NotReady, "this process holds revision %d, the newest is %d", s.Revision, newest)
		}
	}
}

// Announce takes in what a backend server says of itself. It returns once the
// routers that follow this process have been sent what changed. If that takes the
// server out, a majority of the directory's processes have passed it on to theirs
// then, or passTime is over.
func (p *Process) Announce(ctx context.Context, s inventory.Server) error {
	var passed, told <-chan struct{}
	err := p.hub.do(ctx, func() {
		changed := p.hub.merge(s, true) == inventory.Changed
		passed = p.hub.passed
		if changed && p.hub.due != nil {
			told = p.hub.told
		}
	})
	switch {
	case err != nil:
		return err
	case s.State != inventory.Ready:
		return awaitPassed(ctx, passed)
	case told == nil:
		return nil
	}
	select {
	case <-told:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func awaitPassed(ctx context.Context, passed <-chan struct{}) error {
	select {
	case <-passed:
	case <-time.After(passTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// Leave takes in that a backend server is leaving.
func (p *Process) Leave(ctx context.Context, id string, born int64) error {
	var passed <-chan struct{}
	err := p.hub.do(ctx, func() {
		p.hub.leave(id, born)
		passed = p.hub.passed
	})
	if err != nil {
		return err
	}
	return awaitPassed(ctx, passed)
}

// change replicates a command here or at the leader.
func (s *server) change(ctx context.Context, cmd *fleetpb.Command) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	address, leading, err := s.findLeader(ctx)
	if err != nil {
		return 0, err
	}
	if leading {
		return s.changeHere(ctx, cmd)
	}
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := fleetpb.NewDRPCDirectoryClient(conn).Change(ctx, &fleetpb.ChangeRequest{Command: cmd})
	if err != nil {
		return 0, rpc.KeepWord(err, errkind.ChangeUnknown, leaderLost)
	}
	return resp.Revision, nil
}

func (s *server) changeHere(ctx context.Context, cmd *fleetpb.Command) (uint64, error) {
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

const leaderLost = "the connection to the leader broke before its answer"

// findLeader waits a while for a leader to be known.
func (s *server) findLeader(ctx context.Context) (address string, leading bool, err error) {
	if address, leading, err = s.group.AwaitLeader(ctx); err != nil {
		err = errkind.Wrap(err, errkind.NoQuorum, "the directory has no leader; nothing was accepted")
	}
	return address, leading, err
}

// barrier returns the newest revision that was accepted before the call.
func (s *server) barrier(ctx context.Context) (uint64, error) {
	address, leading, err := s.findLeader(ctx)
	if err != nil {
		return 0, err
	}
	if leading {
		return s.barrierHere(ctx)
	}
	conn := s.dialer.Conn(ctx, address)
	defer conn.Close()
	resp, err := fleetpb.NewDRPCDirectoryClient(conn).Barrier(ctx, &fleetpb.BarrierRequest{})
	if err != nil {
		return 0, rpc.KeepWord(err, errkind.NoQuorum, leaderLost)
	}
	return resp.Revision, nil
}

func (s *server) barrierHere(ctx context.Context) (uint64, error) {
	if err := s.group.ReadBarrier(ctx); err != nil {
		return 0, err
	}
	return s.machine.State().Revision, nil
}
