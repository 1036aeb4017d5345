package control

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/storage"
)

// Summary describes the content of a saved snapshot.
type Summary struct {
	Revision config.Revision
	Objects  int
	Changes  int
	Claims   int
	// ClockMs is the latest time, in Unix ms, of a command in the snapshot.
	ClockMs int64
	// LastChange is the newest change, nil if there is none.
	LastChange *controlpb.AuditEntry
}

// Inspect reads and verifies a whole saved snapshot and returns its summary. Errors
// have kind damaged-storage.
func Inspect(r io.Reader) (*Summary, error) {
	s, err := readSnapshot(r)
	if err != nil {
		return nil, err
	}
	out := &Summary{Revision: s.rev, Objects: len(s.objects), Changes: len(s.history.entries), Claims: len(s.claims.byKey), ClockMs: s.clockMs}
	if n := len(s.history.entries); n > 0 {
		out.LastChange = s.history.entries[n-1].Entry
	}
	return out, nil
}

func readSnapshot(r io.Reader) (*State, error) {
	sr, err := storage.ReadSnapshot(r)
	if err != nil {
		return nil, err
	}
	s := NewState()
	if err := s.Restore(sr); err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, sr)
	return s, err
}

// RestoreFile writes a data folder from which a new control group starts with the state
// of a saved snapshot. This process is the group's only voter. The revision gets a new
// epoch, so that every node takes it as newer than any revision before. The data folder
// must be empty. RestoreFile returns the first revision of the new epoch.
func RestoreFile(fs vfs.FS, conf *Settings, path string, now time.Time) (config.Revision, error) {
	none := config.Revision{}
	names, err := fs.List(conf.Data)
	if err != nil && !oserror.IsNotExist(err) {
		return none, errors.Wrap(err, "list the data folder")
	}
	if len(names) > 0 {
		return none, errkind.New(errkind.WrongDisk, "the data folder %s is not empty; a restore never overwrites state: move the folder away first", conf.Data)
	}
	f, err := os.Open(path)
	if err != nil {
		return none, errkind.Wrap(err, errkind.Usage, "open the snapshot file")
	}
	defer f.Close()
	s, err := readSnapshot(f)
	if err != nil {
		return none, err
	}
	// The epoch derives from the time, so that two restores of one file get different
	// epochs.
	s.beginEpoch(uint64(now.Unix()), now.UnixMilli())
	return s.rev, writeBootstrapState(fs, conf, s)
}

func writeBootstrapState(fs vfs.FS, conf *Settings, s *State) error {
	store, _, err := storage.Open(fs, conf.Data, conf.Node)
	if err != nil {
		return err
	}
	defer store.Close()
	self := &pb.Voter{Id: conf.Node, Address: conf.Address, Disk: store.DiskID()}
	meta := &pb.SnapshotMeta{Index: 1, Term: 1, Voters: &pb.VoterSet{Voters: []*pb.Voter{self}}}
	if err := store.SaveSnapshot(meta, s.Snapshot); err != nil {
		return err
	}
	return store.Append(&pb.HardState{Term: 1, Commit: 1}, nil, nil)
}
