package forward

import (
	"context"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Guards against a server that counts as failed, or a request as one under which servers end, since the
// server says of a stream that has ended that nothing is left: it has answered whole.
func TestAServerWithNothingLeftOfAStreamHasNotFailed(t *testing.T) {
	x := &exchange{f: &Forwarder{opts: Options{Metrics: telemetry.NewRegistry()}}, ctx: context.Background(), route: &catalog.Route{}}
	picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
	res := x.wronglyContinued(picked, errNothingLeft)
	if res.outcome != placement.Neutral || !res.survived || !res.retryable {
		t.Errorf("nothing left: outcome %v, survived %t, retryable %t", res.outcome, res.survived, res.retryable)
	}
	res = x.wronglyContinued(picked, errkind.New(errkind.StreamBroken, "event 6 follows event 3"))
	if res.outcome != placement.Failure || !res.retryable {
		t.Errorf("missing events: outcome %v, retryable %t", res.outcome, res.retryable)
	}
}
