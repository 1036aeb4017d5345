package storage

import (
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/record"
	"github.com/cockroachdb/pebble/v2/vfs"
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// snapshotPart is the size of the records that a snapshot is split into.
const snapshotPart = 256 << 10

// WriteSnapshot writes a snapshot file: a header, the data in parts, a trailer.
func WriteSnapshot(w io.Writer, meta *pb.SnapshotMeta, write func(io.Writer) error) error {
	rw := record.NewWriter(w)
	if err := writeMessage(rw, &pb.SnapshotHeader{Format: formatVersion, Meta: meta}); err != nil {
		return err
	}
	pw := &partWriter{rw: rw, hash: xxhash.New()}
	if err := write(pw); err != nil {
		return err
	}
	if err := pw.flush(); err != nil {
		return err
	}
	if err := writeMessage(rw, &pb.SnapshotTrailer{Bytes: pw.total, Hash: pw.hash.Sum64()}); err != nil {
		return err
	}
	return errors.Wrap(rw.Close(), "write a snapshot")
}

func writeMessage(rw *record.Writer, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	_, err = rw.WriteRecord(data)
	return errors.Wrap(err, "write a snapshot")
}

type partWriter struct {
	rw    *record.Writer
	buf   []byte
	total uint64
	hash  *xxhash.Digest
}

func (p *partWriter) Write(b []byte) (int, error) {
	p.buf = append(p.buf, b...)
	if len(p.buf) < snapshotPart {
		return len(b), nil
	}
	return len(b), p.flush()
}

func (p *partWriter) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	p.total += uint64(len(p.buf))
	_, _ = p.hash.Write(p.buf)
	// The first byte tells data from the trailer.
	_, err := p.rw.WriteRecord(append([]byte{dataPart}, p.buf...))
	p.buf = p.buf[:0]
	return errors.Wrap(err, "write a snapshot")
}

// dataPart cannot begin a protobuf message: it is field 0.
const dataPart = 0

// SnapshotReader reads a snapshot file. It reports io.EOF only after the
// trailer was found to agree.
type SnapshotReader struct {
	Meta  *pb.SnapshotMeta
	rr    *record.Reader
	buf   []byte
	total uint64
	hash  *xxhash.Digest
}

// ReadSnapshot begins to read a snapshot file. Errors have kind damaged-storage.
func ReadSnapshot(r io.Reader) (*SnapshotReader, error) {
	rr := record.NewReader(r, 0)
	h := &pb.SnapshotHeader{}
	part, err := rr.Next()
	if err == nil {
		err = readMessage(part, h)
	}
	if err != nil {
		return nil, damagedSnapshot(err)
	}
	if h.Format != formatVersion || h.Meta == nil {
		return nil, errkind.New(errkind.DamagedStorage, "the snapshot has format %d and this program reads %d", h.Format, formatVersion)
	}
	return &SnapshotReader{Meta: h.Meta, rr: rr, hash: xxhash.New()}, nil
}

func damagedSnapshot(err error) error {
	return errkind.Wrap(err, errkind.DamagedStorage, "the snapshot is damaged; %s", wayOut)
}

// Read returns the snapshot's data.
func (s *SnapshotReader) Read(p []byte) (int, error) {
	if len(s.buf) == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.buf)
	s.buf = s.buf[n:]
	return n, nil
}

func (s *SnapshotReader) next() error {
	r, err := s.rr.Next()
	if err != nil {
		return damagedSnapshot(err)
	}
	data, err := io.ReadAll(r)
	if err != nil || len(data) == 0 {
		return damagedSnapshot(errors.Newf("unreadable part: %v", err))
	}
	if data[0] == dataPart {
		s.buf = data[1:]
		s.total += uint64(len(s.buf))
		_, _ = s.hash.Write(s.buf)
		return nil
	}
	t := &pb.SnapshotTrailer{}
	if err := proto.Unmarshal(data, t); err != nil {
		return damagedSnapshot(err)
	}
	if t.Bytes != s.total || t.Hash != s.hash.Sum64() {
		return damagedSnapshot(errors.New("the trailer does not agree"))
	}
	return io.EOF
}

// SaveSnapshot makes a snapshot durable, then drops what it replaces: older
// snapshots, and log files with nothing after it.
func (s *Store) SaveSnapshot(meta *pb.SnapshotMeta, write func(io.Writer) error) error {
	err := writeWhole(s.fs, s.dir, numbered(snapPrefix, meta.Index), func(w io.Writer) error {
		return WriteSnapshot(w, meta, write)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return s.breaks(err)
	}
	if meta.Index > s.snapshot.GetIndex() {
		s.snapshot = meta
	}
	return s.breaks(s.dropOld())
}

// dropOld also ends the current log file, so that a later call can drop it.
func (s *Store) dropOld() error {
	if s.file != nil {
		err := s.file.Close()
		s.file, s.writer = nil, nil
		if err != nil {
			return errors.Wrap(err, "close a log file")
		}
	}
	names, err := s.fs.List(s.dir)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	for _, n := range listNumbered(names, snapPrefix) {
		if n < s.snapshot.Index {
			if err := s.fs.Remove(s.fs.PathJoin(s.dir, numbered(snapPrefix, n))); err != nil {
				return errors.Wrap(err, "remove an old snapshot")
			}
		}
	}
	for len(s.segments) > 1 && s.segments[0].last <= s.snapshot.Index {
		if err := s.fs.Remove(s.fs.PathJoin(s.dir, numbered(logPrefix, s.segments[0].number))); err != nil {
			return errors.Wrap(err, "remove an old log file")
		}
		s.segments = slices.Delete(s.segments, 0, 1)
	}
	return syncDir(s.fs, s.dir)
}

// ReceiveSnapshot stores a snapshot file that comes from another process under
// a temporary name, and checks it whole.
func (s *Store) ReceiveSnapshot(write func(io.Writer) error) (*replication.Received, error) {
	path := s.fs.PathJoin(s.dir, numbered("received-", 0)+tempSuffix)
	f, err := s.fs.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return nil, errors.Wrap(err, "create a snapshot")
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		return nil, err
	}
	return s.checkReceived(path)
}

func (s *Store) checkReceived(path string) (*replication.Received, error) {
	f, err := s.fs.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r, err := ReadSnapshot(f)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, r); err != nil {
		return nil, err
	}
	return &replication.Received{Meta: r.Meta, Path: path}, nil
}

// InstallSnapshot puts a received snapshot in place of the log.
func (s *Store) InstallSnapshot(r *replication.Received) error {
	final := s.fs.PathJoin(s.dir, numbered(snapPrefix, r.Meta.Index))
	err := s.fs.Rename(r.Path, final)
	if err == nil {
		err = syncDir(s.fs, s.dir)
	}
	s.mu.Lock()
	if err != nil {
		defer s.mu.Unlock()
		return s.breaks(err)
	}
	s.snapshot = r.Meta
	s.mu.Unlock()
	if err := s.write(&pb.LogBatch{ResetIndex: r.Meta.Index}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaks(s.dropOld())
}

// OpenSnapshot opens the newest snapshot file as it stands on disk.
func (s *Store) OpenSnapshot() (io.ReadCloser, *pb.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return nil, nil, errkind.New(errkind.NotFound, "there is no snapshot yet")
	}
	f, err := s.fs.Open(s.fs.PathJoin(s.dir, numbered(snapPrefix, s.snapshot.Index)))
	return f, s.snapshot, err
}

// loadSnapshot finds the newest snapshot; its content is checked when it is read.
func (s *Store) loadSnapshot(numbers []uint64) error {
	if len(numbers) == 0 {
		return nil
	}
	n := numbers[len(numbers)-1]
	f, err := s.fs.Open(s.fs.PathJoin(s.dir, numbered(snapPrefix, n)))
	if err != nil {
		return errors.Wrap(err, "open a snapshot")
	}
	defer f.Close()
	r, err := ReadSnapshot(f)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, r); err != nil {
		return err
	}
	s.snapshot = r.Meta
	return nil
}

// LoadSnapshot gives the newest snapshot's data to read, and checks it whole.
func (s *Store) LoadSnapshot(read func(io.Reader) error) error {
	f, _, err := s.OpenSnapshot()
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := ReadSnapshot(f)
	if err != nil {
		return err
	}
	if err := read(r); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r)
	return err
}
