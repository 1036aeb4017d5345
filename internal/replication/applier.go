package replication

import (
	"context"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// applier feeds committed entries to the state machine on its own goroutine,
// so that a long snapshot does not delay heartbeats.
type applier struct {
	g    *Group
	wake chan struct{}
	quit chan struct{}

	mu      sync.Mutex
	queue   []*pb.Entry
	jump    *pb.SnapshotMeta
	applied uint64
	readers []reader

	// Owned by the goroutine of run.
	meta    *pb.SnapshotMeta
	bytes   int
	entries int
	size    int
}

type reader struct {
	index uint64
	w     *waiter
}

func newApplier(g *Group) *applier {
	a := &applier{g: g, wake: make(chan struct{}, 1), quit: make(chan struct{})}
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

func (a *applier) push(es []*pb.Entry) {
	if len(es) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, es...)
	a.mu.Unlock()
	a.signal()
}

// install drops what waits and has the newest snapshot loaded.
func (a *applier) install(meta *pb.SnapshotMeta) {
	a.mu.Lock()
	a.queue, a.jump = nil, meta
	a.mu.Unlock()
	a.signal()
}

// waitFor answers w once index is applied.
func (a *applier) waitFor(index uint64, w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.applied >= index {
		w.done <- outcome{}
		return
	}
	a.readers = append(a.readers, reader{index, w})
}

// Applied returns the last applied index.
func (a *applier) Applied() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

func (a *applier) stop() { <-a.quit }

func (a *applier) run(ctx context.Context) error {
	defer close(a.quit)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		}
		a.mu.Lock()
		jump, es := a.jump, a.queue
		a.jump, a.queue = nil, nil
		a.mu.Unlock()
		if err := a.batch(ctx, jump, es); err != nil {
			return err
		}
	}
}

func (a *applier) batch(ctx context.Context, jump *pb.SnapshotMeta, es []*pb.Entry) error {
	if jump != nil {
		if err := a.load(jump); err != nil {
			return err
		}
	}
	for _, e := range es {
		if err := a.one(e); err != nil {
			return err
		}
	}
	a.g.opt.Machine.Publish(a.meta.Index)
	a.advanced()
	return a.maybeSnapshot(ctx)
}

func (a *applier) load(meta *pb.SnapshotMeta) error {
	if err := a.g.opt.Storage.LoadSnapshot(a.g.opt.Machine.Restore); err != nil {
		return err
	}
	a.meta = proto.Clone(meta).(*pb.SnapshotMeta)
	a.bytes, a.entries = 0, 0
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	for i, w := range a.g.waiting {
		if i <= meta.Index {
			delete(a.g.waiting, i)
			w.done <- outcome{err: errkind.New(errkind.ChangeUnknown, "this process was replaced as leader before the answer")}
		}
	}
	return nil
}

func (a *applier) one(e *pb.Entry) error {
	if e.Index != a.meta.Index+1 {
		return errkind.New(errkind.PromiseBroken, "entry %d is to be applied after %d", e.Index, a.meta.Index)
	}
	a.meta.Index, a.meta.Term = e.Index, e.Term
	a.bytes += entrySize(e)
	a.entries++
	var value any
	switch e.Type {
	case pb.EntryType_COMMAND:
		value = a.g.opt.Machine.Apply(e.Data)
	case pb.EntryType_VOTERS:
		set := &pb.VoterSet{}
		if err := proto.Unmarshal(e.Data, set); err != nil {
			return errkind.Wrap(err, errkind.DamagedStorage, "entry %d", e.Index)
		}
		a.meta.Voters = set
	}
	if w := a.g.take(e.Index); w != nil {
		w.done <- result(w, e, value)
	}
	return nil
}

// result tells a proposer whether the entry at its index is its own.
func result(w *waiter, e *pb.Entry, value any) outcome {
	if w.term != e.Term {
		return outcome{err: errkind.New(errkind.NotLeader, "another leader's entry took the place; nothing was accepted")}
	}
	return outcome{value: value}
}

func (a *applier) advanced() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = a.meta.Index
	a.readers = slices.DeleteFunc(a.readers, func(r reader) bool {
		if r.index > a.applied {
			return false
		}
		r.w.done <- outcome{}
		return true
	})
}

// maybeSnapshot bounds the log: by its length, and by the size of the state.
func (a *applier) maybeSnapshot(ctx context.Context) error {
	limit := max(a.g.opt.SnapshotBytes, a.size)
	if a.bytes < limit && a.entries < a.g.opt.SnapshotEntries {
		return nil
	}
	meta := proto.Clone(a.meta).(*pb.SnapshotMeta)
	counted := &countWriter{}
	err := a.g.opt.Storage.SaveSnapshot(meta, func(w io.Writer) error {
		counted.w = w
		return a.g.opt.Machine.Snapshot(counted)
	})
	if err != nil {
		return err
	}
	a.bytes, a.entries, a.size = 0, 0, counted.n
	keep := meta.Index - min(meta.Index, a.g.opt.KeepEntries)
	_ = a.g.post(ctx, func() { a.g.core.Compact(meta, keep) })
	return nil
}

type countWriter struct {
	w io.Writer
	n int
}

// Write counts what passes.
func (c *countWriter) Write(p []byte) (int, error) {
	c.n += len(p)
	return c.w.Write(p)
}
