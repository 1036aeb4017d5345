package edge

import (
	"context"
	"slices"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// handoffs hands requests off to the routers that the directory names.
type handoffs struct {
	*handoff.Client
	view *fleetview.View
	// own is the address of this router, which other directory processes may still name.
	own string
}

// Addresses implements forward.Handoff.
func (r handoffs) Addresses() []string {
	return slices.DeleteFunc(slices.Clone(r.view.Handoffs()), func(a string) bool { return a == r.own })
}

// handoffAddress returns the address at which this router takes over requests of others, or ""
// while it takes none.
func (r *Router) handoffAddress() string {
	if r.handoff == nil || !r.takesHandoffs.Load() {
		return ""
	}
	return r.handoff.Addr().String()
}

// serveHandoff serves the requests that other routers hand off, until ctx is done.
func (r *Router) serveHandoff(ctx context.Context) error {
	mux := drpcmux.New()
	if err := handoffpb.DRPCRegisterHandoff(mux, r.handoffServer); err != nil {
		return err
	}
	if err := rpc.Serve(ctx, r.handoff, mux); ctx.Err() == nil {
		return err
	}
	return nil
}

// handoffCheckInterval is how often a router that stops looks for the end of the requests
// that other routers have handed off.
const handoffCheckInterval = 20 * time.Millisecond

// awaitHandedOff waits until no requests of other routers are in flight, or ctx is done.
func (r *Router) awaitHandedOff(ctx context.Context) error {
	tick := time.NewTicker(handoffCheckInterval)
	defer tick.Stop()
	for r.handoffServer.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
