package replication

import (
	"context"
	"encoding/binary"
	"io"
	"slices"
	"testing"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// snapshotStorage holds one snapshot: that of countingMachine at its index.
type snapshotStorage struct {
	Storage
	newest *pb.SnapshotMeta
}

func (s *snapshotStorage) LoadSnapshot(read func(io.Reader) error) (*pb.SnapshotMeta, error) {
	r, w := io.Pipe()
	go func() { _ = w.CloseWithError(binary.Write(w, binary.BigEndian, s.newest.Index)) }()
	return s.newest, read(r)
}

// countingMachine counts the entries that its state holds.
type countingMachine struct {
	StateMachine
	count     uint64
	published []uint64
}

func (m *countingMachine) Apply([]byte) any { m.count++; return nil }

func (m *countingMachine) Publish(uint64) { m.published = append(m.published, m.count) }

func (m *countingMachine) Restore(r io.Reader) error {
	return binary.Read(r, binary.BigEndian, &m.count)
}

// Guards against a state that goes back: a second snapshot is installed before the first one and the
// entries after it are applied. Those entries must not be applied to the second snapshot, which
// holds them.
func TestTwoSnapshotsInQuickSuccessionKeepTheStateInOrder(t *testing.T) {
	storage, machine := &snapshotStorage{}, &countingMachine{}
	a := newApplier(&Group{opt: Options{Storage: storage, StateMachine: machine, SnapshotBytes: 1 << 20, SnapshotEntries: 1 << 20}, proposals: map[uint64]*waiter{}})
	entries := func(from, to uint64) (out []*pb.Entry) {
		for i := from; i <= to; i++ {
			out = append(out, &pb.Entry{Term: 1, Index: i})
		}
		return out
	}
	meta := func(index uint64) *pb.SnapshotMeta { return &pb.SnapshotMeta{Index: index, Term: 1} }
	for _, batch := range []struct {
		newest, queued uint64
		entries        []*pb.Entry
		want           uint64
	}{
		{20, 20, entries(21, 25), 25},
		{30, 28, entries(29, 29), 30},
		{30, 30, nil, 30},
		{30, 30, entries(31, 33), 33},
		{40, 34, entries(35, 45), 45},
	} {
		storage.newest = meta(batch.newest)
		if err := a.applyBatch(context.Background(), meta(batch.queued), batch.entries); err != nil {
			t.Fatal(err)
		}
		if machine.count != batch.want || a.AppliedIndex() != batch.want {
			t.Errorf("snapshot %d, with %d in the meantime, and %d entries: the state holds %d entries, applied is %d, want %d",
				batch.queued, batch.newest, len(batch.entries), machine.count, a.AppliedIndex(), batch.want)
		}
	}
	if !slices.IsSorted(machine.published) {
		t.Errorf("published states %v go back", machine.published)
	}
}
