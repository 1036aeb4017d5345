package publication_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/replication"
	"github.com/kumquathollow/kumquathollow/internal/storage"
)

// machineWith returns a machine whose configuration has the given size and one evacuated data centre.
func machineWith(t *testing.T, size int) *publication.Machine {
	t.Helper()
	m := publication.New()
	if size < 0 {
		return m
	}
	publish, err := m.State().PublishCommand(3, bytes.Repeat([]byte("x"), size), true)
	if err != nil {
		t.Fatal(err)
	}
	evacuate := &fleetpb.Command{Op: &fleetpb.Command_Evacuate{Evacuate: &fleetpb.Evacuate{DataCentre: "b", Out: true}}}
	for _, cmd := range []*fleetpb.Command{publish, evacuate} {
		data, err := proto.Marshal(cmd)
		if err != nil {
			t.Fatal(err)
		}
		if r := m.Apply(data).(publication.Result); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	return m
}

func mustOpen(t *testing.T, fs vfs.FS, node string) (*storage.Store, replication.RestoredState) {
	t.Helper()
	s, restored, err := storage.Open(fs, "data", node)
	if err != nil {
		t.Fatal(err)
	}
	return s, restored
}

// Guards against a fleet that loses its configuration with the first joint restart after a snapshot: the
// machine reads its snapshot to the end, and the storage took the end for damage. Both are the real ones.
func TestTheStateIsRestoredFromTheStorage(t *testing.T) {
	const part = 256 << 10
	for _, size := range []int{-1, 0, 1, 4 << 10, part - 200, part - 1, part, part + 1, 2*part - 100, 5 * part} {
		t.Run(fmt.Sprintf("size=%d", size), func(t *testing.T) {
			m := machineWith(t, size)
			fs := vfs.NewMem()
			s, _ := mustOpen(t, fs, "a")
			meta := &pb.SnapshotMeta{Index: 9, Term: 2, Voters: &pb.VoterSet{}}
			if err := s.SaveSnapshot(meta, m.Snapshot); err != nil {
				t.Fatal(err)
			}

			received := vfs.NewMem()
			follower, _ := mustOpen(t, received, "b")
			f, _, err := s.OpenSnapshot()
			if err != nil {
				t.Fatal(err)
			}
			r, err := follower.ReceiveSnapshot(func(w io.Writer) error { _, err := io.Copy(w, f); return err })
			if err == nil {
				err = follower.InstallSnapshot(r)
			}
			if err != nil {
				t.Fatal(err)
			}
			restore(t, "a follower", follower, m)
			for _, s := range []*storage.Store{s, follower} {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
			}
			for node, fs := range map[string]vfs.FS{"a": fs, "b": received} {
				s, restored := mustOpen(t, fs, node)
				if restored.Snapshot.GetIndex() != meta.Index {
					t.Errorf("%s starts again with the snapshot at %d, want %d", node, restored.Snapshot.GetIndex(), meta.Index)
				}
				restore(t, node+" after a restart", s, m)
			}
		})
	}
}

// Guards against folders that an update cannot open: this one was written by commit f438705, with the newest
// format of a snapshot and a log before this test was written.
func TestAFolderOfAnEarlierReleaseIsOpened(t *testing.T) {
	const folder = "testdata/folder-of-f438705"
	fs := vfs.NewMem()
	if ok, err := vfs.Clone(vfs.Default, fs, folder, "data"); err != nil || !ok {
		t.Fatalf("copy the folder: %t, %v", ok, err)
	}
	s, restored := mustOpen(t, fs, "a")
	hs := restored.HardState
	if hs.Term != 2 || hs.Vote != "b-1" || hs.Commit != 3 || restored.Snapshot.GetIndex() != 3 || len(restored.Snapshot.Voters.Voters) != 3 || len(restored.Entries) != 1 || len(restored.Marks) != 1 {
		t.Errorf("restored %v, snapshot %v, %d entries, marks %v", hs, restored.Snapshot, len(restored.Entries), restored.Marks)
	}
	m := publication.New()
	if _, err := s.LoadSnapshot(m.Restore); err != nil {
		t.Fatal(err)
	}
	if got := string(m.State().Configuration.Document); got != "version three" {
		t.Errorf("the configuration is %q", got)
	}
	if r := m.Apply(restored.Entries[0].Data).(publication.Result); r.Err != nil || len(m.State().Evacuated) != 1 {
		t.Errorf("after the log: %+v, evacuated %v", r, m.State().Evacuated)
	}
	if err := s.Append(&pb.HardState{Term: 3}, nil, nil); err != nil {
		t.Error(err)
	}
}

func restore(t *testing.T, who string, s *storage.Store, want *publication.Machine) {
	t.Helper()
	m := publication.New()
	if _, err := s.LoadSnapshot(m.Restore); err != nil {
		t.Errorf("%s: %v", who, err)
		return
	}
	got, err := m.Encoded()
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := want.Encoded()
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got, encoded) {
		t.Errorf("%s restored another state", who)
	}
}
