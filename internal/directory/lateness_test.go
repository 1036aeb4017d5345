package directory

import (
	"testing"
	"time"
)

// led lets the ticks of a leader come late by the time given, and returns after how
// long it gives its duty up; 0 if it never does.
func led(l *lateness, late func(i int) time.Duration) time.Duration {
	now := time.Unix(1_700_000_000, 0)
	began := now
	for i := range 1000 {
		if l.tick(now, true) {
			return now.Sub(began)
		}
		now = now.Add(l.interval + late(i))
	}
	return 0
}

func TestASlowLeaderGivesItsDutyUp(t *testing.T) {
	for name, c := range map[string]struct {
		late   func(i int) time.Duration
		within time.Duration
	}{
		"on time":         {func(int) time.Duration { return 0 }, 0},
		"a little late":   {func(int) time.Duration { return 40 * time.Millisecond }, 0},
		"slowed":          {func(int) time.Duration { return 300 * time.Millisecond }, 10 * time.Second},
		"one long pause":  {func(i int) time.Duration { return map[int]time.Duration{200: time.Second}[i] }, 0},
		"busy at a start": {func(i int) time.Duration { return map[bool]time.Duration{true: 200 * time.Millisecond}[i < 8] }, 0},
	} {
		l := &lateness{interval: watchInterval}
		got := led(l, c.late)
		if (got == 0) != (c.within == 0) || got > c.within {
			t.Errorf("%s: gives up after %s, want within %s", name, got, c.within)
		}
	}
}

// A leader that could not give its duty up tries again after a while only, and a
// process that does not lead never does.
func TestDutyIsGivenUpOnceInAWhile(t *testing.T) {
	l := &lateness{interval: watchInterval}
	now := time.Unix(1_700_000_000, 0)
	var times []time.Time
	for range 100 {
		now = now.Add(watchInterval + 400*time.Millisecond)
		if l.tick(now, true) {
			times = append(times, now)
		}
	}
	if len(times) < 2 || times[1].Sub(times[0]) < leastLed {
		t.Errorf("given up at %v", times)
	}
	for range 100 {
		now = now.Add(watchInterval + 400*time.Millisecond)
		if l.tick(now, false) {
			t.Fatal("a process that does not lead gives the duty up")
		}
	}
}
