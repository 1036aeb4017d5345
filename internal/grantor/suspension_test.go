package grantor

import (
	"testing"
	"time"
)

func TestSuspensionDetector(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name            string
		monotonic, wall time.Duration
		want            bool
	}{
		{"both clocks advance", 11 * s, 11 * s, false},
		{"slewed wall clock", 11 * s, 11*s + 50*time.Millisecond, false},
		{"suspended", 10*s + time.Millisecond, 15 * s, true},
		{"long pause on both clocks", 60 * s, 60 * s, false},
		{"wall clock set back", 11 * s, 5 * s, false},
	} {
		w := suspensionDetector{monotonic: 10 * s, wall: 10 * s}
		if got := w.suspended(tc.monotonic, tc.wall); got != tc.want {
			t.Errorf("%s: suspended = %v", tc.name, got)
		}
		if w.suspended(tc.monotonic+s, tc.wall+s) {
			t.Errorf("%s: the same suspension reported twice", tc.name)
		}
	}
}
