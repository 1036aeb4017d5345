package directory

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/callerconn"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// order replicates an operator's order that has no version. The order must not undo one that was
// given after its caller had moved on to another process. So it depends on a revision at which
// the caller was still there: the revision is read before the check of the caller, and later
// orders have higher ones.
func (p *Process) order(ctx context.Context, cmd *fleetpb.Command) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	base, err := p.server.barrier(ctx)
	if err != nil {
		return 0, err
	}
	if err := p.checkCaller(ctx); err != nil {
		return 0, err
	}
	revision, err := p.server.change(ctx, &fleetpb.ChangeRequest{Command: cmd, BaseRevision: &base.Revision})
	if errkind.Is(err, errkind.ChangeConflict) {
		// The same order may have been accepted at another process, so it must not be refused.
		err = errkind.Wrap(err, errkind.ChangeUnknown, "the order was overtaken; send it again if it still holds")
	}
	return revision, err
}

// checkCaller returns an error if the caller of an order may have moved on to another process.
// Callers that are still there get an answer on which they send the order again.
func (p *Process) checkCaller(ctx context.Context) error {
	switch {
	case callerconn.HasGone(ctx):
		return errkind.New(errkind.ChangeUnknown, "the caller closed its connection before the order was proposed, and may have sent it elsewhere")
	case ctx.Err() != nil:
		return errkind.Wrap(ctx.Err(), errkind.ChangeUnknown, "the order was not proposed in time, and the caller may have sent it elsewhere")
	}
	if ago, paused := p.pauses.last(); paused {
		return errkind.New(errkind.NotReady, "this process was paused until %s ago, and the order may have been sent before", ago.Round(time.Millisecond)).WithRetryAfter(orderPauseTime)
	}
	return nil
}

// evacuationLocks order the evacuations that this process proposes as the leader. Data centres
// share locks by the hash of their name.
type evacuationLocks []*semaphore.Weighted

const evacuationLockCount = 16

func newEvacuationLocks() evacuationLocks {
	locks := make(evacuationLocks, evacuationLockCount)
	for i := range locks {
		locks[i] = semaphore.NewWeighted(1)
	}
	return locks
}

// lock waits until no other evacuation of the data centre is in progress.
func (l evacuationLocks) lock(ctx context.Context, dataCentre string) (unlock func(), err error) {
	s := l[routing.Hash(dataCentre)%uint64(len(l))]
	if err := s.Acquire(ctx, 1); err != nil {
		return nil, errkind.Wrap(err, errkind.NoQuorum, "another evacuation of data centre %q is in progress; nothing was accepted", dataCentre)
	}
	return func() { s.Release(1) }, nil
}

// changeLocal replicates a command as the leader.
func (s *server) changeLocal(ctx context.Context, req *fleetpb.ChangeRequest) (uint64, error) {
	if e := req.Command.GetEvacuate(); e != nil {
		return s.evacuateLocal(ctx, e, req)
	}
	return s.proposeLocal(ctx, req.Command)
}

// evacuateLocal replicates an evacuation as the leader, unless that of the data centre has
// changed since the base revision, if there is one. The check is not left to the state machine,
// since voters of earlier releases would apply what others reject.
//
// When an order is checked, all that were acknowledged before are applied here: those of earlier
// terms once the read is confirmed, those of this term since each holds the lock until it is
// applied or fails. One that failed may still be applied, but its place in the log is before all
// that are proposed later, of which its resend is one. So an order for what is in force is
// proposed as well.
func (s *server) evacuateLocal(ctx context.Context, e *fleetpb.Evacuate, req *fleetpb.ChangeRequest) (uint64, error) {
	term := s.group.Status().Term
	if req.BaseRevision != nil {
		if err := s.group.ReadBarrier(ctx); err != nil {
			return 0, err
		}
	}
	unlock, err := s.evacuations.lock(ctx, e.DataCentre)
	if err != nil {
		return 0, err
	}
	defer unlock()
	if req.BaseRevision != nil {
		if err := s.machine.CheckEvacuation(e, *req.BaseRevision); err != nil {
			return 0, err
		}
	}
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.BadRequest, "encode the evacuation of data centre %q", e.DataCentre)
	}
	out, err := s.group.ProposeInTerm(ctx, term, data)
	if err != nil {
		return 0, err
	}
	r := out.(publication.Result)
	return r.Revision, r.Err
}

const (
	pauseTickInterval = 100 * time.Millisecond
	// minPause is the shortest pause that counts. Callers move on after 1 s without an answer;
	// a busy VM stalls for 100 ms at a time.
	minPause = 500 * time.Millisecond
	// orderPauseTime is how long after a pause orders are not accepted. It exceeds changeTimeout,
	// so that it covers an order that is read right after the pause. The end of its connection
	// may arrive later than the order.
	orderPauseTime = 2 * time.Second
)

// pauseDetector detects that the process, or its VM, did not run for a while. Times are since
// the boot of the VM, in nanoseconds; 0 is not known.
type pauseDetector struct {
	lastTick, pausedUntil atomic.Int64
}

func (d *pauseDetector) run(ctx context.Context) error {
	tick := time.NewTicker(pauseTickInterval)
	defer tick.Stop()
	for {
		d.tick(clock.SinceBoot())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (d *pauseDetector) tick(now time.Duration) {
	if d.isPaused(now) {
		d.pausedUntil.Store(int64(now))
	}
	d.lastTick.Store(int64(now))
}

// isPaused reports whether a pause has ended that no tick has seen yet.
func (d *pauseDetector) isPaused(now time.Duration) bool {
	last := d.lastTick.Load()
	return last != 0 && now-time.Duration(last) >= minPause
}

// last reports whether a pause ended within orderPauseTime, and how long ago.
func (d *pauseDetector) last() (ago time.Duration, paused bool) {
	return d.lastAt(clock.SinceBoot())
}

func (d *pauseDetector) lastAt(now time.Duration) (ago time.Duration, paused bool) {
	// The tick stores pausedUntil before lastTick, so a pause is seen in one of them.
	if d.isPaused(now) {
		return 0, true
	}
	until := d.pausedUntil.Load()
	ago = now - time.Duration(until)
	return ago, until != 0 && ago < orderPauseTime
}
