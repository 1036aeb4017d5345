package rollout

import (
	"testing"
	"time"
)

// Guards against a sound version that is condemned because its servers answer within 4 ms
// instead of 1.4 ms, which no caller notices, and against one that takes 45 ms instead of 11 not
// being so.
func TestDifferencesOfMillisecondsAreNotSlow(t *testing.T) {
	for _, tc := range []struct {
		others, target int
		want           bool
	}{{1, 4, false}, {7, 11, true}} {
		others, target := &Counts{Sent: 500, Completed: 500, Bad: map[uint32]int{}}, &Counts{Sent: 30, Completed: 30, Bad: map[uint32]int{}}
		others.Pace[tc.others], target.Pace[tc.others], target.Pace[tc.target] = 500, 10, 20
		totals := &Totals{Target: map[uint64]*Counts{1: target}, Others: map[uint64]*Counts{1: others}}
		if worst, _ := new(Judge).Worst(totals, Observing, 0); worst.Condemns() != tc.want {
			t.Errorf("others in bucket %d, most of the target's attempts in bucket %d: condemned %t (%s), want %t", tc.others, tc.target, worst.Condemns(), worst, tc.want)
		}
	}
}

// Guards against attempts that a later look counts as slow, or not any more, because the median of
// the other versions has moved since the mark: both versions answer alike, at 11 to 45 ms.
func TestAMedianThatMovesCondemnsNoSoundVersion(t *testing.T) {
	// Two in ten attempts of either version are in a bucket that counts as slow with one of the
	// medians and not with the other.
	const slower = 7 + slowBuckets
	for _, tc := range []struct {
		name                string
		at7, at8, then, now int
	}{
		{"the median falls", 395, 305, 7, 40}, {"the median rises", 405, 295, 8, 40},
	} {
		others, target := &Counts{Sent: 1000, Completed: 1000}, &Counts{Sent: 30, Completed: 30}
		others.Pace[7], others.Pace[8], others.Pace[slower] = tc.at7, tc.at8, 200
		others.Pace[6] = 100 // The median is at 7 or 8.
		target.Pace[7], target.Pace[slower] = 24, 6
		var judge Judge
		judge.Mark(&Totals{Target: map[uint64]*Counts{1: target}, Others: map[uint64]*Counts{1: others}})
		laterOthers, laterTarget := *others, *target
		laterOthers.Sent, laterOthers.Completed, laterTarget.Sent, laterTarget.Completed = others.Sent+tc.now, others.Completed+tc.now, 31, 31
		laterOthers.Pace[tc.then] += tc.now
		laterTarget.Pace[7]++
		totals := &Totals{Target: map[uint64]*Counts{1: &laterTarget}, Others: map[uint64]*Counts{1: &laterOthers}}
		if before, after := others.slowFrom(Observing), laterOthers.slowFrom(Observing); before == after {
			t.Fatalf("%s: attempts are slow from bucket %d on before and after, want a difference", tc.name, before)
		}
		if worst, _ := judge.Worst(totals, Observing, 0); worst.LogRatio > 0 {
			t.Errorf("%s: %s, want no evidence", tc.name, worst)
		}
	}
}

// Guards against a sound version that is condemned because everything stands still for a moment
// while it has all requests, so that nothing at other versions shows it, and against one that is
// slow all the time, or a part of whose answers is, and is not condemned.
func TestAPauseWhileTheTargetHasAllRequestsCondemnsNoSoundVersion(t *testing.T) {
	const looks, attempts = 20, 16
	for _, tc := range []struct {
		name string
		slow func(look int) int
		want bool
	}{
		{"none is slow", func(int) int { return 0 }, false},
		{"a pause at once", func(look int) int { return int(pick(look < 2, attempts, 0)) }, false},
		{"two pauses", func(look int) int { return int(pick(look == 5 || look == 12, attempts, 0)) }, false},
		{"all are slow", func(int) int { return attempts }, true},
		{"a third is slow", func(int) int { return attempts / 3 }, true},
	} {
		others, target := &Counts{Sent: 3000, Completed: 3000}, &Counts{Sent: 60, Completed: 60}
		others.Pace[4], target.Pace[4] = 3000, 60
		totals := &Totals{Target: map[uint64]*Counts{1: target}, Others: map[uint64]*Counts{1: others}}
		var judge Judge
		judge.Mark(totals)
		judge.Worst(totals, Shifting, 0)
		condemned := false
		for look := range looks {
			next := *totals.Target[1]
			next.Sent, next.Completed = next.Sent+attempts, next.Completed+attempts
			next.Pace[4] += attempts - tc.slow(look)
			next.Pace[12] += tc.slow(look)
			totals = &Totals{Target: map[uint64]*Counts{1: &next}, Others: map[uint64]*Counts{1: others}}
			worst, lasting := judge.Worst(totals, Shifting, time.Duration(look+1)*50*time.Millisecond)
			condemned = condemned || worst.Condemns() || look == looks-1 && lasting.Doubtful()
		}
		if condemned != tc.want {
			t.Errorf("%s: condemned or in doubt at the end: %t, want %t", tc.name, condemned, tc.want)
		}
	}
}

// Guards against a sound version that is rolled back for a doubt of its first moment with all
// requests, although the bound lasts for further ones, which dispel it.
func TestDoubtIsDeferredWhileTheBoundLasts(t *testing.T) {
	const perSecond, look, shiftAt = 350, 50 * time.Millisecond, 9300 * time.Millisecond
	for _, tc := range []struct {
		name string
		slow func(look int) float64
		want Phase
	}{
		{"slow at first", func(look int) float64 { return pick(look <= 2, 0.5, 0) }, Succeeded},
		{"slow for 0.25 s", func(look int) float64 { return pick(look <= 5, 0.5, 0) }, Succeeded},
		{"slow throughout", func(int) float64 { return 0.5 }, RolledBack},
	} {
		c := &Controller{Bounds: DefaultBounds, rate: perSecond}
		r := &Rollout{Service: "chat", Target: "v2", Number: 1, Phase: Shifting, Share: WholeShare, Duration: 12 * time.Second, Elapsed: shiftAt}
		others, target := &Counts{Sent: 2900, Completed: 2900}, Counts{Sent: 60, Completed: 60}
		others.Pace[4], target.Pace[4] = 2900, 60
		var got *Rollout
		for i := 0; got == nil && i < 60; i++ {
			if i > 0 {
				n := int(perSecond * look.Seconds())
				slow := int(tc.slow(i) * float64(n))
				target.Sent, target.Completed = target.Sent+n, target.Completed+n
				target.Pace[4] += n - slow
				target.Pace[12] += slow
			}
			counts := target
			totals := &Totals{Target: map[uint64]*Counts{1: &counts}, Others: map[uint64]*Counts{1: others}}
			got = c.Next(r, Input{Elapsed: shiftAt + time.Duration(i)*look, Totals: totals, Target: Pool{Ready: 3, Warm: 3, Slots: 192}, Others: Pool{Versions: []string{"v1"}}})
		}
		if got == nil || got.Phase != tc.want {
			t.Errorf("%s: ended as %+v, want %s", tc.name, got, tc.want)
		}
	}
}
