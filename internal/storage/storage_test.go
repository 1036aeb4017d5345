package storage

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

const testDir = "/data/control"

func entry(i, term uint64) *pb.Entry {
	return &pb.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)}
}

// acknowledged is the state that a Store has confirmed to be durable.
type acknowledged struct {
	term, snapshot uint64
	entries        map[uint64]uint64
	last           uint64
	started        bool
}

// runSchedule runs a fixed schedule of appends, truncations, snapshots and installs
// until a file operation fails. It records in p what was acknowledged.
func runSchedule(fs vfs.FS, p *acknowledged) {
	s, r, err := Open(fs, testDir, "c1")
	if err != nil {
		return
	}
	defer s.Close()
	term := r.HardState.Term + 1
	last := r.Snapshot.GetIndex() + uint64(len(r.Entries))
	for round := range uint64(4) {
		p.started = true
		first := last + 1
		if round == 2 && first > p.snapshot+2 {
			first--
		}
		var entries []*pb.Entry
		for i := first; i < first+3; i++ {
			entries = append(entries, entry(i, term))
		}
		if s.Append(&pb.HardState{Term: term, Commit: first - 1}, entries, nil) != nil {
			return
		}
		p.term, last, p.last = term, first+2, first+2
		for _, e := range entries {
			p.entries[e.Index] = e.Term
		}
		if round%2 == 1 && !snapshotAt(s, p, last-1) {
			return
		}
		term++
	}
	if !installAt(s, p, last+10, term) {
		return
	}
	if s.Append(nil, []*pb.Entry{entry(last+11, term)}, nil) == nil {
		p.last = last + 11
		p.entries[p.last] = term
	}
}

func snapshotAt(s *Store, p *acknowledged, i uint64) bool {
	meta := &pb.SnapshotMeta{Index: i, Term: p.entries[i]}
	err := s.SaveSnapshot(meta, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "state at %d", i)
		return err
	})
	if err == nil {
		p.snapshot = i
	}
	return err == nil
}

func installAt(s *Store, p *acknowledged, i, term uint64) bool {
	received, err := s.ReceiveSnapshot(func(w io.Writer) error {
		return WriteSnapshot(w, &pb.SnapshotMeta{Index: i, Term: term}, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "state at %d", i)
			return err
		})
	})
	if err != nil || s.InstallSnapshot(received) != nil {
		return false
	}
	p.snapshot, p.last = i, i
	return true
}

func checkRestored(t *testing.T, at string, r replication.RestoredState, p *acknowledged) {
	t.Helper()
	if r.HardState.Term < p.term {
		t.Fatalf("%s: term %d was acknowledged, %d restored", at, p.term, r.HardState.Term)
	}
	base := r.Snapshot.GetIndex()
	if base < p.snapshot || base+uint64(len(r.Entries)) < p.last {
		t.Fatalf("%s: acknowledged to %d with snapshot %d, restored %d with snapshot %d", at, p.last, p.snapshot, base+uint64(len(r.Entries)), base)
	}
	for i := base + 1; i <= p.last; i++ {
		if e := r.Entries[i-base-1]; e.Term < p.entries[i] || e.Index != i {
			t.Fatalf("%s: entry %d has term %d, acknowledged %d", at, i, e.Term, p.entries[i])
		}
	}
}

// TestCrashAtEachOperation guards against the loss of acknowledged data in a crash. It
// crashes before each file operation in turn, and once more after the restart, and keeps
// none, some or all of the unsynced data. The folder must open afterwards and hold all
// acknowledged data.
func TestCrashAtEachOperation(t *testing.T) {
	crashes := 0
	for _, keepPercent := range []int{0, 50, 100} {
		for first := 0; ; first++ {
			done := false
			for second := range 8 {
				rng := rand.New(rand.NewPCG(uint64(first), uint64(second)))
				p := &acknowledged{entries: map[uint64]uint64{}}
				mem := vfs.NewCrashableMem()
				var crashed bool
				for _, at := range []int{first, second * 7} {
					mem, crashed = runUntilCrash(mem, at, keepPercent, rng, p)
					_, r, err := Open(mem.CrashClone(vfs.CrashCloneCfg{}), testDir, "c1")
					if err != nil {
						t.Fatalf("keep %d%%, crash at %d, then %d: %v", keepPercent, first, second*7, err)
					}
					checkRestored(t, fmt.Sprintf("keep %d%%, crash at %d, then %d", keepPercent, first, second*7), r, p)
					crashes++
					if at == first && !crashed {
						done = true
					}
				}
			}
			if done {
				break
			}
		}
	}
	t.Logf("%d crashes", crashes)
	if crashes < 1000 {
		t.Fatalf("only %d crashes were simulated, want at least 1000", crashes)
	}
}

// runUntilCrash runs the schedule, crashes before the write operation number at, and
// returns the content of the disk after the crash.
func runUntilCrash(mem *vfs.MemFS, at, keepPercent int, rng *rand.Rand, p *acknowledged) (*vfs.MemFS, bool) {
	var remaining *vfs.MemFS
	lose := func() { remaining = mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: keepPercent, RNG: rng}) }
	crashed := runUntilStop(mem, at, lose, p)
	if !crashed {
		lose()
	}
	return remaining, crashed
}

// runUntilStop runs the schedule, calls stop before the write operation number at and
// lets that operation and all later ones fail. It returns whether it came that far.
func runUntilStop(mem *vfs.MemFS, at int, stop func(), p *acknowledged) bool {
	n, stopped := 0, false
	fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if stopped || op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			n++
		}
		if n > at && !stopped {
			stopped = true
			stop()
		}
		if stopped {
			return errors.New("crashed")
		}
		return nil
	}))
	runSchedule(fs, p)
	return stopped
}

// TestKillThenPowerLoss guards against a data folder that does not open, or has lost
// acknowledged data, after a power loss that follows a kill of the process. The kill
// leaves unsynced data that the next process reads back and builds on.
func TestKillThenPowerLoss(t *testing.T) {
	for _, keepPercent := range []int{0, 50} {
		t.Run(fmt.Sprintf("keep %d%%", keepPercent), func(t *testing.T) {
			t.Parallel()
			killThenPowerLoss(t, keepPercent)
		})
	}
}

func killThenPowerLoss(t *testing.T, keepPercent int) {
	losses := 0
	for killAt, killed := 0, true; killed; killAt++ {
		for lossAt, lost := 0, true; lost; lossAt++ {
			at := fmt.Sprintf("kill at %d, power loss at %d", killAt, lossAt)
			p := &acknowledged{entries: map[uint64]uint64{}}
			mem := vfs.NewCrashableMem()
			killed = runUntilStop(mem, killAt, func() {}, p)
			rng := rand.New(rand.NewPCG(uint64(killAt), uint64(lossAt)))
			mem, lost = runUntilCrash(mem, lossAt, keepPercent, rng, p)
			_, r, err := Open(mem, testDir, "c1")
			if err != nil {
				t.Fatalf("%s: %v", at, err)
			}
			checkRestored(t, at, r, p)
			losses++
		}
	}
	if losses < 1000 {
		t.Fatalf("only %d power losses were simulated, want at least 1000", losses)
	}
}

// encodedLog writes a log of n batches and returns the content of the file.
func encodedLog(t testing.TB, n int) []byte {
	fs := vfs.NewMem()
	s, _, err := Open(fs, testDir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(n) {
		if err := s.Append(&pb.HardState{Term: 1, Commit: i}, []*pb.Entry{entry(i+1, 1)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	data, err := durable.ReadFile(fs, fs.PathJoin(testDir, numberedName(logPrefix, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestDamagedRecord flips a bit in each byte of a log in turn. readLog must fail if the
// byte is before the last record, and discard the last record otherwise. A truncated
// log must always be read without an error.
func TestDamagedRecord(t *testing.T) {
	const n = 12
	data := encodedLog(t, n)
	lastAt := len(encodedLog(t, n-1))
	for at := range data {
		bad := bytes.Clone(data)
		bad[at] ^= 0x10
		next, _, err := readLog(bad, 1, func(*pb.LogBatch) error { return nil })
		if at < lastAt && !errkind.Is(err, errkind.DamagedStorage) {
			t.Fatalf("bit flip in byte %d of %d: got %v and next sequence %d, want kind damaged-storage", at, len(data), err, next)
		}
		if at >= lastAt && (err != nil || next != n) {
			t.Fatalf("bit flip in byte %d, in the last record: got %v and next sequence %d", at, err, next)
		}
	}
	for cut := range data {
		if _, _, err := readLog(data[:cut], 1, func(*pb.LogBatch) error { return nil }); err != nil {
			t.Fatalf("log truncated to %d bytes: %v", cut, err)
		}
	}
}

func TestOpenRejectsInvalidFolder(t *testing.T) {
	fs := vfs.NewMem()
	s, _, err := Open(fs, testDir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(6) {
		if err := s.Append(&pb.HardState{Term: 1}, []*pb.Entry{entry(i+1, 1)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range []uint64{6, 8} {
		if err := s.SaveSnapshot(&pb.SnapshotMeta{Index: i, Term: 1}, func(io.Writer) error { return nil }); err != nil {
			t.Fatal(err)
		}
		if err := s.Append(nil, []*pb.Entry{entry(i+1, 1), entry(i+2, 1)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	_ = s.Close()
	for _, tc := range []struct {
		name   string
		damage func(*vfs.MemFS) string
		kind   errkind.Kind
	}{
		{"other node", func(*vfs.MemFS) string { return "c2" }, errkind.WrongDisk},
		{"no identity", func(m *vfs.MemFS) string { _ = m.Remove(testDir + "/identity"); return "c1" }, errkind.DamagedStorage},
		{"no snapshot", func(m *vfs.MemFS) string { _ = m.Remove(testDir + "/" + numberedName(snapshotPrefix, 8)); return "c1" }, errkind.DamagedStorage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := vfs.NewMem()
			if ok, err := vfs.Clone(fs, c, testDir, testDir); !ok || err != nil {
				t.Fatal(ok, err)
			}
			node := tc.damage(c)
			if _, _, err := Open(c, testDir, node); !errkind.Is(err, tc.kind) {
				t.Fatalf("got %v, want kind %s", err, tc.kind)
			}
		})
	}
}

func FuzzReadLog(f *testing.F) {
	whole := encodedLog(f, 5)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &logLoader{latest: &pb.LogBatch{}}
		next, _, err := readLog(data, 1, l.applyBatch)
		if err != nil && !errkind.Is(err, errkind.DamagedStorage) {
			t.Fatalf("got %v, want kind damaged-storage", err)
		}
		if uint64(len(l.entries)) > 0 && next == 1 && err == nil {
			t.Fatal("readLog returned entries but read no record")
		}
	})
}

// TestBoundedDisk checks that the number of files stays bounded over 2,000 appends with
// a snapshot every 100. Obsolete files must be removed.
func TestBoundedDisk(t *testing.T) {
	fs := vfs.NewMem()
	s, _, err := Open(fs, testDir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := uint64(1); i <= 2000; i++ {
		if err := s.Append(&pb.HardState{Term: 1}, []*pb.Entry{entry(i, 1)}, nil); err != nil {
			t.Fatal(err)
		}
		if i%100 != 0 {
			continue
		}
		if err := s.SaveSnapshot(&pb.SnapshotMeta{Index: i - 10, Term: 1}, func(io.Writer) error { return nil }); err != nil {
			t.Fatal(err)
		}
		names, _ := fs.List(testDir)
		if len(names) > 6 {
			t.Fatalf("after %d appends the folder holds %v", i, names)
		}
	}
}
