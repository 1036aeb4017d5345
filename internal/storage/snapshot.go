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
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// snapshotPartSize is the minimum size of the data records of a snapshot, except for the
// last.
const snapshotPartSize = 256 << 10

// WriteSnapshot writes a snapshot file: a header record, data records and a trailer
// record.
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
	if len(p.buf) < snapshotPartSize {
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
	// The first byte distinguishes data records from the trailer.
	_, err := p.rw.WriteRecord(append([]byte{dataPartMarker}, p.buf...))
	p.buf = p.buf[:0]
	return errors.Wrap(err, "write a snapshot")
}

// dataPartMarker is the first byte of a data record. A protobuf message cannot begin with
// it, since it would be the tag of field 0.
const dataPartMarker = 0

// SnapshotReader reads a snapshot file. Read returns io.EOF only after the size and the
// hash in the trailer were found to match the data, and then, or after an error, again the same.
type SnapshotReader struct {
	Meta  *pb.SnapshotMeta
	rr    *record.Reader
	buf   []byte
	total uint64
	hash  *xxhash.Digest
	// err is io.EOF after the trailer was read, or what Read has failed with.
	err error
}

// ReadSnapshot reads the header of a snapshot file and returns a reader for its data.
// Errors have kind damaged-storage.
func ReadSnapshot(r io.Reader) (*SnapshotReader, error) {
	rr := record.NewReader(r, 0)
	h := &pb.SnapshotHeader{}
	part, err := rr.Next()
	if err == nil {
		err = readMessage(part, h)
	}
	if err != nil {
		return nil, damagedSnapshotError(err)
	}
	if h.Format != formatVersion {
		return nil, errors.Mark(errkind.New(errkind.DamagedStorage, "the snapshot has format %d and this version reads format %d", h.Format, formatVersion), ErrFormat)
	}
	if h.Meta == nil {
		return nil, damagedSnapshotError(errors.New("the header names no index"))
	}
	return &SnapshotReader{Meta: h.Meta, rr: rr, hash: xxhash.New()}, nil
}

func damagedSnapshotError(err error) error {
	return errkind.Wrap(err, errkind.DamagedStorage, "the snapshot is damaged; %s", repairHint)
}

// Read implements io.Reader. It returns the snapshot's data.
func (s *SnapshotReader) Read(p []byte) (int, error) {
	if len(s.buf) == 0 && s.err == nil {
		s.err = s.readPart()
	}
	if len(s.buf) == 0 && s.err != nil {
		return 0, s.err
	}
	n := copy(p, s.buf)
	s.buf = s.buf[n:]
	return n, nil
}

func (s *SnapshotReader) readPart() error {
	r, err := s.rr.Next()
	if err != nil {
		return damagedSnapshotError(err)
	}
	data, err := io.ReadAll(r)
	if err != nil || len(data) == 0 {
		return damagedSnapshotError(errors.Newf("unreadable record: %v", err))
	}
	if data[0] == dataPartMarker {
		s.buf = data[1:]
		s.total += uint64(len(s.buf))
		_, _ = s.hash.Write(s.buf)
		return nil
	}
	t := &pb.SnapshotTrailer{}
	if err := proto.Unmarshal(data, t); err != nil {
		return damagedSnapshotError(err)
	}
	if t.Bytes != s.total || t.Hash != s.hash.Sum64() {
		return damagedSnapshotError(errors.New("size or hash in the trailer does not match the data"))
	}
	return io.EOF
}

// SaveSnapshot makes a snapshot durable, then removes what it makes obsolete: older
// snapshots, and log files without entries after the snapshot. After an error of kind
// disk-full it may be called again.
func (s *Store) SaveSnapshot(meta *pb.SnapshotMeta, write func(io.Writer) error) error {
	err := durable.WriteFile(s.fs, s.dir, numberedName(snapshotPrefix, meta.Index), func(w io.Writer) error {
		return WriteSnapshot(w, meta, write)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if durable.IsDiskFull(err) {
		return errkind.Wrap(err, errkind.DiskFull, "the snapshot at index %d was not saved", meta.Index)
	}
	if err != nil {
		return s.fail(err)
	}
	if meta.Index > s.snapshot.GetIndex() {
		s.snapshot = meta
	}
	return s.failUnlessFull(s.removeObsoleteFiles())
}

// failUnlessFull records a failed operation on files other than the log, which can be repeated if
// the disk is full. It returns nil if err is nil.
func (s *Store) failUnlessFull(err error) error {
	if !durable.IsDiskFull(err) || errors.Is(err, errSync) {
		return s.fail(err)
	}
	return errkind.Wrap(err, errkind.DiskFull, "the files of the data folder were not changed")
}

// removeObsoleteFiles removes the snapshots and log files that the newest snapshot
// replaces. It also closes the current log file, so that a later call can remove it.
// The caller holds mu.
func (s *Store) removeObsoleteFiles() error {
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
	for _, n := range listNumbered(names, snapshotPrefix) {
		if n < s.snapshot.Index {
			if err := s.fs.Remove(s.fs.PathJoin(s.dir, numberedName(snapshotPrefix, n))); err != nil {
				return errors.Wrap(err, "remove an old snapshot")
			}
		}
	}
	// The newest record holds the latest hard state and marks, so its file stays. Files without a
	// record may follow it, if the disk is full.
	for len(s.segments) > 1 && s.segments[0].lastIndex <= s.snapshot.Index && slices.ContainsFunc(s.segments[1:], segment.hasRecord) {
		if err := s.fs.Remove(s.fs.PathJoin(s.dir, numberedName(logPrefix, s.segments[0].firstSequence))); err != nil {
			return errors.Wrap(err, "remove an old log file")
		}
		s.segments = slices.Delete(s.segments, 0, 1)
		// Removals that are synced together survive a power loss independently, which
		// could leave a gap between log files. A lost removal of a snapshot leaves none:
		// the newest snapshot is used, and the next one removes the others again.
		if err := durable.SyncDir(s.fs, s.dir); err != nil {
			return errors.Mark(err, errSync)
		}
	}
	return nil
}

// ReceiveSnapshot stores a snapshot file from another process under a temporary name
// and verifies it. After an error of kind disk-full it may be called again.
func (s *Store) ReceiveSnapshot(write func(io.Writer) error) (*replication.ReceivedSnapshot, error) {
	path := s.fs.PathJoin(s.dir, numberedName("received-", 0)+durable.TempSuffix)
	f, err := s.fs.Create(path, vfs.WriteCategoryUnspecified)
	if err == nil {
		err = write(f)
		if err == nil {
			err = f.Sync()
		}
		err = errors.CombineErrors(err, f.Close())
	}
	if err != nil {
		_ = s.fs.Remove(path) // It may not exist. The next start removes it as well.
	}
	switch {
	case durable.IsDiskFull(err):
		return nil, errkind.Wrap(err, errkind.DiskFull, "the received snapshot was not stored")
	case err != nil:
		return nil, errors.Wrap(err, "store a received snapshot")
	}
	return s.verifyReceived(path)
}

func (s *Store) verifyReceived(path string) (*replication.ReceivedSnapshot, error) {
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
	return &replication.ReceivedSnapshot{Meta: r.Meta, Path: path}, nil
}

// InstallSnapshot replaces the log by a received snapshot. After an error of kind disk-full
// it may be called again with the same one.
func (s *Store) InstallSnapshot(r *replication.ReceivedSnapshot) error {
	if err := s.renameReceived(r); err != nil {
		return err
	}
	if err := s.write(&pb.LogBatch{ResetIndex: r.Meta.Index}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failUnlessFull(s.removeObsoleteFiles())
}

// renameReceived makes a received snapshot the newest one, unless it already is.
func (s *Store) renameReceived(r *replication.ReceivedSnapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == r.Meta {
		return nil
	}
	if err := s.fs.Rename(r.Path, s.fs.PathJoin(s.dir, numberedName(snapshotPrefix, r.Meta.Index))); err != nil {
		return s.failUnlessFull(err)
	}
	if err := durable.SyncDir(s.fs, s.dir); err != nil {
		return s.fail(err)
	}
	s.snapshot = r.Meta
	return nil
}

// OpenSnapshot opens the newest snapshot file, in the format in which it is stored.
func (s *Store) OpenSnapshot() (io.ReadCloser, *pb.SnapshotMeta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return nil, nil, errkind.New(errkind.NotFound, "the data folder holds no snapshot yet")
	}
	f, err := s.fs.Open(s.fs.PathJoin(s.dir, numberedName(snapshotPrefix, s.snapshot.Index)))
	return f, s.snapshot, err
}

// loadSnapshot reads the newest snapshot once to verify it, makes it durable and keeps
// its metadata.
func (s *Store) loadSnapshot(numbers []uint64) error {
	if len(numbers) == 0 {
		return nil
	}
	n := numbers[len(numbers)-1]
	f, err := s.fs.Open(s.fs.PathJoin(s.dir, numberedName(snapshotPrefix, n)))
	if err != nil {
		return errors.Wrap(err, "open a snapshot")
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync a snapshot")
	}
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

// LoadSnapshot calls read with the data of the newest snapshot, verifies all of it and returns
// its metadata. An error of kind damaged-storage says that the snapshot is damaged. If it is intact
// and read fails, the error is marked with ErrNotLoaded.
func (s *Store) LoadSnapshot(read func(io.Reader) error) (*pb.SnapshotMeta, error) {
	f, _, err := s.OpenSnapshot()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r, err := ReadSnapshot(f)
	if err != nil {
		return nil, err
	}
	readErr := read(r)
	if _, err := io.Copy(io.Discard, r); err != nil {
		return nil, err
	}
	if readErr != nil {
		return nil, errors.Mark(errkind.Wrap(readErr, errkind.Internal, "the snapshot at index %d is intact, but this version cannot load it; the data folder %s is kept: use the version that wrote it", r.Meta.Index, s.dir), ErrNotLoaded)
	}
	return r.Meta, nil
}
