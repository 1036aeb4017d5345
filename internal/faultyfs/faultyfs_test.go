package faultyfs

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Guards against a power loss that drops synced data, or keeps unsynced data.
func TestLosePowerDropsWhatWasNotSynced(t *testing.T) {
	dir, data := t.TempDir(), t.TempDir()
	fs := FS{FS: vfs.Default, ControlFile: filepath.Join(dir, "disk")}
	write := func(f vfs.File, text string) {
		if _, err := f.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	name := filepath.Join(data, "log-1")
	f, err := fs.Create(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	write(f, "synced ")
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	write(f, "lost")
	if dropped, err := LosePower(data, fs.ControlFile); dropped != 4 || err != nil {
		t.Errorf("dropped %d bytes (%v), want the 4 that were not synced", dropped, err)
	}
	if got, err := os.ReadFile(name); string(got) != "synced " || err != nil {
		t.Errorf("kept %q (%v)", got, err)
	}
	write(f, "lost")
	again, err := fs.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Sync(); err != nil {
		t.Fatal(err)
	}
	if dropped, err := LosePower(data, fs.ControlFile); dropped != 0 || err != nil {
		t.Errorf("dropped %d bytes (%v) after a sync by the next process, want none", dropped, err)
	}
}

// Guards against a full disk that takes data.
func TestAFullDiskTakesNoData(t *testing.T) {
	for fault, creates := range map[string]bool{Full: false, FullForData: true} {
		dir := t.TempDir()
		fs := FS{FS: vfs.Default, ControlFile: filepath.Join(dir, "disk")}
		open, err := fs.Create(filepath.Join(dir, "log-1"), vfs.WriteCategoryUnspecified)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(fs.ControlFile, []byte(fault), 0o600); err != nil {
			t.Fatal(err)
		}
		if n, err := open.Write([]byte("abcd")); n != 2 || !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%s: wrote %d bytes (%v), want 2 and no room", fault, n, err)
		}
		if _, err := fs.Create(filepath.Join(dir, "log-2"), vfs.WriteCategoryUnspecified); (err == nil) != creates {
			t.Errorf("%s: a new file: %v, want that it is created: %v", fault, err, creates)
		}
	}
}
