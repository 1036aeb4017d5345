package fleetview

import (
	"slices"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// Guards against versions that a router forgets because one of the directory processes that it follows has recorded
// fewer, or because it ends.
func TestVersionsThatTheDirectoryRecordedCount(t *testing.T) {
	v, first := newView()
	second := &link{view: v, address: "d:2", wake: make(chan struct{}, 1), cancel: func() {}}
	v.links["d:2"] = second
	told := func(versions ...string) update {
		all := &fleetpb.AllServedVersions{Services: []*fleetpb.ServedVersions{{Service: "chat", Versions: versions}}}
		return update{FollowUpdate: &fleetpb.FollowUpdate{ServedVersions: all}}
	}
	for _, step := range []struct {
		name string
		do   func()
		want []string
	}{
		{"the first list", func() { v.onUpdate(first, told("v1", "v2")) }, []string{"v1", "v2"}},
		{"a message without versions", func() { v.onUpdate(first, update{FollowUpdate: &fleetpb.FollowUpdate{}}) }, []string{"v1", "v2"}},
		{"a process that knows fewer", func() { v.onUpdate(second, told("v2", "v3")) }, []string{"v1", "v2", "v3"}},
		{"the loss of a process", func() { v.removeLink(first) }, []string{"v1", "v2", "v3"}},
		{"a change", func() { v.onUpdate(second, told("v3")) }, []string{"v3"}},
		{"all forgotten", func() {
			v.onUpdate(second, update{FollowUpdate: &fleetpb.FollowUpdate{ServedVersions: &fleetpb.AllServedVersions{}}})
		}, nil},
	} {
		step.do()
		if got := slices.Sorted(slices.Values(v.opts.Fleet.Versions("chat"))); !slices.Equal(got, step.want) {
			t.Errorf("after %s: versions %v, want %v", step.name, got, step.want)
		}
	}
}
