package storage

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/record"
	"github.com/cockroachdb/pebble/v2/vfs"
	"google.golang.org/protobuf/proto"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	formatVersion  = 1
	identityName   = "identity"
	lockName       = "LOCK"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	// repairHint is part of every error about damaged storage.
	repairHint = "see docs/operators/replace-a-vm.md: remove this voter, empty the folder and add it again; with no quorum left see docs/operators/lost-quorum.md"
)

func numberedName(prefix string, n uint64) string { return fmt.Sprintf("%s%020d", prefix, n) }

// listNumbered returns the numbers of all complete files with the prefix in ascending
// order. Temporary files are not complete.
func listNumbered(names []string, prefix string) []uint64 {
	var out []uint64
	for _, name := range names {
		rest, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(rest, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func syncDir(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "sync the data folder")
}

// writeFileAtomic writes a file under a temporary name, syncs it and renames it.
func writeFileAtomic(fs vfs.FS, dir, name string, write func(io.Writer) error) error {
	final := fs.PathJoin(dir, name)
	f, err := fs.Create(final+tempSuffix, vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "sync %s", name)
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %s", name)
	}
	if err := fs.Rename(final+tempSuffix, final); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	return syncDir(fs, dir)
}

// readFile reads a file and makes its content durable. The process that wrote it may have
// been killed before its sync, and what is read here is acted on.
func readFile(fs vfs.FS, path string) ([]byte, error) {
	f, err := fs.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return nil, errors.Wrapf(err, "sync %s", path)
	}
	return io.ReadAll(f)
}

func writeIdentity(fs vfs.FS, dir string, id *pb.DiskIdentity) error {
	data, err := proto.Marshal(id)
	if err != nil {
		return err
	}
	return writeFileAtomic(fs, dir, identityName, func(w io.Writer) error {
		rw := record.NewWriter(w)
		if _, err := rw.WriteRecord(data); err != nil {
			return err
		}
		return rw.Close()
	})
}

func readIdentity(fs vfs.FS, dir string) (*pb.DiskIdentity, error) {
	data, err := readFile(fs, fs.PathJoin(dir, identityName))
	if err != nil {
		return nil, err
	}
	id := &pb.DiskIdentity{}
	r, err := record.NewReader(bytes.NewReader(data), 0).Next()
	if err == nil {
		err = readMessage(r, id)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.DamagedStorage, "the file %s is damaged; %s", identityName, repairHint)
	}
	if id.Format != formatVersion {
		return nil, errkind.New(errkind.DamagedStorage, "the data folder has format %d and this version reads format %d; use the version that wrote it", id.Format, formatVersion)
	}
	return id, nil
}

func readMessage(r io.Reader, m proto.Message) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}
