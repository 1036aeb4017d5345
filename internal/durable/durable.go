package durable

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// TempSuffix is the suffix of files that are not complete yet.
const TempSuffix = ".tmp"

// SyncDir makes the names in a data folder durable, and the removal of names from it.
func SyncDir(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "sync the data folder")
}

// WriteFile replaces a file atomically: it writes the file under a temporary name, syncs
// it, renames it and syncs the folder.
func WriteFile(fs vfs.FS, dir, name string, write func(io.Writer) error) error {
	final := fs.PathJoin(dir, name)
	f, err := fs.Create(final+TempSuffix, vfs.WriteCategoryUnspecified)
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
	if err := fs.Rename(final+TempSuffix, final); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	return SyncDir(fs, dir)
}

// ReadFile reads a file and makes its content durable.
func ReadFile(fs vfs.FS, path string) ([]byte, error) {
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
