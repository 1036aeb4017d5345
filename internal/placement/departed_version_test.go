package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// Guards against a departure that was recorded, or received by a process that does not know the
// server, and that makes a router forget which version and service the server had.
func TestADepartureWithoutDetailsKeepsTheVersionOfTheServer(t *testing.T) {
	w := newFleetSim(t)
	for i, version := range []string{"v1", "v2"} {
		s := w.server(string(rune('p'+i)), "a")
		s.Version = version
		w.announce(s)
	}
	held := w.server("q", "a")
	// What a process that does not know the server tells its routers (SetDepartures, Leave).
	w.announce(inventory.Server{ID: "q", Born: held.Born, Sequence: 1 << 60, State: inventory.Gone, LastSeen: w.now})
	w.advance(time.Second)
	if got := slices.Sorted(slices.Values(w.fleet.Versions("chat"))); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("versions %v a second after the departure, want that of the server that left as well", got)
	}
}

// Guards against a router that counts only the versions of servers that take requests: streams that servers began
// which have left, drain or were replaced are still taken up.
func TestVersionsOfServersThatTakeNoRequestsCount(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(w *fleetSim, s inventory.Server)
		want []string
	}{
		"gone": {func(w *fleetSim, s inventory.Server) {
			s.State = inventory.Gone
			w.announce(s)
		}, []string{"v1", "v2"}},
		"draining": {func(w *fleetSim, s inventory.Server) {
			s.State, s.Sequence = inventory.Draining, s.Sequence+100
			w.announce(s)
		}, []string{"v1", "v2"}},
		"replaced": {func(w *fleetSim, s inventory.Server) {
			s.Version, s.Born = "v2", s.Born+1
			w.announce(s)
		}, []string{"v1", "v2"}},
		"replaced by one of another service": {func(w *fleetSim, s inventory.Server) {
			s.Service, s.Born = "other", s.Born+1
			w.announce(s)
		}, []string{"v1", "v2"}},
		"all replaced by those of another service": {func(w *fleetSim, s inventory.Server) {
			for i, id := range []string{"p", "q"} {
				next := w.server(id, "a")
				next.Service, next.Version, next.Born = "other", []string{"v1", "v3"}[i], s.Born+1
				w.announce(next)
			}
		}, []string{"v1", "v2"}},
		"recorded by the directory": {func(w *fleetSim, s inventory.Server) {
			w.fleet.SetServedVersions([]inventory.ServedVersion{{Service: "chat", Version: "v0"}, {Service: "empty", Version: "v9"}})
			w.announce()
			if got := w.fleet.Versions("empty"); !slices.Equal(got, []string{"v9"}) {
				w.t.Errorf("versions %v of a service without servers, want the recorded one", got)
			}
		}, []string{"v0", "v1", "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFleetSim(t)
			var first inventory.Server
			for i, version := range []string{"v1", "v2"} {
				s := w.server(string(rune('p'+i)), "a")
				s.Version = version
				w.announce(s)
				if i == 0 {
					first = s
				}
			}
			tc.end(w, first)
			if got := slices.Sorted(slices.Values(w.fleet.Versions("chat"))); !slices.Equal(got, tc.want) {
				t.Errorf("versions %v, want %v", got, tc.want)
			}
		})
	}
}
