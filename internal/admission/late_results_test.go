package admission

import (
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// Guards against a server that is ejected right after it has started again: a router reports late that the requests
// failed which the process before held.
func TestLateResultsOfAReplacedIncarnationDoNotEjectTheNext(t *testing.T) {
	for _, outcome := range []grantpb.Outcome{grantpb.Outcome_OUTCOME_UNKNOWN, grantpb.Outcome_OUTCOME_FAILED} {
		b := newTestBench(4, 8)
		held := map[string][]uint64{}
		for range 24 {
			e := b.ask("w", 5, 0)
			if e == nil || e.Kind != Granted {
				t.Fatalf("the ask got %+v, want a permit", e)
			}
			b.core.Started(b.now, 1, e.Permit)
			held[e.Server] = append(held[e.Server], e.Permit)
		}
		b.now += time.Second
		b.sequence++
		next := b.announcement("e0", 8)
		next.Incarnation = "2"
		b.core.Announce(b.now, next)
		b.now += 100 * time.Millisecond
		if len(held["e0"]) < 3 || b.core.loads[0].limit == 0 {
			t.Fatalf("e0 has %d permits and limit %d once it has started again", len(held["e0"]), b.core.loads[0].limit)
		}
		for _, permit := range held["e0"] {
			b.core.Result(b.now, 1, &grantpb.Result{PermitId: permit, Term: 1, Outcome: outcome})
		}
		if b.now < b.core.servers[0].ejectedUntil || b.core.loads[0].limit == 0 {
			t.Errorf("the next incarnation is ejected for %s after results %s of the one before", b.core.servers[0].ejectedUntil-b.now, outcome)
		}
		for _, permit := range held["e1"][:3] {
			b.core.Result(b.now, 1, &grantpb.Result{PermitId: permit, Term: 1, Outcome: outcome})
		}
		if b.core.loads[1].limit != 0 {
			t.Errorf("a server whose requests ended with %s three times is not ejected", outcome)
		}
	}
}
