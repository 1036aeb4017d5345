package storage

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// newFolder returns a folder with a log and a snapshot, and its disk id.
func newFolder(t *testing.T, mem *vfs.MemFS) string {
	t.Helper()
	s, _, err := Open(mem, testDir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	p := &acknowledged{entries: map[uint64]uint64{1: 1, 2: 1, 3: 1}}
	if err := s.Append(&pb.HardState{Term: 1}, []*pb.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}, nil); err != nil {
		t.Fatal(err)
	}
	if !snapshotAt(s, p, 2) {
		t.Fatal("no snapshot")
	}
	if err := s.Append(&pb.HardState{Term: 2}, []*pb.Entry{entry(4, 2)}, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return s.DiskID()
}

// Guards against a folder that opens under its old identity without all it held, after a
// power loss while its files are set aside.
func TestPowerLossWhileFilesAreSetAside(t *testing.T) {
	stops := 0
	for seed := range uint64(40) {
		for at := 0; ; at++ {
			mem := vfs.NewCrashableMem()
			disk := newFolder(t, mem)
			n := 0
			_, err := SetAside(errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
				if n++; n > at {
					return errors.New("power lost")
				}
				return nil
			})), testDir)
			rng := rand.New(rand.NewPCG(seed, uint64(at)))
			after := mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
			s, r, openErr := Open(after, testDir, "c1")
			switch {
			case openErr != nil && !errkind.Is(openErr, errkind.DamagedStorage):
				t.Fatalf("seed %d, stop at %d: %v", seed, at, openErr)
			case openErr == nil && s.DiskID() == disk && (r.HardState.Term < 2 || r.Snapshot.GetIndex()+uint64(len(r.Entries)) < 4):
				t.Fatalf("seed %d, stop at %d: the old identity opens with term %d, snapshot %d and %d entries", seed, at, r.HardState.Term, r.Snapshot.GetIndex(), len(r.Entries))
			case openErr == nil && s.DiskID() != disk && len(r.Entries) > 0:
				t.Fatalf("seed %d, stop at %d: a new identity opens with old entries", seed, at)
			}
			if err == nil {
				if openErr != nil || s.DiskID() == disk {
					t.Fatalf("seed %d: after all files were set aside: %v", seed, openErr)
				}
				break
			}
			stops++
		}
	}
	t.Logf("%d power losses", stops)
}

// The folder keeps the files of the last two times.
func TestFilesSetAsideAreBounded(t *testing.T) {
	mem := vfs.NewCrashableMem()
	for range 5 {
		newFolder(t, mem)
		if _, err := SetAside(mem, testDir); err != nil {
			t.Fatal(err)
		}
	}
	names, err := mem.List(testDir)
	if err != nil {
		t.Fatal(err)
	}
	var prefixes []string
	for _, n := range names {
		if n != lockName {
			prefixes = append(prefixes, n[:strings.LastIndex(n[:len(asidePrefix)+2], "-")+1])
		}
	}
	slices.Sort(prefixes)
	if got := slices.Compact(prefixes); !slices.Equal(got, []string{"damaged-4-", "damaged-5-"}) {
		t.Errorf("kept %v of %v", got, names)
	}
}
