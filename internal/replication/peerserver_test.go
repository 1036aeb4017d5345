package replication

import (
	"context"
	"math/rand/v2"
	"testing"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// installCounter counts the snapshots that were installed.
type installCounter struct {
	Storage
	installed int
}

func (s *installCounter) InstallSnapshot(*ReceivedSnapshot) error { s.installed++; return nil }

func (s *installCounter) Append(*pb.HardState, []*pb.Entry, []*pb.Mark) error { return nil }

// Guards against a snapshot that is overwritten before it is installed: another process sends one
// as well, which is stored under the same name. The call that brings a snapshot must not return, and
// so the next one must not begin, before the snapshot is installed. One that is refused returns
// at once.
func TestASnapshotIsSettledBeforeTheNextIsReceived(t *testing.T) {
	storage := &installCounter{}
	core := New(simConfig("b", "b-1"), rand.New(rand.NewPCG(1, 1)), 0, RestoredState{})
	g := &Group{opt: Options{Storage: storage}, core: core, inbox: make(chan func(), 1), done: make(chan struct{})}
	g.applier = newApplier(g)
	for i, tc := range []struct {
		index    uint64
		accepted bool
	}{{20, true}, {10, false}, {30, true}} {
		meta := &pb.SnapshotMeta{Index: tc.index, Term: 1, Voters: &pb.VoterSet{}}
		m := &pb.Message{Type: pb.MessageType_SNAPSHOT, From: "a", FromDisk: "a-1", To: "b", ToDisk: "b-1", Term: 1, Snapshot: meta}
		returned := make(chan int, 1)
		before := storage.installed
		go func() {
			if err := g.installReceived(context.Background(), m, &ReceivedSnapshot{Meta: meta}); err != nil {
				t.Error(err)
			}
			returned <- storage.installed
		}()
		(<-g.inbox)()
		if tc.accepted {
			select {
			case <-returned:
				t.Errorf("snapshot %d: the call returned before it was installed", i)
			default:
			}
		}
		r := core.Ready()
		if err := g.persist(&r); err != nil {
			t.Fatal(err)
		}
		core.ReportDurable(r)
		if n := <-returned; (n == before+1) != tc.accepted {
			t.Errorf("snapshot %d at index %d: %d installed when the call returned, %d before, accepted: %v", i, tc.index, n, before, tc.accepted)
		}
	}
}

// Guards against a sender that takes a snapshot for received which a voter without room has
// ignored: it would wait for the acknowledgement and send nothing else meanwhile.
func TestAVoterWithAFullDiskRefusesASnapshot(t *testing.T) {
	core := New(simConfig("b", "b-1"), rand.New(rand.NewPCG(1, 1)), 0, RestoredState{})
	g := &Group{opt: Options{Storage: &installCounter{}}, core: core, inbox: make(chan func(), 1), done: make(chan struct{})}
	core.Suspend()
	g.suspension.ready = &Ready{}
	meta := &pb.SnapshotMeta{Index: 20, Term: 1, Voters: &pb.VoterSet{}}
	m := &pb.Message{Type: pb.MessageType_SNAPSHOT, From: "a", FromDisk: "a-1", To: "b", ToDisk: "b-1", Term: 1, Snapshot: meta}
	returned := make(chan error, 1)
	go func() { returned <- g.installReceived(context.Background(), m, &ReceivedSnapshot{Meta: meta}) }()
	(<-g.inbox)()
	if err := <-returned; !errkind.Is(err, errkind.DiskFull) {
		t.Errorf("the call that brought the snapshot returned %v, want an error of kind disk-full", err)
	}
}
