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
	g := &Gate{}
	for i := range 300 {
		g.Record("work", time.Second+time.Duration(i)*5*time.Millisecond)
		g.Record("mostly short", 100*time.Millisecond)
		if i%50 == 0 {
			g.Record("mostly short", 3*time.Second)
		}
	}
	g.Record("new", 10*time.Millisecond)
	const limit = 15 * time.Second
	if !g.Takes("work", limit, now) {
		t.Error("a process that does not stop refuses a request")
	}
	g.Stop(now.Add(8 * time.Second))
	for _, c := range []struct {
		route string
		left  time.Duration
		limit time.Duration
		want  bool
	}{
		{"work", 8 * time.Second, limit, true},
		{"work", 3300 * time.Millisecond, limit, true},
		{"work", 2400 * time.Millisecond, limit, false},
		{"work", 2 * time.Second, limit, false},
		{"work", 1900 * time.Millisecond, 1500 * time.Millisecond, true},
		{"work", 0, limit, false},
		{"work", -time.Second, limit, false},
		{"mostly short", 4 * time.Second, limit, true},
		{"mostly short", 2 * time.Second, limit, false},
		{"mostly short", 50 * time.Millisecond, limit, false},
		{"new", 8 * time.Second, limit, false},
		{"unknown", 8 * time.Second, limit, false},
		{"unknown", 8 * time.Second, 7 * time.Second, true},
	} {
		at := now.Add(8*time.Second - c.left)
		if got := g.Takes(c.route, c.limit, at); got != c.want {
			t.Errorf("route %q, %s left, limit %s: taken %v, want %v", c.route, c.left, c.limit, got, c.want)
		}
	}
}

func TestCountsFollowTheLoadInBoundedMemory(t *testing.T) {
	g := &Gate{}
	for range 10 * maxCount {
		g.Record("r", 5*time.Second)
	}
	for range 20 * maxCount {
		g.Record("r", 10*time.Millisecond)
	}
	if c := g.routes["r"]; c.longer(time.Second) > 1 || c.total > maxCount {
		t.Errorf("%d of %d requests count as longer than 1 s", c.longer(time.Second), c.total)
	}
	for i := range 2 * maxRoutes {
		g.Record(fmt.Sprint(i), time.Second)
	}
	if len(g.routes) > maxRoutes {
		t.Errorf("%d routes are counted, at most %d are to be", len(g.routes), maxRoutes)
	}
	for _, d := range []time.Duration{0, minDuration, 119 * time.Second, time.Hour} {
		if i := bucketOf(d); i < 0 || i >= numBuckets {
			t.Errorf("%s: bucket %d", d, i)
		}
	}
}
