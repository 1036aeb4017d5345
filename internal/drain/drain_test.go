package drain

import (
	"fmt"
	"testing"
	"time"
)

// Guards against requests that are taken although the process ends before them: it stops while a
// route's requests take 1 to 2.5 s, and 8 s, 4 s or less are left.
func TestARequestThatWouldOutlastTheProcessIsNotTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	work, mostlyShort := Key{"a", "work"}, Key{"b", "mostly short"}
	rare, unknown := Key{"b", "rare"}, Key{"c", "unknown"}
	g := &Gate{}
	for i := range 300 {
		g.Record(work, time.Second+time.Duration(i)*5*time.Millisecond)
		g.Record(mostlyShort, 100*time.Millisecond)
		if i%50 == 0 {
			g.Record(mostlyShort, 3*time.Second)
		}
	}
	g.Record(rare, 10*time.Millisecond)
	const limit = 15 * time.Second
	if !g.Takes(work, false, limit, now) {
		t.Error("a process that does not stop refuses a request")
	}
	g.Stop(now.Add(8 * time.Second))
	for _, c := range []struct {
		route      Key
		repeatable bool
		left       time.Duration
		limit      time.Duration
		want       bool
	}{
		{work, false, 8 * time.Second, limit, true},
		{work, false, 3300 * time.Millisecond, limit, true},
		{work, false, 2400 * time.Millisecond, limit, false},
		{work, true, 2 * time.Second, limit, false},
		{work, false, 1900 * time.Millisecond, 1500 * time.Millisecond, true},
		{work, true, 0, limit, false},
		{work, true, -time.Second, limit, false},
		{mostlyShort, false, 4 * time.Second, limit, true},
		{mostlyShort, false, 2 * time.Second, limit, false},
		{mostlyShort, true, 2 * time.Second, limit, true},
		{mostlyShort, true, 50 * time.Millisecond, limit, false},
		{rare, true, 8 * time.Second, limit, true}, // As the other requests of its service.
		{rare, true, 50 * time.Millisecond, limit, false},
		{rare, false, 8 * time.Second, limit, false},
		{unknown, true, 8 * time.Second, limit, false},
		{unknown, false, 8 * time.Second, 7 * time.Second, true},
	} {
		at := now.Add(8*time.Second - c.left)
		if got := g.Takes(c.route, c.repeatable, c.limit, at); got != c.want {
			t.Errorf("route %v, repeatable %v, %s left, limit %s: taken %v, want %v", c.route, c.repeatable, c.left, c.limit, got, c.want)
		}
	}
}

func TestCountsFollowTheLoadInBoundedMemory(t *testing.T) {
	g, route := &Gate{}, Key{"s", "r"}
	for range 10 * maxCount {
		g.Record(route, 5*time.Second)
	}
	for range 20 * maxCount {
		g.Record(route, 10*time.Millisecond)
	}
	if c := g.counts[route]; c.longer(time.Second) > 0 || c.total > maxCount {
		t.Errorf("%d of %d requests count as longer than 1 s", c.longer(time.Second), c.total)
	}
	for i := range 2 * maxRoutes {
		g.Record(Key{"s", fmt.Sprint(i)}, time.Second)
	}
	if len(g.counts) > maxRoutes {
		t.Errorf("%d routes and services are counted, at most %d are to be", len(g.counts), maxRoutes)
	}
	for _, d := range []time.Duration{0, minDuration, 119 * time.Second, time.Hour} {
		if i := bucketOf(d); i < 0 || i >= numBuckets {
			t.Errorf("%s: bucket %d", d, i)
		}
	}
}
