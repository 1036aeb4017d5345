package forward

import (
	"context"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
)

// unreachableRouter is the only other router. The first connections to it fail.
type unreachableRouter struct {
	fakeRouter
	timesOut        bool
	failures, calls int
}

func (r *unreachableRouter) Do(ctx context.Context, address string, req *handoffpb.ExchangeRequest, receive func(handoff.Part) error) handoff.Result {
	if r.calls++; r.calls <= r.failures {
		return handoff.Result{Err: errkind.New(errkind.Unreachable, "dial %s", address), PeerFailed: true, TimedOut: r.timesOut}
	}
	return r.fakeRouter.Do(ctx, address, req, receive)
}

// Guards against requests that are refused since the only router that reaches servers was slow to accept one connection,
// while it serves others, and against waiting for a router that has ended.
func TestARouterThatIsSlowToAcceptIsTriedOnceMore(t *testing.T) {
	for name, tc := range map[string]struct {
		timesOut, servesOthers bool
		failures, calls        int
		served                 bool
	}{
		"slow once":              {timesOut: true, servesOthers: true, failures: 1, calls: 2, served: true},
		"slow twice":             {timesOut: true, servesOthers: true, failures: 2, calls: 2},
		"slow, nothing there":    {timesOut: true, failures: 1, calls: 1},
		"refuses the connection": {servesOthers: true, failures: 1, calls: 1},
	} {
		peers := &unreachableRouter{fakeRouter: fakeRouter{plain: "answer"}, timesOut: tc.timesOut, failures: tc.failures}
		x, w := newResumption(t, &peers.fakeRouter, "", false)
		x.requestInfo.HasLastEventID = false
		x.f.opts.Handoff = peers
		if tc.servesOthers {
			x.f.peers.Choose(peers.Addresses(), nil, 1, time.Now())
		}
		err := x.handOffAll(errkind.New(errkind.NoBackend, "no server can be reached"))
		if served := err == nil && w.Body.String() == "answer"; served != tc.served || peers.calls != tc.calls {
			t.Errorf("%s: served %t (%v, %q) with %d calls, want %t with %d", name, served, err, w.Body, peers.calls, tc.served, tc.calls)
		}
	}
}
