package durable

import (
	"io"
	"syscall"

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

// IsDiskFull reports whether an operation failed because the disk has no room.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// WriteFile replaces a file atomically: it writes the file under a temporary name, syncs
// it, renames it and syncs the folder. If it fails before the file is renamed, it removes
// what it has written, which may be all the room that is left.
func WriteFile(fs vfs.FS, dir, name string, write func(io.Writer) error) error {
	final := fs.PathJoin(dir, name)
	err := writeTemporary(fs, final+TempSuffix, write)
	if err == nil {
		err = errors.Wrapf(fs.Rename(final+TempSuffix, final), "rename %s", name)
	}
	if err != nil {
		_ = fs.Remove(final + TempSuffix) // It may not exist. The next start removes it as well.
		return err
	}
	return SyncDir(fs, dir)
}

func writeTemporary(fs vfs.FS, path string, write func(io.Writer) error) error {
	name := fs.PathBase(path)
	f, err := fs.Create(path, vfs.WriteCategoryUnspecified)
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
	return errors.Wrapf(f.Close(), "close %s", name)
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
