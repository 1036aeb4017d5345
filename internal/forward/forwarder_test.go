package forward

import (
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Many large request bodies arrive at the same time. Without a limit on buffered
// bodies the router would run out of memory.
func TestBodiesOverMemoryLimitAreRejected(t *testing.T) {
	f := New(Options{Metrics: telemetry.NewRegistry()})
	const body = 4 << 20
	n := 0
	for f.reserveBody(body) == nil {
		n++
	}
	if n != maxBufferedBytes/body {
		t.Errorf("%d bodies of 4 MiB were accepted", n)
	}
	if err := f.reserveBody(body); !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("a body over the limit: %v", err)
	}
	f.requestBodies.Release(body)
	if err := f.reserveBody(body); err != nil {
		t.Errorf("a body after another was released: %v", err)
	}
}
