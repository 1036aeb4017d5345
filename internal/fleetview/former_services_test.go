package fleetview

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
)

// Guards against a stream that goes on at another service than the one that began it: its path got a route
// of its own since, while the route that had the path is kept.
func TestAPathThatGetsARouteOfItsOwnKeepsItsFormerService(t *testing.T) {
	route := func(prefix, service string) catalog.Route {
		return catalog.Route{Name: prefix, Host: "h.example", Prefix: prefix, Repeat: catalog.Stream, Resumable: true, Timeout: time.Minute, MaxAttempts: 2, Split: []catalog.Share{{Service: service, Weight: 1}}}
	}
	set := func(routes ...catalog.Route) *catalog.Set {
		s, err := catalog.New(catalog.Set{Routes: routes, Services: []catalog.Service{{Name: "svc"}, {Name: "other"}}})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	now := time.Now()
	before := &Snapshot{Configuration: set(route("/a/", "svc"))}
	after := &Snapshot{Configuration: set(route("/a/", "svc"), route("/a/b/", "other"))}
	after.former = before.formerServices(after.Configuration, now)
	for path, want := range map[string][]string{"/a/x": {"svc"}, "/a/b/x": {"other", "svc"}} {
		got := after.StreamServices(after.Configuration.FindRoute("h.example", path), path, now)
		if !slices.Equal(got, want) {
			t.Errorf("%s: a stream may have begun at %q, want %q", path, got, want)
		}
	}
}

// Guards against a stream that goes on at another service than the one that began it: the router was sent
// several changes at once, and its route had the service only between two of them.
func TestAServiceBetweenTwoChangesThatCameTogetherIsKnown(t *testing.T) {
	v, l := newView()
	v.opts.Decode = func(document []byte) (*catalog.Set, error) { // A document is the service of the route.
		service := string(document)
		return catalog.New(catalog.Set{
			Version:  1,
			Services: []catalog.Service{{Name: service}},
			Routes: []catalog.Route{{
				Name: "moves", Host: "h.example", Prefix: "/moves/", Repeat: catalog.Stream, Resumable: true,
				Timeout: time.Minute, MaxAttempts: 2, Split: []catalog.Share{{Service: service, Weight: 1}},
			}},
		})
	}
	v.installState(stateAt(1, 1, "first"))
	state := stateAt(1, 1, "first")
	var steps []*fleetpb.Command
	for i, document := range []string{"second", "third"} {
		step, err := state.PublishCommand(uint64(i+2), []byte(document), false)
		if err != nil {
			t.Fatal(err)
		}
		if state, err = state.Apply(step); err != nil {
			t.Fatal(err)
		}
		steps = append(steps, step)
	}
	v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{StepsFrom: 1, Steps: steps, Revision: state.Revision}})
	s := v.Snapshot()
	route := s.Configuration.FindRoute("h.example", "/moves/x")
	got := s.StreamServices(route, "/moves/x", time.Now())
	slices.Sort(got)
	if want := []string{"first", "second", "third"}; s.Revision != 3 || !slices.Equal(got, want) {
		t.Errorf("revision %d: a stream may have begun at %q, want %q", s.Revision, got, want)
	}
}
