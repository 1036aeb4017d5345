package distribution

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

// Guards against a node that starts again with an older configuration than it had in force,
// since its disk was full when the configuration came and it never stored it again.
func TestAConfigurationIsStoredOnceThereIsRoom(t *testing.T) {
	sets := history(t, 1, 3)
	var full atomic.Bool
	mem := vfs.NewMem()
	fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if full.Load() && (op.Kind == errorfs.OpCreate || op.Kind == errorfs.OpFileWrite) {
			return syscall.ENOSPC
		}
		return nil
	}))
	w := NewWatcher(Options{Node: "n", DataDir: "/data", fs: fs})
	if _, err := w.store.load(); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	stored := func() uint64 {
		set, err := (&store{fs: mem, dir: "/data"}).load()
		if err != nil {
			t.Fatal(err)
		}
		return set.Revision.Number
	}
	w.core.declared = sets[0]
	w.persist(now)
	full.Store(true)
	w.core.declared = sets[1]
	w.persist(now)
	w.persistOverdue(now.Add(minPersistInterval))
	if got := stored(); got != 1 {
		t.Fatalf("revision %d is stored on a full disk, want 1", got)
	}
	full.Store(false)
	w.core.declared = sets[2]
	w.persistOverdue(now.Add(2 * minPersistInterval))
	if got := stored(); got != 1 {
		t.Errorf("tried again before twice the first wait: revision %d is stored", got)
	}
	w.persistOverdue(now.Add(3 * minPersistInterval))
	if got := stored(); got != 3 {
		t.Errorf("revision %d is stored once there is room, want the one in force", got)
	}
	if !w.persistAt.IsZero() {
		t.Error("still trying after it was stored")
	}
}
