package grantor

import (
	"testing"
	"time"
)

func TestWaitWatch(t *testing.T) {
	var w waitWatch
	const ms = time.Millisecond
	w.tick(0)
	w.tick(50 * ms)
	for _, s := range []struct{ now, want time.Duration }{{60 * ms, 0}, {300 * ms, 0}, {3050 * ms, 3000 * ms}} {
		if got := w.waited(s.now); got != s.want {
			t.Errorf("at %v a message may have waited %v, want %v", s.now, got, s.want)
		}
	}
	w.tick(3050 * ms)
	w.tick(3100 * ms)
	for _, s := range []struct{ now, want time.Duration }{{3110 * ms, 3000 * ms}, {3340 * ms, 3000 * ms}} {
		if got := w.waited(s.now); got != s.want {
			t.Errorf("at %v, after the pause, a message may have waited %v, want %v", s.now, got, s.want)
		}
	}
	for at := 3150 * ms; at < 3600*ms; at += 50 * ms {
		w.tick(at)
	}
	if got := w.waited(3600 * ms); got != 0 {
		t.Errorf("long after the pause a message may have waited %v", got)
	}
}
