package grantor

import (
	"testing"
	"time"
)

func TestPauseDetector(t *testing.T) {
	var w pauseDetector
	const ms = time.Millisecond
	w.tick(0)
	w.tick(50 * ms)
	for _, s := range []struct{ now, want time.Duration }{{60 * ms, 0}, {300 * ms, 0}, {3050 * ms, 3000 * ms}} {
		if got := w.possibleDelay(s.now); got != s.want {
			t.Errorf("at %v: possible delay %v, want %v", s.now, got, s.want)
		}
	}
	w.tick(3050 * ms)
	w.tick(3100 * ms)
	for _, s := range []struct{ now, want time.Duration }{{3110 * ms, 3000 * ms}, {3340 * ms, 3000 * ms}} {
		if got := w.possibleDelay(s.now); got != s.want {
			t.Errorf("at %v, after the pause: possible delay %v, want %v", s.now, got, s.want)
		}
	}
	for at := 3150 * ms; at < 3600*ms; at += 50 * ms {
		w.tick(at)
	}
	if got := w.possibleDelay(3600 * ms); got != 0 {
		t.Errorf("long after the pause: possible delay %v, want 0", got)
	}
}
