package ctl

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against a file that a full disk cut off and that is later sent as another change.
func TestAPendingChangeIsWholeOrMissingOnAFullDisk(t *testing.T) {
	for operation := range 8 {
		n := 0
		full := errorfs.Wrap(vfs.Default, errorfs.InjectorFunc(func(op errorfs.Op) error {
			if op.Kind.ReadOrWrite() != errorfs.OpIsWrite || op.Kind == errorfs.OpRemove {
				return nil
			}
			if n++; n > operation {
				return syscall.ENOSPC
			}
			return nil
		}))
		a := &app{files: full}
		a.stateDir = filepath.Join(t.TempDir(), "state")
		err := a.savePending(&controlpb.ApplyRequest{ChangeId: "one"})
		_, loadErr := a.loadPending("one")
		if loadErr != nil && (err == nil || !errkind.Is(loadErr, errkind.NotFound)) {
			t.Errorf("no room from operation %d on: saving gave %v, loading %v", operation, err, loadErr)
		}
	}
}

// A damaged file must neither be sent nor stay for good.
func TestADamagedPendingChangeIsNotSent(t *testing.T) {
	for name, content := range map[string]string{"empty": "", "cut off": "\n\x05on", "another change": "\n\x05other"} {
		h := newHarness(t)
		state := filepath.Join(h.dir, "state")
		if err := os.MkdirAll(state, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(state, "one"+pendingSuffix), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		h.expectExit(errkind.Lookup(errkind.DamagedStorage).Exit, "resend", "one")
		if len(h.sets) != 1 {
			t.Errorf("%s: the change was sent", name)
		}
		h.expectExit(errkind.ExitOK, "resend", "--forget", "one")
		if left, err := os.ReadDir(state); err != nil || len(left) != 0 {
			t.Errorf("%s: %d files are left, %v", name, len(left), err)
		}
	}
}
