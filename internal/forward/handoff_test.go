package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/fleetview"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

type plainProtocol struct{ Protocol }

func (plainProtocol) ParseRequest(*http.Request) (RequestInfo, error) {
	return RequestInfo{ID: "1"}, nil
}

// A router that lags behind must not handle a request of one that has a newer configuration:
// its client may have seen effects of that one, and would be told that a new route is missing.
func TestAHandoffIsNotTakenWithAnOlderConfiguration(t *testing.T) {
	f := New(Options{Protocol: plainProtocol{}, View: fleetview.New(fleetview.Options{}), Metrics: telemetry.NewRegistry()})
	for revision, newer := range map[uint64]bool{4: true, 3: false, 2: false} {
		x := &exchange{f: f, view: &fleetview.Snapshot{Configuration: &catalog.Set{}, Revision: 3}, received: &handoff.Request{Router: "r", Revision: revision}}
		r, err := http.NewRequest(http.MethodGet, "http://h/new/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		x.r = r
		err = x.admit()
		// The view has confirmed nothing, which is what a request is refused for otherwise.
		refused := errkind.Is(err, errkind.NotReady) && err.Error() == `not-ready: the configuration has revision 3, and that of router "r" is 4`
		if refused != newer {
			t.Errorf("sender's revision %d, own revision 3: %v", revision, err)
		}
	}
}

// Servers of a service are down, for all routers. Not every request must go to two more routers
// that find the same.
func TestRequestsOfAServiceThatIsDownAreNotAllHandedOff(t *testing.T) {
	p, now := &handoffPauses{}, time.Unix(1_700_000_000, 0)
	handedOff := 0
	const requests, interval = 1000, 10 * time.Millisecond
	for range requests {
		if now = now.Add(interval); !p.paused("down", now) {
			handedOff++
			p.refused("down", now)
		}
		if p.paused("other", now) {
			t.Fatal("requests of another service are not handed off")
		}
	}
	if most := int(requests*interval/handoffPause) + 1; handedOff > most || handedOff < most/2 {
		t.Errorf("%d of %d requests were handed off in %s, want at most %d", handedOff, requests, requests*interval, most)
	}
}

// After a change of the configuration, routers have it one after the other. A request that
// arrives from one that has it must wait for it, instead of going round among those that do not.
func TestAHandoffWaitsForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		awaitRevision(t.Context(), 5, func() uint64 {
			if time.Since(began) < 120*time.Millisecond {
				return 4
			}
			return 5
		})
		if took := time.Since(began); took != 120*time.Millisecond {
			t.Errorf("the request waited %s for a revision that came after 120 ms", took)
		}
		began = time.Now()
		awaitRevision(t.Context(), 5, func() uint64 { return 4 })
		if took := time.Since(began); took != maxRevisionWait {
			t.Errorf("the request waited %s for a revision that does not come, want %s", took, maxRevisionWait)
		}
	})
}
