// Package faultyfs is a file system whose disk stalls, fails, is full or loses power, for the soak,
// which sets the fault by a control file.
package faultyfs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Faults that a control file can contain: syncs block, syncs return EIO, new files and
// writes find no room, or only writes find none, as on most disks.
const (
	Stalls      = "stalls"
	Fails       = "refuses"
	Full        = "is full"
	FullForData = "is full for data"
)

// stallPollInterval is how often a stalled sync reads the control file.
const stallPollInterval = 20 * time.Millisecond

// FS is a file system whose operations stall or fail while its control file says so,
// and that records how much of each file is synced, so that LosePower can drop the rest. A
// directory process uses it like any other file system.
type FS struct {
	vfs.FS
	ControlFile string
}

// syncedSuffix is the suffix of the file beside the control file that holds the synced
// size of each log file. A later line replaces an earlier one.
const syncedSuffix = "-synced"

// Create implements vfs.FS.
func (d FS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if fault, err := d.fault(); err != nil {
		return nil, err
	} else if fault == Full {
		return nil, &os.PathError{Op: "create", Path: name, Err: syscall.ENOSPC}
	}
	f, err := d.FS.Create(name, category)
	if err == nil {
		err = d.recordSynced(name, 0)
	}
	return faultyFile{f, d, name}, err
}

// fault returns the fault that the control file contains, or "".
func (d FS) fault() (string, error) {
	control, err := os.ReadFile(d.ControlFile)
	if err != nil && !os.IsNotExist(err) {
		return "", err
	}
	return strings.TrimSpace(string(control)), nil
}

// Open implements vfs.FS.
func (d FS) Open(name string, opts ...vfs.OpenOption) (vfs.File, error) {
	f, err := d.FS.Open(name, opts...)
	if err != nil {
		return nil, err
	}
	return faultyFile{f, d, name}, nil
}

// OpenDir implements vfs.FS.
func (d FS) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	return faultyFile{f, d, ""}, err
}

func (d FS) recordSynced(name string, size int64) error {
	if !strings.HasPrefix(filepath.Base(name), logFilePrefix) {
		return nil
	}
	f, err := os.OpenFile(d.ControlFile+syncedSuffix, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, filepath.Base(name), size)
	return errors.CombineErrors(err, f.Close())
}

// logFilePrefix begins the names of the log files in a data folder.
const logFilePrefix = "log-"

// LosePower truncates the log files in the data folder to what was synced. The process
// must not run. It returns the number of bytes that were dropped.
func LosePower(dataDir, controlFile string) (dropped int64, err error) {
	lines, err := os.ReadFile(controlFile + syncedSuffix)
	if err != nil && !os.IsNotExist(err) {
		return 0, err
	}
	synced := map[string]int64{}
	for line := range strings.Lines(string(lines)) {
		var name string
		var size int64
		// The last line may be cut off, since the process was killed.
		if _, err := fmt.Sscan(line, &name, &size); err == nil && strings.HasSuffix(line, "\n") {
			synced[name] = size
		}
	}
	entries, err := os.ReadDir(dataDir)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), logFilePrefix) {
			continue
		}
		info, err := e.Info()
		if err != nil {
			return dropped, err
		}
		if kept := synced[e.Name()]; info.Size() > kept {
			dropped += info.Size() - kept
			if err := os.Truncate(filepath.Join(dataDir, e.Name()), kept); err != nil {
				return dropped, err
			}
		}
	}
	return dropped, nil
}

type faultyFile struct {
	vfs.File
	fs   FS
	name string
}

// Write implements vfs.File. A full disk takes the first half of the data.
func (f faultyFile) Write(p []byte) (int, error) {
	fault, err := f.fs.fault()
	if err != nil {
		return 0, err
	}
	if fault != Full && fault != FullForData {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = &os.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	return n, err
}

// Sync implements vfs.File.
func (f faultyFile) Sync() error {
	for {
		fault, err := f.fs.fault()
		switch {
		case err != nil:
			return err
		case fault == Fails:
			return syscall.EIO
		case fault != Stalls:
			return f.syncAndRecord()
		}
		time.Sleep(stallPollInterval)
	}
}

func (f faultyFile) syncAndRecord() error {
	info, err := f.File.Stat()
	if err == nil {
		err = f.File.Sync()
	}
	if err != nil || f.name == "" {
		return err
	}
	return f.fs.recordSynced(f.name, info.Size())
}
