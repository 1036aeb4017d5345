package fleetview

import (
	"slices"
	"testing"
	"time"

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
