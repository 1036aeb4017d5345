package storage

import (
	"io"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// TestPowerLossWhileLogFilesAreRemoved guards against a data folder that does not open
// after a power loss between the removal of obsolete log files and the sync of the folder,
// after which any of them may be back.
func TestPowerLossWhileLogFilesAreRemoved(t *testing.T) {
	const files = 5
	for seed := range uint64(200) {
		mem := vfs.NewCrashableMem()
		for i := range uint64(files) {
			s, _, err := Open(mem, testDir, "c1")
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Append(&pb.HardState{Term: 1}, []*pb.Entry{entry(i+1, 1)}, nil); err != nil {
				t.Fatal(err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		}
		// The crash clone has all files that were removed since the last sync of the folder.
		// Each removal is kept or lost independently.
		stopAt := 1 + int(seed%files)
		var removed []string
		var remaining *vfs.MemFS
		losePower := func() {
			remaining = mem.CrashClone(vfs.CrashCloneCfg{})
			rng := rand.New(rand.NewPCG(seed, 0))
			for _, path := range removed {
				if _, err := remaining.Stat(path); err == nil && rng.IntN(2) == 0 {
					if err := remaining.Remove(path); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
			if remaining == nil && len(removed) == stopAt {
				losePower()
			}
			if remaining != nil {
				return errors.New("no power")
			}
			if op.Kind == errorfs.OpRemove {
				removed = append(removed, op.Path)
			}
			return nil
		}))
		s, _, err := Open(fs, testDir, "c1")
		if err != nil {
			t.Fatal(err)
		}
		_ = s.SaveSnapshot(&pb.SnapshotMeta{Index: files, Term: 1}, func(io.Writer) error { return nil })
		if remaining == nil {
			losePower()
		}
		_, r, err := Open(remaining, testDir, "c1")
		if err != nil {
			t.Fatalf("seed %d, after %d removals: %v", seed, len(removed), err)
		}
		if r.Snapshot.GetIndex() != files {
			t.Fatalf("seed %d, after %d removals: snapshot %d, want %d", seed, len(removed), r.Snapshot.GetIndex(), files)
		}
	}
}
