package storage

import (
	"encoding/binary"
	"io"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2/record"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// Store is an open data folder. It implements replication.Storage. One goroutine calls
// Append and InstallSnapshot; another may call SaveSnapshot concurrently.
type Store struct {
	fs   vfs.FS
	dir  string
	lock io.Closer
	id   *pb.DiskIdentity

	mu       sync.Mutex
	failure  error
	file     vfs.File
	writer   *record.Writer
	sequence uint64
	// latest holds the latest hard state and marks, which the first record of every log
	// file repeats.
	latest   *pb.LogBatch
	segments []segment
	// pendingReset, if set, becomes the ResetIndex of the next log file's first record.
	pendingReset uint64
	snapshot     *pb.SnapshotMeta
	summary      summary
}

// summary says what Open found in a data folder.
type summary struct {
	// files and records count the log's files and their valid records.
	files, records int
	// tornBytes is the size of the torn tails that were discarded.
	tornBytes int64
	// snapshotIndex and lastIndex are the last entries of the snapshot and of the log.
	snapshotIndex, lastIndex uint64
}

// segment is one log file. lastIndex is the highest index of its entries and resets, and records
// the number of its valid records.
type segment struct {
	firstSequence uint64
	lastIndex     uint64
	records       uint64
}

func (s segment) hasRecord() bool { return s.records > 0 }

// Open locks the data folder, reads and verifies all of it, makes it durable, and returns
// the state that it holds. A folder without an identity gets a new one with a random disk
// id. Errors have kind damaged-storage, wrong-disk, invalid-settings (another process uses
// the folder) or internal.
func Open(fs vfs.FS, dir, node string) (*Store, replication.RestoredState, error) {
	s := &Store{fs: fs, dir: dir, latest: &pb.LogBatch{HardState: &pb.HardState{}}, sequence: 1}
	none := replication.RestoredState{}
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, none, errors.Wrap(err, "create the data folder")
	}
	for d := dir; fs.PathDir(d) != d; d = fs.PathDir(d) {
		// This process did not create a parent that it has no permission to open, so that
		// one needs no sync.
		if err := durable.SyncDir(fs, fs.PathDir(d)); err != nil && !oserror.IsPermission(err) {
			return nil, none, err
		}
	}
	lock, err := fs.Lock(fs.PathJoin(dir, lockName))
	if err != nil {
		return nil, none, errkind.Wrap(err, errkind.InvalidSettings, "the data folder %s is in use by another process", dir)
	}
	s.lock = lock
	r, err := s.load(node)
	if err != nil {
		_ = lock.Close()
		return nil, none, err
	}
	return s, r, nil
}

// OpenLogged is like Open and logs what it found, or why it failed.
func OpenLogged(fs vfs.FS, dir, node string, log hclog.Logger) (*Store, replication.RestoredState, error) {
	s, restored, err := Open(fs, dir, node)
	if err != nil {
		log.Error("data folder not opened", "folder", dir, "error", err)
		return nil, restored, err
	}
	m := &s.summary
	log.Info("data folder opened", "folder", dir, "disk", s.DiskID(), "log-files", m.files, "records", m.records, "torn-bytes", m.tornBytes,
		"snapshot-index", m.snapshotIndex, "last-index", m.lastIndex)
	return s, restored, nil
}

// DiskID returns the random id of the folder.
func (s *Store) DiskID() string { return s.id.Disk }

func (s *Store) load(node string) (replication.RestoredState, error) {
	restored := replication.RestoredState{}
	// Files that a killed process created, renamed or removed may not be durable yet.
	if err := durable.SyncDir(s.fs, s.dir); err != nil {
		return restored, err
	}
	names, err := s.fs.List(s.dir)
	if err != nil {
		return restored, errors.Wrap(err, "list the data folder")
	}
	if err := s.removeTemporaryFiles(names); err != nil {
		return restored, err
	}
	if err := s.loadIdentity(node, names); err != nil {
		return restored, err
	}
	if err := s.loadSnapshot(listNumbered(names, snapshotPrefix)); err != nil {
		return restored, err
	}
	loader := &logLoader{snapshotIndex: s.snapshot.GetIndex(), snapshotTerm: s.snapshot.GetTerm(), latest: s.latest}
	if err := s.loadLog(listNumbered(names, logPrefix), loader); err != nil {
		return restored, err
	}
	restored.HardState, restored.Snapshot, restored.Marks = s.latest.HardState, s.snapshot, s.latest.Marks
	restored.Entries, err = loader.entriesAfterSnapshot()
	s.summary.snapshotIndex = s.snapshot.GetIndex()
	s.summary.lastIndex = s.summary.snapshotIndex + uint64(len(restored.Entries))
	if len(restored.Entries) == 0 && len(loader.entries) > 0 {
		// The process crashed after the snapshot was installed and before the batch with
		// the ResetIndex was written.
		s.pendingReset = loader.snapshotIndex
	}
	return restored, err
}

func (s *Store) loadIdentity(node string, names []string) error {
	id, err := readIdentity(s.fs, s.dir)
	if oserror.IsNotExist(err) {
		if len(listNumbered(names, logPrefix))+len(listNumbered(names, snapshotPrefix)) > 0 {
			return errkind.New(errkind.DamagedStorage, "the data folder holds a log or snapshot but no file %s; %s", identityName, repairHint)
		}
		id = &pb.DiskIdentity{Format: formatVersion, Disk: uuid.NewString(), Node: node}
		err = writeIdentity(s.fs, s.dir, id)
	}
	if err != nil {
		return err
	}
	if id.Node != node {
		return errkind.New(errkind.WrongDisk, "the data folder belongs to control process %q, not to %q", id.Node, node)
	}
	s.id = id
	return nil
}

func (s *Store) removeTemporaryFiles(names []string) error {
	for _, n := range names {
		if strings.HasSuffix(n, durable.TempSuffix) {
			if err := s.fs.Remove(s.fs.PathJoin(s.dir, n)); err != nil {
				return errors.Wrapf(err, "remove %s", n)
			}
		}
	}
	return nil
}

func (s *Store) loadLog(numbers []uint64, l *logLoader) error {
	for i, n := range numbers {
		if i == 0 && s.snapshot == nil && n != 1 {
			return errkind.New(errkind.DamagedStorage, "the first log file begins with record %d and the folder has no snapshot: a file is missing; %s", n, repairHint)
		}
		if i > 0 && n != s.sequence {
			return s.gapError(numberedName(logPrefix, numbers[i-1]), n)
		}
		data, err := durable.ReadFile(s.fs, s.fs.PathJoin(s.dir, numberedName(logPrefix, n)))
		if err != nil {
			return errors.Wrap(err, "read the log")
		}
		l.highestIndex = 0
		var torn int64
		s.sequence, torn, err = readLog(data, n, l.applyBatch)
		if err != nil {
			return err
		}
		s.segments = append(s.segments, segment{firstSequence: n, lastIndex: l.highestIndex, records: s.sequence - n})
		s.summary.files++
		s.summary.records += int(s.sequence - n)
		s.summary.tornBytes += torn
	}
	return nil
}

// gapError says that the log continues with a later record than the one that should
// follow the file named previous.
func (s *Store) gapError(previous string, next uint64) error {
	return errkind.New(errkind.DamagedStorage, "log file %s ends with record %d, with %d unreadable bytes after it in this and earlier files, and the next file begins with record %d: records or a file are missing; %s",
		previous, s.sequence-1, s.summary.tornBytes, next, repairHint)
}

// Append makes the hard state, entries and marks durable. hs may be nil. After an error of
// kind disk-full nothing was accepted, and the call may be repeated; after any other error
// the Store refuses all further use.
func (s *Store) Append(hs *pb.HardState, entries []*pb.Entry, marks []*pb.Mark) error {
	return s.write(&pb.LogBatch{HardState: hs, Entries: entries, Marks: marks})
}

func (s *Store) write(b *pb.LogBatch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	latest := &pb.LogBatch{HardState: s.latest.HardState, Marks: s.latest.Marks}
	if b.HardState != nil {
		latest.HardState = b.HardState
	}
	if len(b.Marks) > 0 {
		latest.Marks = b.Marks
	}
	if s.writer == nil {
		if err := s.createLogFile(); err != nil {
			return s.failWrite(err)
		}
		b.HardState, b.Marks = latest.HardState, latest.Marks
		b.ResetIndex = max(b.ResetIndex, s.pendingReset)
	}
	if err := s.writeRecord(b); err != nil {
		return s.failWrite(err)
	}
	s.latest, s.pendingReset = latest, 0
	return nil
}

// failWrite records that a record was not written. If the disk is full, the record is
// written again later, to a new log file: what there is of it ends the current one as a torn
// tail.
func (s *Store) failWrite(err error) error {
	if !durable.IsDiskFull(err) || errors.Is(err, errSync) {
		return s.fail(err)
	}
	if s.file != nil {
		_ = s.file.Close() // All its valid records are synced.
		s.file, s.writer = nil, nil
	}
	return errkind.Wrap(err, errkind.DiskFull, "the log was not written")
}

// errSync marks a failed sync, after which the content of the disk is unknown.
var errSync = errors.New("sync failed")

// fail records a failed disk operation, after which the Store refuses all further use.
// It returns nil if err is nil.
func (s *Store) fail(err error) error {
	if err != nil {
		s.failure = errkind.Wrap(err, errkind.DamagedStorage, "a disk operation failed; the process stops, since the content of the disk is unknown")
		return s.failure
	}
	return nil
}

// createLogFile creates the next log file and makes its name durable.
func (s *Store) createLogFile() error {
	// A file of this name exists if the first record in it was torn. It holds no valid
	// record and is overwritten.
	f, err := s.fs.Create(s.fs.PathJoin(s.dir, numberedName(logPrefix, s.sequence)), vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrap(err, "create a log file")
	}
	if err := durable.SyncDir(s.fs, s.dir); err != nil {
		_ = f.Close()
		return errors.Mark(err, errSync)
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].firstSequence == s.sequence {
		s.segments = s.segments[:n-1]
	}
	s.file, s.writer = f, record.NewWriter(f)
	s.segments = append(s.segments, segment{firstSequence: s.sequence})
	return nil
}

func (s *Store) writeRecord(b *pb.LogBatch) error {
	b.Sequence = s.sequence
	data := binary.BigEndian.AppendUint64(make([]byte, 0, sequenceSize+proto.Size(b)), b.Sequence)
	data, err := proto.MarshalOptions{}.MarshalAppend(data, b)
	if err != nil {
		return err
	}
	if _, err := s.writer.WriteRecord(data); err != nil {
		return errors.Wrap(err, "write the log")
	}
	if err := s.writer.Flush(); err != nil {
		return errors.Wrap(err, "write the log")
	}
	if err := s.file.Sync(); err != nil {
		return errors.Mark(errors.Wrap(err, "sync the log"), errSync)
	}
	s.sequence++
	seg := &s.segments[len(s.segments)-1]
	seg.records++
	if n := len(b.Entries); n > 0 {
		seg.lastIndex = max(seg.lastIndex, b.Entries[n-1].Index)
	}
	seg.lastIndex = max(seg.lastIndex, b.ResetIndex)
	return nil
}

// Close closes the log file and releases the lock on the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = errors.New("the data folder is closed")
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.CombineErrors(err, s.lock.Close())
}
