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
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	formatVersion  = 1
	identityName   = "identity"
	lockName       = "LOCK"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	// repairHint is part of every error about damaged storage.
	repairHint = "see docs/operators/replace-a-vm.md: remove this voter, empty the folder and add it again; with no quorum left see docs/operators/lost-quorum.md"
)

// ErrFormat marks errors about a folder that another version has written. It is intact.
var ErrFormat = errors.New("format of another version")

// ErrNotLoaded marks errors about a snapshot that is intact, but that the state machine of this
// version does not take.
var ErrNotLoaded = errors.New("snapshot not loaded")

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

func writeIdentity(fs vfs.FS, dir string, id *pb.DiskIdentity) error {
	data, err := proto.Marshal(id)
	if err != nil {
		return err
	}
	return durable.WriteFile(fs, dir, identityName, func(w io.Writer) error {
		rw := record.NewWriter(w)
		if _, err := rw.WriteRecord(data); err != nil {
			return err
		}
		return rw.Close()
	})
}

func readIdentity(fs vfs.FS, dir string) (*pb.DiskIdentity, error) {
	data, err := durable.ReadFile(fs, fs.PathJoin(dir, identityName))
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
		return nil, errors.Mark(errkind.New(errkind.DamagedStorage, "the data folder has format %d and this version reads format %d; use the version that wrote it", id.Format, formatVersion), ErrFormat)
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
