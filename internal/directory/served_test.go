package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// Guards against a server that takes the answer for an acknowledgement, while the table had no
// room for it: it has to call another process.
func TestAServerIsToldThatTheTableIsFull(t *testing.T) {
	h, _ := newTestHub()
	h.now = time.Now
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.run(ctx) }()
	defer func() { cancel(); <-done }()
	p := &Process{hub: h, log: hclog.NewNullLogger()}
	s := inventory.Server{Born: 1, Sequence: 1, Service: "chat", Slots: 1, State: inventory.Ready, LastSeen: time.Now()}
	if err := h.do(ctx, func() {
		for i := 0; !h.table.Full(); i++ {
			s.ID, s.Address = fmt.Sprint("s", i), fmt.Sprint("h:", i)
			h.table.Merge(s)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if err := p.Announce(ctx, s); err != nil {
		t.Errorf("a repeated announcement of a server in the table: %v", err)
	}
	s.ID, s.Address = "new", "new:1"
	if err := p.Announce(ctx, s); !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("the announcement of another server: %v, want an error of kind %s", err, errkind.QueueFull)
	}
}
