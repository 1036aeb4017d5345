package forward

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/drain"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// checkStopping returns an error if this router stops and the request, which has not run, would
// most likely still run when it ends.
func (x *exchange) checkStopping() error {
	if x.anyMayHaveRun || x.service == nil {
		return nil
	}
	now := time.Now()
	if x.f.drain.Takes(x.drainKey(), x.route.Idempotent(), x.timeout()-now.Sub(x.startedAt), now) {
		return nil
	}
	return errkind.New(errkind.ShuttingDown, "this router stops in %s, and requests of route %q may take longer", x.f.drain.Left(now).Round(time.Millisecond), x.route.Name).
		WithRetryAfter(stoppingRetryAfter)
}

// stoppingRetryAfter is the Retry-After of a router that stops: a new connection may lead to
// another router at once.
const stoppingRetryAfter = 50 * time.Millisecond

// recordDuration counts how long a request took that was sent to a server. One that its client
// gave up would have taken longer.
func (x *exchange) recordDuration(err error, took time.Duration) {
	if x.service != nil && x.sends > 0 && !errkind.Is(err, errkind.ClientGone) {
		x.f.drain.Record(x.drainKey(), took)
	}
}

func (x *exchange) drainKey() drain.Key {
	return drain.Key{Service: x.service.Name, Route: x.route.Name}
}
