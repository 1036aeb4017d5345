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
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// Store is an open data folder. Append and InstallSnapshot are called by one
// goroutine, SaveSnapshot by another.
type Store struct {
	fs   vfs.FS
	dir  string
	lock io.Closer
	id   *pb.DiskIdentity

	mu       sync.Mutex
	broken   error
	file     vfs.File
	writer   *record.Writer
	sequence uint64
	// head is what a new log file must begin with.
	head     *pb.LogBatch
	segments []segment
	// resetTo, if set, goes into the next record's ResetIndex.
	resetTo  uint64
	snapshot *pb.SnapshotMeta
}

// segment is one log file; last is the highest index of its entries.
type segment struct {
	number uint64
	last   uint64
}

// Open locks the folder, reads it whole and returns what it holds. A folder
// without an identity gets a new one, with a random disk id. Errors have kind
// damaged-storage, wrong-disk or internal.
func Open(fs vfs.FS, dir, node string) (*Store, replication.Restored, error) {
	s := &Store{fs: fs, dir: dir, head: &pb.LogBatch{HardState: &pb.HardState{}}, sequence: 1}
	none := replication.Restored{}
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, none, errors.Wrap(err, "create the data folder")
	}
	for d := dir; fs.PathDir(d) != d; d = fs.PathDir(d) {
		// A parent that may not be opened is not one that this process made.
		if err := syncDir(fs, fs.PathDir(d)); err != nil && !oserror.IsPermission(err) {
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

// Disk returns the folder's random identity.
func (s *Store) Disk() string { return s.id.Disk }

func (s *Store) load(node string) (replication.Restored, error) {
	r := replication.Restored{}
	names, err := s.fs.List(s.dir)
	if err != nil {
		return r, errors.Wrap(err, "list the data folder")
	}
	if err := s.removeTemporary(names); err != nil {
		return r, err
	}
	if err := s.loadIdentity(node, names); err != nil {
		return r, err
	}
	if err := s.loadSnapshot(listNumbered(names, snapPrefix)); err != nil {
		return r, err
	}
	l := &loader{base: s.snapshot.GetIndex(), baseTerm: s.snapshot.GetTerm(), head: s.head}
	if err := s.loadLog(listNumbered(names, logPrefix), l); err != nil {
		return r, err
	}
	r.HardState, r.Snapshot, r.Marks = s.head.HardState, s.snapshot, s.head.Marks
	r.Entries, err = l.restored()
	if len(r.Entries) == 0 && len(l.entries) > 0 {
		// The crash came before the batch that says so.
		s.resetTo = l.base
	}
	return r, err
}

func (s *Store) loadIdentity(node string, names []string) error {
	id, err := readIdentity(s.fs, s.dir)
	if oserror.IsNotExist(err) {
		if len(listNumbered(names, logPrefix))+len(listNumbered(names, snapPrefix)) > 0 {
			return errkind.New(errkind.DamagedStorage, "the data folder has a log or snapshot but no file %s; %s", identityName, wayOut)
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

func (s *Store) removeTemporary(names []string) error {
	for _, n := range names {
		if strings.HasSuffix(n, tempSuffix) {
			if err := s.fs.Remove(s.fs.PathJoin(s.dir, n)); err != nil {
				return errors.Wrapf(err, "remove %s", n)
			}
		}
	}
	return nil
}

func (s *Store) loadLog(numbers []uint64, l *loader) error {
	for i, n := range numbers {
		if i > 0 && n != s.sequence || i == 0 && s.snapshot == nil && n != 1 {
			return errkind.New(errkind.DamagedStorage, "log file %d stands where record %d belongs: a file is missing; %s", n, s.sequence, wayOut)
		}
		data, err := readWhole(s.fs, s.fs.PathJoin(s.dir, numbered(logPrefix, n)))
		if err != nil {
			return errors.Wrap(err, "read the log")
		}
		l.high = 0
		s.sequence, err = readLog(data, n, l.take)
		if err != nil {
			return err
		}
		s.segments = append(s.segments, segment{number: n, last: l.high})
	}
	return nil
}

// Append makes the hard state, entries and marks durable. hs may be nil. After
// an error the store refuses all further use.
func (s *Store) Append(hs *pb.HardState, entries []*pb.Entry, marks []*pb.Mark) error {
	return s.write(&pb.LogBatch{HardState: hs, Entries: entries, Marks: marks})
}

func (s *Store) write(b *pb.LogBatch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return s.broken
	}
	if b.HardState != nil {
		s.head.HardState = b.HardState
	}
	if len(b.Marks) > 0 {
		s.head.Marks = b.Marks
	}
	if s.writer == nil {
		if err := s.startFile(); err != nil {
			return s.breaks(err)
		}
		b.HardState, b.Marks = s.head.HardState, s.head.Marks
		b.ResetIndex = max(b.ResetIndex, s.resetTo)
		s.resetTo = 0
	}
	return s.breaks(s.writeRecord(b))
}

func (s *Store) breaks(err error) error {
	if err != nil {
		s.broken = errkind.Wrap(err, errkind.DamagedStorage, "the disk failed; the process stops, since what the disk holds is not known")
		return s.broken
	}
	return nil
}

// startFile creates the next log file and makes its name durable.
func (s *Store) startFile() error {
	// A torn tail leaves a file that begins with this number; nothing in it counts.
	f, err := s.fs.Create(s.fs.PathJoin(s.dir, numbered(logPrefix, s.sequence)), vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrap(err, "create a log file")
	}
	if err := syncDir(s.fs, s.dir); err != nil {
		_ = f.Close()
		return err
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].number == s.sequence {
		s.segments = s.segments[:n-1]
	}
	s.file, s.writer = f, record.NewWriter(f)
	s.segments = append(s.segments, segment{number: s.sequence})
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
		return errors.Wrap(err, "sync the log")
	}
	s.sequence++
	seg := &s.segments[len(s.segments)-1]
	if n := len(b.Entries); n > 0 {
		seg.last = max(seg.last, b.Entries[n-1].Index)
	}
	seg.last = max(seg.last, b.ResetIndex)
	return nil
}

// Close ends the use of the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = errors.New("the data folder is closed")
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.CombineErrors(err, s.lock.Close())
}
