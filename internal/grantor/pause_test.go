package grantor

import (
	"testing"
	"time"
)

func TestPauseWatch(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name            string
		monotonic, wall time.Duration
		want            bool
	}{
		{"both go on", 11 * s, 11 * s, false},
		{"slewed wall clock", 11 * s, 11*s + 50*time.Millisecond, false},
		{"suspended", 10*s + time.Millisecond, 15 * s, true},
		{"long, but seen by both", 60 * s, 60 * s, false},
		{"wall clock set back", 11 * s, 5 * s, false},
	} {
		w := pauseWatch{monotonic: 10 * s, wall: 10 * s}
		if got := w.paused(tc.monotonic, tc.wall); got != tc.want {
			t.Errorf("%s: paused = %v", tc.name, got)
		}
		if w.paused(tc.monotonic+s, tc.wall+s) {
			t.Errorf("%s: reported twice", tc.name)
		}
	}
}
