package storage

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// quotaFS is a file system of limited size, of which other files may take a part.
type quotaFS struct {
	vfs.FS
	capacity, others int
	sizes            map[string]int
}

// own returns the size of all files of the data folder.
func (q *quotaFS) own() (total int) {
	for _, n := range q.sizes {
		total += n
	}
	return total
}

func (q *quotaFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := q.FS.Create(name, category)
	q.sizes[name] = 0
	return &quotaFile{f, q, name}, err
}

func (q *quotaFS) Rename(from, to string) error {
	q.sizes[to] = q.sizes[from]
	delete(q.sizes, from)
	return q.FS.Rename(from, to)
}

func (q *quotaFS) Remove(name string) error {
	delete(q.sizes, name)
	return q.FS.Remove(name)
}

type quotaFile struct {
	vfs.File
	fs   *quotaFS
	name string
}

func (f *quotaFile) Write(p []byte) (int, error) {
	room := max(0, f.fs.capacity-f.fs.others-f.fs.own())
	n, err := f.File.Write(p[:min(len(p), room)])
	f.fs.sizes[f.name] += n
	if err == nil && n < len(p) {
		err = &noSpaceError{"write", f.name}
	}
	return n, err
}

// Guards against a disk that the store's own files fill: torn records, snapshots that were not
// finished and old files, of a voter with large changes whose disk other files fill now and then, and
// that is killed in between. All must fit into a bounded part of the disk, and with that part free a
// record and a snapshot must find room.
func TestOwnFilesTakeABoundedPartOfTheDisk(t *testing.T) {
	// All sizes are a hundredth of those of a directory process: its changes have up to 3 MB, as has
	// its state, a snapshot is due after 1 MB of log, and its disk has 128 MB.
	const (
		maxRecord, maxState, snapshotDue, capacity = 30_000, 30_000, 10_000, 1_280_000
		// Two snapshots, the log since the older one, which ends with a record beyond what makes
		// a snapshot due, and twice a torn record. A record and a snapshot have headers.
		bound = 2*maxState + 2*(max(snapshotDue, maxState)+maxRecord) + 2*maxRecord + 10_000
	)
	refused, most := 0, 0
	seeds := max(1, *fullSeeds/15) // Each is as long as 15 of the other schedules.
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 4))
		disk := &quotaFS{FS: vfs.NewMem(), capacity: capacity, sizes: map[string]int{}}
		s, _, err := Open(disk, testDir, "c1")
		if err != nil {
			t.Fatal(err)
		}
		last, sinceSnapshot, snapshot := uint64(0), 0, 0
		for step := range 120 {
			switch rng.IntN(8) {
			case 0, 1:
				disk.others = capacity - disk.own() - rng.IntN(maxRecord)
			case 2, 3:
				disk.others = capacity - bound - maxRecord
			case 4:
				if err := s.Close(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				if s, _, err = Open(disk, testDir, "c1"); err != nil {
					t.Fatalf("seed %d, step %d: %v", seed, step, err)
				}
			}
			free := disk.others <= capacity-bound-maxRecord
			check := func(what string, err error) bool {
				if err != nil && (free || !errkind.Is(err, errkind.DiskFull)) {
					t.Fatalf("seed %d, step %d: %s with %d of %d bytes taken by others: %v", seed, step, what, disk.others, capacity, err)
				}
				if err != nil {
					refused++
				}
				return err == nil
			}
			e := entry(last+1, 1)
			e.Data = []byte(strings.Repeat("x", 1+rng.IntN(maxRecord-100)))
			if check("append", s.Append(&pb.HardState{Term: 1}, []*pb.Entry{e}, nil)) {
				last++
				sinceSnapshot += len(e.Data)
			}
			if sinceSnapshot > max(snapshotDue, snapshot) {
				size := rng.IntN(maxState)
				if check("save a snapshot", s.SaveSnapshot(&pb.SnapshotMeta{Index: last, Term: 1}, func(w io.Writer) error {
					_, err := fmt.Fprint(w, strings.Repeat("x", size))
					return err
				})) {
					sinceSnapshot, snapshot = 0, size
				}
			}
			most = max(most, disk.own())
			if own := disk.own(); own > bound {
				t.Fatalf("seed %d, step %d: the store's files have %d bytes, bound %d: %v", seed, step, own, bound, disk.sizes)
			}
		}
	}
	t.Logf("%d operations without room; the store's files had at most %d bytes, bound %d", refused, most, bound)
	if refused < seeds {
		t.Errorf("only %d operations found no room", refused)
	}
}
