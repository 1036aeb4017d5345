package storage

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/internal/durable"
)

const (
	asidePrefix = "damaged-"
	// maxAside is the number of damaged contents that a folder keeps.
	maxAside = 2
)

// SetAside renames the files of a data folder that cannot be opened, so that Open finds an
// empty folder and gives it a new identity. The files are kept for examination, those of the
// last two times at most. It returns the prefix of their new names. A crash at any moment
// leaves either the old content, a folder without an identity, or the new state.
func SetAside(fs vfs.FS, dir string) (prefix string, err error) {
	names, err := fs.List(dir)
	if err != nil {
		return "", errors.Wrap(err, "list the data folder")
	}
	numbers, current := splitAside(names)
	prefix = asideName(1)
	if len(numbers) > 0 {
		prefix = asideName(numbers[len(numbers)-1] + 1)
	}
	for _, number := range numbers[:max(0, len(numbers)-maxAside+1)] {
		for _, n := range names {
			if strings.HasPrefix(n, asideName(number)) {
				if err := fs.Remove(fs.PathJoin(dir, n)); err != nil {
					return "", errors.Wrapf(err, "remove %s", n)
				}
			}
		}
	}
	// The identity goes first and durably: with it, a folder that lacks other files would
	// open as a voter that forgot what it acknowledged.
	for _, identity := range []bool{true, false} {
		for _, n := range current {
			if (n == identityName) == identity {
				if err := fs.Rename(fs.PathJoin(dir, n), fs.PathJoin(dir, prefix+n)); err != nil {
					return "", errors.Wrapf(err, "rename %s", n)
				}
			}
		}
		if err := durable.SyncDir(fs, dir); err != nil {
			return "", err
		}
	}
	return prefix, nil
}

// splitAside returns the numbers of the contents that were set aside, in order, and the files
// that belong to none.
func splitAside(names []string) (numbers []int, current []string) {
	for _, n := range names {
		var number int
		if _, err := fmt.Sscanf(n, asidePrefix+"%d-", &number); err == nil {
			if !slices.Contains(numbers, number) {
				numbers = append(numbers, number)
			}
		} else if n != lockName {
			current = append(current, n)
		}
	}
	slices.Sort(numbers)
	return numbers, current
}

// CountSetAside returns how many damaged contents the data folder keeps.
func CountSetAside(fs vfs.FS, dir string) (int, error) {
	names, err := fs.List(dir)
	if err != nil {
		return 0, errors.Wrap(err, "list the data folder")
	}
	numbers, _ := splitAside(names)
	return len(numbers), nil
}

func asideName(number int) string { return fmt.Sprintf("%s%d-", asidePrefix, number) }
