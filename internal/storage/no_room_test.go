package storage

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// refusingFS is a file system without room for the operations for which refuses, if set, returns
// true. A write of which it does so stores the first half of its data, as do those on real disks:
// they still create files when they have no room for data.
type refusingFS struct {
	vfs.FS
	refuses func(op, name string) bool
}

func (d *refusingFS) check(op, name string) error {
	if d.refuses != nil && d.refuses(op, d.PathBase(name)) {
		return &noSpaceError{op, name}
	}
	return nil
}

func (d *refusingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := d.check("create", name); err != nil {
		return nil, err
	}
	f, err := d.FS.Create(name, category)
	return &refusingFile{f, d, name}, err
}

func (d *refusingFS) Rename(from, to string) error {
	if err := d.check("rename", to); err != nil {
		return err
	}
	return d.FS.Rename(from, to)
}

func (d *refusingFS) Remove(name string) error {
	if err := d.check("remove", name); err != nil {
		return err
	}
	return d.FS.Remove(name)
}

type refusingFile struct {
	vfs.File
	fs   *refusingFS
	name string
}

func (f *refusingFile) Write(p []byte) (int, error) {
	err := f.fs.check("write", f.name)
	if err == nil {
		return f.File.Write(p)
	}
	n, writeErr := f.File.Write(p[:len(p)/2])
	if writeErr != nil {
		return n, writeErr
	}
	return n, err
}

func openRefusing(t *testing.T, disk *refusingFS) (*Store, replication.RestoredState) {
	t.Helper()
	s, r, err := Open(disk, testDir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	return s, r
}

func saveSnapshot(s *Store, index, term uint64) error {
	return s.SaveSnapshot(&pb.SnapshotMeta{Index: index, Term: term}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "state at %d", index)
		return err
	})
}

func wantDiskFull(t *testing.T, what string, err error) {
	t.Helper()
	if !errkind.Is(err, errkind.DiskFull) {
		t.Errorf("%s: %v, want an error of kind disk-full", what, err)
	}
}

// Guards against a vote that is lost: while records find no room, files can be created and a snapshot
// is saved. The log files before it must stay while no later one holds the term and the vote.
func TestASnapshotBetweenTwoAttemptsKeepsTheVote(t *testing.T) {
	for attempts := range 4 {
		disk := &refusingFS{FS: vfs.NewMem()}
		s, _ := openRefusing(t, disk)
		vote := &pb.HardState{Term: 5, Vote: "d2", Commit: 3}
		if err := s.Append(vote, []*pb.Entry{entry(1, 5), entry(2, 5), entry(3, 5)}, []*pb.Mark{{Disk: "d2", Term: 5, Index: 3}}); err != nil {
			t.Fatal(err)
		}
		disk.refuses = func(op, name string) bool { return op == "write" && strings.HasPrefix(name, logPrefix) }
		for range attempts {
			wantDiskFull(t, "append", s.Append(nil, []*pb.Entry{entry(4, 5)}, nil))
		}
		if err := saveSnapshot(s, 3, 5); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		disk.refuses = nil
		_, r := openRefusing(t, disk)
		if r.HardState.Term != 5 || r.HardState.Vote != "d2" || len(r.Marks) != 1 || r.Snapshot.GetIndex() != 3 {
			t.Errorf("after %d attempts: restored %v, marks %v, snapshot %v; want term 5, vote d2, one mark, snapshot 3", attempts, r.HardState, r.Marks, r.Snapshot)
		}
	}
}

// Guards against a disk that files without use fill for good: snapshots that are written whole and
// then cannot be renamed.
func TestASnapshotThatCannotBeRenamedIsRemoved(t *testing.T) {
	disk := &refusingFS{FS: vfs.NewMem()}
	s, _ := openRefusing(t, disk)
	for i := uint64(1); i <= 20; i++ {
		if err := s.Append(&pb.HardState{Term: 1}, []*pb.Entry{entry(i, 1)}, nil); err != nil {
			t.Fatal(err)
		}
		disk.refuses = func(op, _ string) bool { return op == "rename" }
		wantDiskFull(t, "save a snapshot", saveSnapshot(s, i, 1))
		disk.refuses = nil
	}
	names, err := disk.List(testDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if strings.HasPrefix(n, snapshotPrefix) {
			t.Errorf("the folder holds %s", n)
		}
	}
	if err := saveSnapshot(s, 20, 1); err != nil {
		t.Error(err)
	}
}

// Guards against a process that ends because its disk has no room: some file systems need room to
// rename or remove a file as well. The operation must be possible again later.
func TestEachOperationWithoutRoomCanBeRepeated(t *testing.T) {
	for _, op := range []string{"create", "write", "rename", "remove"} {
		disk := &refusingFS{FS: vfs.NewMem()}
		s, _ := openRefusing(t, disk)
		next := uint64(1)
		attempt := func(what string, f func() error) {
			t.Helper()
			disk.refuses = func(o, _ string) bool { return o == op }
			err := f()
			if err != nil {
				wantDiskFull(t, op+": "+what, err)
			}
			disk.refuses = nil
			if err != nil {
				if err := f(); err != nil {
					t.Errorf("%s: %s again: %v", op, what, err)
				}
			}
		}
		for range 5 {
			attempt("append", func() error { return s.Append(&pb.HardState{Term: 1}, []*pb.Entry{entry(next, 1)}, nil) })
			attempt("save a snapshot", func() error { return saveSnapshot(s, next, 1) })
			next++
		}
		var received *replication.ReceivedSnapshot
		attempt("receive a snapshot", func() (err error) {
			received, err = s.ReceiveSnapshot(func(w io.Writer) error {
				return WriteSnapshot(w, &pb.SnapshotMeta{Index: 100, Term: 1}, func(w io.Writer) error {
					_, err := w.Write([]byte("state"))
					return err
				})
			})
			return err
		})
		attempt("install a snapshot", func() error { return s.InstallSnapshot(received) })
		attempt("append", func() error { return s.Append(&pb.HardState{Term: 2}, []*pb.Entry{entry(101, 2)}, nil) })
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		_, r := openRefusing(t, disk)
		if r.Snapshot.GetIndex() != 100 || len(r.Entries) != 1 || r.HardState.Term != 2 {
			t.Errorf("%s: restored snapshot %v, %d entries, %v", op, r.Snapshot, len(r.Entries), r.HardState)
		}
	}
}
