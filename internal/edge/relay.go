package edge

import (
	"context"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/relaypb"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/relay"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// relays passes requests on to the routers that the directory names.
type relays struct {
	*relay.Client
	view *fleetview.View
}

// Addresses implements forward.Relays.
func (r relays) Addresses() []string { return r.view.Relays() }

// relayAddress returns the address at which this router takes over requests of others, or ""
// while it takes none.
func (r *Router) relayAddress() string {
	if r.relay == nil || !r.takesRelays.Load() {
		return ""
	}
	return r.relay.Addr().String()
}

// serveRelay serves the requests that other routers pass on, until ctx is done.
func (r *Router) serveRelay(ctx context.Context) error {
	mux := drpcmux.New()
	if err := relaypb.DRPCRegisterRelay(mux, r.relayServer); err != nil {
		return err
	}
	if err := rpc.Serve(ctx, r.relay, mux); ctx.Err() == nil {
		return err
	}
	return nil
}

// relayedCheckInterval is how often a router that stops looks for the end of the requests
// that other routers have passed on.
const relayedCheckInterval = 20 * time.Millisecond

// awaitRelayed waits until no requests of other routers are in flight, or ctx is done.
func (r *Router) awaitRelayed(ctx context.Context) error {
	tick := time.NewTicker(relayedCheckInterval)
	defer tick.Stop()
	for r.relayServer.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
