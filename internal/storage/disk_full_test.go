package storage

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// Flags to run more schedules, or to rerun a single one: -full-seeds 1 -full-first-seed N.
var (
	fullSeeds     = flag.Int("full-seeds", 300, "schedules with full disks")
	fullFirstSeed = flag.Int("full-first-seed", 0, "seed of the first schedule with full disks")
)

// noSpaceFS is a file system that may have no room: then files are not created, and writes
// stop somewhere within their data.
type noSpaceFS struct {
	vfs.FS
	rng *rand.Rand
	// fullPercent is how often an operation finds no room.
	fullPercent int
}

func (c *noSpaceFS) full() bool { return c.rng.IntN(100) < c.fullPercent }

func (c *noSpaceFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if c.full() {
		return nil, &noSpaceError{"create", name}
	}
	f, err := c.FS.Create(name, category)
	return &noSpaceFile{f, c, name}, err
}

type noSpaceError struct{ op, path string }

func (e *noSpaceError) Error() string { return e.op + " " + e.path + ": " + syscall.ENOSPC.Error() }
func (e *noSpaceError) Unwrap() error { return syscall.ENOSPC }

type noSpaceFile struct {
	vfs.File
	fs   *noSpaceFS
	name string
}

func (f *noSpaceFile) Write(p []byte) (int, error) {
	if len(p) == 0 || !f.fs.full() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:f.fs.rng.IntN(len(p))])
	if err != nil {
		return n, err
	}
	return n, &noSpaceError{"write", f.name}
}

// Guards against a data folder that a full disk spoils: what was acknowledged must be there
// after any number of writes without room, kills and power losses, and the folder must open.
func TestAFullDiskSpoilsNothing(t *testing.T) {
	refused, reopened := 0, 0
	for seed := *fullFirstSeed; seed < *fullFirstSeed+*fullSeeds; seed++ {
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		mem := vfs.NewCrashableMem()
		disk := &noSpaceFS{FS: mem, rng: rng}
		p := &acknowledged{entries: map[uint64]uint64{}}
		s, _, err := Open(disk, testDir, "c1")
		if err != nil {
			t.Fatal(err)
		}
		term, last := uint64(1), uint64(0)
		// retry calls f until it succeeds. The disk has room again at some time.
		retry := func(what string, f func() error) {
			for attempt := 0; ; attempt++ {
				err := f()
				if err == nil {
					return
				}
				if !errkind.Is(err, errkind.DiskFull) {
					t.Fatalf("seed %d: %s: %v", seed, what, err)
				}
				refused++
				if attempt > 20 {
					disk.fullPercent = 0
				}
			}
		}
		for range 40 {
			disk.fullPercent = []int{0, 0, 20, 70, 100}[rng.IntN(5)]
			switch rng.IntN(8) {
			case 0: // A kill or a power loss.
				if rng.IntN(2) == 0 {
					mem = mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
				} else if err := s.Close(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				disk = &noSpaceFS{FS: mem, rng: rng}
				var r replication.RestoredState
				if s, r, err = Open(disk, testDir, "c1"); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				checkRestored(t, fmt.Sprintf("seed %d", seed), r, p)
				reopened++
			case 1:
				if last <= p.snapshot+1 {
					continue
				}
				meta := &pb.SnapshotMeta{Index: last - 1, Term: p.entries[last-1]}
				retry("save a snapshot", func() error {
					return s.SaveSnapshot(meta, func(w io.Writer) error {
						_, err := fmt.Fprintf(w, "state at %d", meta.Index)
						return err
					})
				})
				p.snapshot = meta.Index
			case 2:
				term++
				retry("append a vote", func() error { return s.Append(&pb.HardState{Term: term, Vote: "d2"}, nil, nil) })
				p.term = term
			default:
				var entries []*pb.Entry
				for i := range uint64(1 + rng.IntN(4)) {
					entries = append(entries, entry(last+1+i, term))
				}
				retry("append", func() error { return s.Append(&pb.HardState{Term: term}, entries, nil) })
				for _, e := range entries {
					p.entries[e.Index] = e.Term
				}
				last += uint64(len(entries))
				p.term, p.last = term, last
			}
		}
	}
	t.Logf("%d operations without room, %d restarts", refused, reopened)
	if refused < *fullSeeds {
		t.Errorf("only %d operations found no room", refused)
	}
}
