package replication

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// fullOnceStorage has no room for the first snapshot.
type fullOnceStorage struct {
	Storage
	attempts atomic.Int32
}

func (s *fullOnceStorage) SaveSnapshot(*pb.SnapshotMeta, func(io.Writer) error) error {
	if s.attempts.Add(1) == 1 {
		return errkind.New(errkind.DiskFull, "no room")
	}
	return nil
}

// Guards against a voter that stays without room for good: its log and snapshots fill the disk, a
// record finds no room, and only a snapshot would make the log shorter. It must be tried again
// although nothing more is applied.
func TestASnapshotWithoutRoomIsTriedAgainWhileNothingIsApplied(t *testing.T) {
	storage := &fullOnceStorage{}
	g := &Group{
		opt:   Options{Storage: storage, StateMachine: &countingMachine{}, SnapshotBytes: 1 << 20, SnapshotEntries: 3, Log: hclog.NewNullLogger()},
		inbox: make(chan func(), 8), proposals: map[uint64]*waiter{}, done: make(chan struct{}),
	}
	a := newApplier(g)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.run(ctx) }()
	a.enqueue([]*pb.Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2}, {Term: 1, Index: 3}})
	for end := time.Now().Add(20 * snapshotRetryDelay); storage.attempts.Load() < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if n := storage.attempts.Load(); n != 2 {
		t.Errorf("%d attempts to save a snapshot, want 2", n)
	}
	stop()
	<-ended
}
