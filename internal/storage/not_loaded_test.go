package storage

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against a sound folder that passes for damaged: what a state machine says of a snapshot that the
// storage has verified is an error of the program, and the folder must be kept.
func TestAStateMachineThatRejectsASoundSnapshotDoesNotMakeItDamaged(t *testing.T) {
	s, _, err := Open(vfs.NewMem(), testDir, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveSnapshot(&pb.SnapshotMeta{Index: 7, Term: 2}, writeInChunks([]byte("state"), 1)); err != nil {
		t.Fatal(err)
	}
	for _, cause := range []error{errors.New("an unknown field"), errkind.New(errkind.DamagedStorage, "decode the state")} {
		for _, reads := range []bool{false, true} {
			_, err := s.LoadSnapshot(func(r io.Reader) error {
				if reads {
					_, _ = io.Copy(io.Discard, r)
				}
				return cause
			})
			if !errors.Is(err, ErrNotLoaded) || errkind.Is(err, errkind.DamagedStorage) || !errors.Is(err, cause) {
				t.Errorf("%v, all of it read: %v: got %v", cause, reads, err)
			}
		}
	}
}
