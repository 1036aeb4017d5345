package directory

import (
	"testing"
	"time"
)

// timeToHandOver delays the ticks of a leader by delay(i) and returns the time until
// it hands over; 0 if it never does.
func timeToHandOver(detector *slowLeaderDetector, delay func(i int) time.Duration) time.Duration {
	now := time.Unix(1_700_000_000, 0)
	began := now
	for i := range 1000 {
		if detector.tick(now, true) {
			return now.Sub(began)
		}
		now = now.Add(detector.interval + delay(i))
	}
	return 0
}

func TestASlowLeaderHandsOver(t *testing.T) {
	for name, c := range map[string]struct {
		delay  func(i int) time.Duration
		within time.Duration
	}{
		"on time":              {func(int) time.Duration { return 0 }, 0},
		"a little late":        {func(int) time.Duration { return 40 * time.Millisecond }, 0},
		"throttled":            {func(int) time.Duration { return 300 * time.Millisecond }, 10 * time.Second},
		"one long pause":       {func(i int) time.Duration { return map[int]time.Duration{200: time.Second}[i] }, 0},
		"busy after its start": {func(i int) time.Duration { return map[bool]time.Duration{true: 200 * time.Millisecond}[i < 8] }, 0},
	} {
		detector := &slowLeaderDetector{interval: watchInterval}
		got := timeToHandOver(detector, c.delay)
		if (got == 0) != (c.within == 0) || got > c.within {
			t.Errorf("%s: hands over after %s, want within %s", name, got, c.within)
		}
	}
}

// A leader that failed to hand over retries only after handOverGrace. A process that
// does not lead never hands over.
func TestHandOverIsRetriedAfterTheGracePeriod(t *testing.T) {
	detector := &slowLeaderDetector{interval: watchInterval}
	now := time.Unix(1_700_000_000, 0)
	var times []time.Time
	for range 100 {
		now = now.Add(watchInterval + 400*time.Millisecond)
		if detector.tick(now, true) {
			times = append(times, now)
		}
	}
	if len(times) < 2 || times[1].Sub(times[0]) < handOverGrace {
		t.Errorf("handed over at %v", times)
	}
	for range 100 {
		now = now.Add(watchInterval + 400*time.Millisecond)
		if detector.tick(now, false) {
			t.Fatal("a process that does not lead hands over")
		}
	}
}
