package storage

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// snapshotSizes are sizes around those of the parts in which snapshots are written and sent, and
// around the blocks of the record format.
var snapshotSizes = []int{0, 1, 32<<10 - 20, 32 << 10, snapshotPartSize - 1, snapshotPartSize, snapshotPartSize + 1, 2 * snapshotPartSize, 3*snapshotPartSize + 7, 2 << 20}

// snapshotReads are the ways in which a state machine may read its state: up to the end that the reader
// reports, once more after it, and only as far as its own format tells.
var snapshotReads = map[string]func(r io.Reader, size int) ([]byte, error){
	"to the end": func(r io.Reader, _ int) ([]byte, error) { return io.ReadAll(r) },
	"again after the end": func(r io.Reader, _ int) ([]byte, error) {
		data, err := io.ReadAll(r)
		if err == nil {
			_, err = io.ReadAll(r)
		}
		return data, err
	},
	"its own length": func(r io.Reader, size int) ([]byte, error) {
		data := make([]byte, size)
		_, err := io.ReadFull(r, data)
		return data, err
	},
}

// writeInChunks writes data as a state machine does that writes chunk bytes at a time.
func writeInChunks(data []byte, chunk int) func(io.Writer) error {
	return func(w io.Writer) error {
		for rest := data; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
			if _, err := w.Write(rest[:min(chunk, len(rest))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against a sound snapshot that cannot be loaded, so that the state is lost with the first
// restart of all voters: the reader did not remember its end, and LoadSnapshot reads on to verify.
func TestASoundSnapshotIsLoadedHoweverItIsRead(t *testing.T) {
	for _, size := range snapshotSizes {
		data := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		for _, chunk := range []int{64 << 10, snapshotPartSize, 4 << 20} {
			fs := vfs.NewMem()
			s, _, err := Open(fs, testDir, "c1")
			if err != nil {
				t.Fatal(err)
			}
			meta := &pb.SnapshotMeta{Index: 7, Term: 2}
			if err := s.SaveSnapshot(meta, writeInChunks(data, chunk)); err != nil {
				t.Fatal(err)
			}
			for name, read := range snapshotReads {
				got := []byte(nil)
				loaded, err := s.LoadSnapshot(func(r io.Reader) error {
					var err error
					got, err = read(r, size)
					return err
				})
				if err != nil || loaded.GetIndex() != meta.Index || !bytes.Equal(got, data) {
					t.Errorf("%d bytes written %d at a time, read %s: %d bytes at index %d: %v", size, chunk, name, len(got), loaded.GetIndex(), err)
				}
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			if _, restored, err := Open(fs, testDir, "c1"); err != nil || restored.Snapshot.GetIndex() != meta.Index {
				t.Errorf("%d bytes: opened again with the snapshot at %d: %v", size, restored.Snapshot.GetIndex(), err)
			}
		}
	}
}

// Guards against a snapshot that is damaged and passes for sound: LoadSnapshot must say so, also if the state
// machine reads no further than its own format tells, or ignores the error.
func TestADamagedSnapshotIsReportedHoweverItIsRead(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcde"), snapshotPartSize/8)
	for name, read := range snapshotReads {
		fs := vfs.NewMem()
		s, _, err := Open(fs, testDir, "c1")
		if err != nil {
			t.Fatal(err)
		}
		if err := s.SaveSnapshot(&pb.SnapshotMeta{Index: 7, Term: 2}, writeInChunks(data, 64<<10)); err != nil {
			t.Fatal(err)
		}
		path := fs.PathJoin(testDir, numberedName(snapshotPrefix, 7))
		file, err := durable.ReadFile(fs, path)
		if err != nil {
			t.Fatal(err)
		}
		for _, at := range []int{len(file) / 2, len(file) - 4} {
			damaged := bytes.Clone(file)
			damaged[at] ^= 1
			writeFile(t, fs, path, damaged)
			_, err := s.LoadSnapshot(func(r io.Reader) error { _, _ = read(r, len(data)); return nil })
			if !errkind.Is(err, errkind.DamagedStorage) {
				t.Errorf("byte %d of %d changed, read %s: %v", at, len(file), name, err)
			}
		}
		writeFile(t, fs, path, file[:len(file)-8])
		if _, err := s.LoadSnapshot(func(r io.Reader) error { _, _ = read(r, len(data)); return nil }); !errkind.Is(err, errkind.DamagedStorage) {
			t.Errorf("without its last bytes, read %s: %v", name, err)
		}
	}
}

// Guards against a snapshot that a follower cannot load once it has come from the leader.
func TestAReceivedSnapshotOfEachSizeIsLoaded(t *testing.T) {
	for _, size := range snapshotSizes {
		data := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		from, _, err := Open(vfs.NewMem(), testDir, "c1")
		if err != nil {
			t.Fatal(err)
		}
		if err := from.SaveSnapshot(&pb.SnapshotMeta{Index: 7, Term: 2}, writeInChunks(data, 64<<10)); err != nil {
			t.Fatal(err)
		}
		fs := vfs.NewMem()
		to, _, err := Open(fs, testDir, "c2")
		if err != nil {
			t.Fatal(err)
		}
		f, _, err := from.OpenSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		var received *replication.ReceivedSnapshot
		received, err = to.ReceiveSnapshot(func(w io.Writer) error { _, err := io.Copy(w, f); return err })
		if err == nil {
			err = to.InstallSnapshot(received)
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, restart := range []bool{false, true} {
			if restart {
				if err := to.Close(); err != nil {
					t.Fatal(err)
				}
				if to, _, err = Open(fs, testDir, "c2"); err != nil {
					t.Fatal(err)
				}
			}
			var got []byte
			_, err := to.LoadSnapshot(func(r io.Reader) error { got, err = io.ReadAll(r); return err })
			if err != nil || !bytes.Equal(got, data) {
				t.Errorf("%d bytes, after a restart: %v: %d bytes: %v", size, restart, len(got), err)
			}
		}
	}
}

func writeFile(t *testing.T, fs vfs.FS, path string, data []byte) {
	t.Helper()
	f, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	if err == nil {
		_, err = f.Write(data)
		err = errors.CombineErrors(err, f.Close())
	}
	if err != nil {
		t.Fatal(err)
	}
}
