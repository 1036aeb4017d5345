package replication

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// applier applies committed entries to the state machine on its own goroutine, so
// that writing a large snapshot does not delay heartbeats.
type applier struct {
	g       *Group
	wake    chan struct{}
	stopped chan struct{}

	mu              sync.Mutex
	queue           []*pb.Entry
	pendingSnapshot *pb.SnapshotMeta
	applied         uint64
	barriers        []pendingBarrier

	// Owned by the goroutine of run.
	meta                 *pb.SnapshotMeta
	bytesSinceSnapshot   int
	entriesSinceSnapshot int
	lastSnapshotBytes    int
	// snapshotRetryAt is when a snapshot may be saved again for which there was no room.
	snapshotRetryAt time.Time
}

type pendingBarrier struct {
	index  uint64
	waiter *waiter
}

func newApplier(g *Group) *applier {
	a := &applier{g: g, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	a.meta = &pb.SnapshotMeta{Voters: &pb.VoterSet{}}
	if s := g.opt.Restored.Snapshot; s != nil {
		a.meta = proto.Clone(s).(*pb.SnapshotMeta)
	}
	a.applied = a.meta.Index
	return a
}

func (a *applier) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) enqueue(es []*pb.Entry) {
	if len(es) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, es...)
	a.mu.Unlock()
	a.signal()
}

// enqueueSnapshot discards the queued entries and schedules the newest snapshot to
// be loaded instead.
func (a *applier) enqueueSnapshot(meta *pb.SnapshotMeta) {
	a.mu.Lock()
	a.queue, a.pendingSnapshot = nil, meta
	a.mu.Unlock()
	a.signal()
}

// completeWhenApplied completes w once the entry at index has been applied.
func (a *applier) completeWhenApplied(index uint64, w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.applied >= index {
		w.done <- outcome{}
		return
	}
	a.barriers = append(a.barriers, pendingBarrier{index, w})
}

// AppliedIndex returns the index of the last applied entry.
func (a *applier) AppliedIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

func (a *applier) wait() { <-a.stopped }

func (a *applier) run(ctx context.Context) error {
	defer close(a.stopped)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		}
		a.mu.Lock()
		snapshot, es := a.pendingSnapshot, a.queue
		a.pendingSnapshot, a.queue = nil, nil
		a.mu.Unlock()
		if err := a.applyBatch(ctx, snapshot, es); err != nil {
			return err
		}
	}
}

func (a *applier) applyBatch(ctx context.Context, snapshot *pb.SnapshotMeta, es []*pb.Entry) error {
	if snapshot != nil && snapshot.Index > a.meta.Index {
		if err := a.loadSnapshot(); err != nil {
			return err
		}
	}
	if snapshot != nil {
		// A newer snapshot than the one that was queued may have been loaded.
		es = slices.DeleteFunc(es, func(e *pb.Entry) bool { return e.Index <= a.meta.Index })
	}
	for _, e := range es {
		if err := a.applyEntry(e); err != nil {
			return err
		}
	}
	a.g.opt.StateMachine.Publish(a.meta.Index)
	a.advanceApplied()
	return a.maybeSnapshot(ctx)
}

// loadSnapshot loads the newest snapshot.
func (a *applier) loadSnapshot() error {
	meta, err := a.g.opt.Storage.LoadSnapshot(a.g.opt.StateMachine.Restore)
	if err != nil {
		return err
	}
	a.meta = proto.Clone(meta).(*pb.SnapshotMeta)
	a.bytesSinceSnapshot, a.entriesSinceSnapshot = 0, 0
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	for i, w := range a.g.proposals {
		if i <= meta.Index {
			delete(a.g.proposals, i)
			w.done <- outcome{err: errkind.New(errkind.ChangeUnknown, "this process lost leadership and installed a snapshot before the command was applied")}
		}
	}
	return nil
}

func (a *applier) applyEntry(e *pb.Entry) error {
	if e.Index != a.meta.Index+1 {
		return errkind.New(errkind.PromiseBroken, "committed entry %d is out of order: the last applied index is %d", e.Index, a.meta.Index)
	}
	a.meta.Index, a.meta.Term = e.Index, e.Term
	a.bytesSinceSnapshot += entrySize(e)
	a.entriesSinceSnapshot++
	var value any
	switch e.Type {
	case pb.EntryType_COMMAND:
		value = a.g.opt.StateMachine.Apply(e.Data)
	case pb.EntryType_VOTERS:
		set := &pb.VoterSet{}
		if err := proto.Unmarshal(e.Data, set); err != nil {
			return errkind.Wrap(err, errkind.DamagedStorage, "decode the voter set in entry %d", e.Index)
		}
		a.meta.Voters, a.meta.VotersIndex = set, e.Index
	}
	if w := a.g.takeProposal(e.Index); w != nil {
		w.done <- proposalOutcome(w, e, value)
	}
	return nil
}

// proposalOutcome returns the state machine's result, or an error if the entry that
// was committed at the proposal's index is of another term and so of another leader.
func proposalOutcome(w *waiter, e *pb.Entry, value any) outcome {
	if w.term != e.Term {
		return outcome{err: errkind.New(errkind.NotLeader, "the proposed entry was overwritten by another leader's; nothing was accepted")}
	}
	return outcome{value: value}
}

func (a *applier) advanceApplied() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = a.meta.Index
	a.barriers = slices.DeleteFunc(a.barriers, func(b pendingBarrier) bool {
		if b.index > a.applied {
			return false
		}
		b.waiter.done <- outcome{}
		return true
	})
}

// snapshotRetryDelay is how long a snapshot waits after the disk had no room for it.
const snapshotRetryDelay = time.Second

// maybeSnapshot keeps the log bounded. It saves a snapshot once the entries applied
// since the last one reach SnapshotEntries in number, or reach in bytes the larger of
// SnapshotBytes and the size of the last snapshot.
func (a *applier) maybeSnapshot(ctx context.Context) error {
	limit := max(a.g.opt.SnapshotBytes, a.lastSnapshotBytes)
	if a.bytesSinceSnapshot < limit && a.entriesSinceSnapshot < a.g.opt.SnapshotEntries || time.Now().Before(a.snapshotRetryAt) {
		return nil
	}
	meta := proto.Clone(a.meta).(*pb.SnapshotMeta)
	counter := &countingWriter{}
	err := a.g.opt.Storage.SaveSnapshot(meta, func(w io.Writer) error {
		counter.w = w
		return a.g.opt.StateMachine.Snapshot(counter)
	})
	if errkind.Is(err, errkind.DiskFull) {
		a.snapshotRetryAt = time.Now().Add(snapshotRetryDelay)
		// A voter whose log has no room either applies nothing that would wake the applier.
		time.AfterFunc(snapshotRetryDelay, a.signal)
		a.g.opt.Log.Warn("snapshot not saved", "index", meta.Index, "retry-in", snapshotRetryDelay, "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	a.bytesSinceSnapshot, a.entriesSinceSnapshot, a.lastSnapshotBytes = 0, 0, counter.n
	keep := meta.Index - min(meta.Index, a.g.opt.CatchUpEntries)
	_ = a.g.enqueue(ctx, func() { a.g.core.Compact(meta, keep) })
	return nil
}

type countingWriter struct {
	w io.Writer
	n int
}

// Write forwards p and counts its bytes.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.n += len(p)
	return c.w.Write(p)
}
