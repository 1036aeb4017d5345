package fleetview

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// heartbeatReportAge is the age of the last message of the directory's quorum up to which a
// router takes heartbeats: it must be able to pass them on.
const heartbeatReportAge = time.Second

// heardServers collects the servers whose heartbeats are yet to be reported.
type heardServers struct {
	mu     sync.Mutex
	hashes map[uint32]bool
}

func (h *heardServers) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hashes == nil {
		h.hashes = map[uint32]bool{}
	}
	h.hashes[uint32(routing.Hash(id))] = true
}

func (h *heardServers) take() []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []uint32
	for hash := range h.hashes {
		out = append(out, hash)
	}
	clear(h.hashes)
	return out
}

// TakeHeartbeat takes a heartbeat that only repeats what this router knows of the server, and
// reports it to the directory. Any other one fails, so that the server sends it to a directory
// process.
func (v *View) TakeHeartbeat(ctx context.Context, s inventory.Server) error {
	if v.reportTo.Load() == nil || v.QuorumAge() > heartbeatReportAge {
		return errkind.New(errkind.NotReady, "heartbeat of server %q not taken: no directory process to report it to", s.ID)
	}
	result := make(chan error, 1)
	v.enqueue(ctx, func() { result <- v.takeHeartbeat(s) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *View) takeHeartbeat(s inventory.Server) error {
	known := v.table.Get(s.ID)
	if known == nil || !known.Repeats(&s) {
		return errkind.New(errkind.NotReady, "heartbeat of server %q not taken: it tells a change", s.ID)
	}
	if v.table.Merge(s) == inventory.Refreshed {
		v.opts.Fleet.UpdateAnnouncement(&s)
	}
	v.heard.add(s.ID)
	return nil
}
