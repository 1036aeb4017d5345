package distribution

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2/vfs"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/durable"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	storeFile     = "configuration"
	checksumBytes = 8
)

// store keeps the last configuration on disk. The file holds a checksum and the
// whole configuration as one ConfigUpdate; it is replaced atomically.
type store struct {
	fs  vfs.FS
	dir string
}

// save writes the set and syncs the file and the data folder.
func (s *store) save(set *config.Set) error {
	objs, err := set.Objects()
	if err != nil {
		return err
	}
	body, err := proto.Marshal(&controlpb.ConfigUpdate{Revision: set.Revision.ToProto(), Full: true, Upserts: objs})
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode the configuration for the disk")
	}
	err = durable.WriteFile(s.fs, s.dir, storeFile, func(w io.Writer) error {
		_, err := w.Write(append(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(body)), body...))
		return err
	})
	return errors.Wrap(err, "save the configuration file")
}

// load returns the set that was saved last, or nil if there is none. A damaged file
// gives an error of kind damaged-storage; the node can continue without it.
func (s *store) load() (*config.Set, error) {
	if err := s.fs.MkdirAll(s.dir, 0o755); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "create the data folder")
	}
	if err := durable.SyncDir(s.fs, s.fs.PathDir(s.dir)); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "sync the parent of the data folder")
	}
	// A process that was killed after the rename has not synced the folder, and a power
	// loss would bring the older file back.
	if err := durable.SyncDir(s.fs, s.dir); err != nil {
		return nil, errkind.Wrap(err, errkind.DamagedStorage, "sync the data folder")
	}
	f, err := s.fs.Open(s.fs.PathJoin(s.dir, storeFile))
	if oserror.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.DamagedStorage, "open the stored configuration")
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.DamagedStorage, "read the stored configuration")
	}
	if len(data) < checksumBytes || binary.LittleEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return nil, errkind.New(errkind.DamagedStorage, "the checksum of the stored configuration does not match")
	}
	var u controlpb.ConfigUpdate
	if err := proto.Unmarshal(data[checksumBytes:], &u); err != nil {
		return nil, errkind.Wrap(err, errkind.DamagedStorage, "decode the stored configuration")
	}
	return config.FromObjects(config.RevisionFromProto(u.Revision), u.Upserts)
}
