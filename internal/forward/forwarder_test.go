package forward

import (
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Pattern: many long bodies at once. They must not take the VM's memory.
func TestBodiesAreRefusedBeforeTheyTakeTheMemory(t *testing.T) {
	f := New(Options{Metrics: telemetry.NewRegistry()})
	const body = 4 << 20
	n := 0
	for f.hold(body) == nil {
		n++
	}
	if n != maxHeldBodies/body {
		t.Errorf("%d bodies of 4 MiB are held", n)
	}
	if err := f.hold(body); !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("one more: %v", err)
	}
	f.release(body)
	if err := f.hold(body); err != nil {
		t.Errorf("after a release: %v", err)
	}
}
