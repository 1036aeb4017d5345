package rollout

import "testing"

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
		if worst, _ := new(Judge).Worst(totals, Observing); worst.Condemns() != tc.want {
			t.Errorf("others in bucket %d, most of the target's attempts in bucket %d: condemned %t (%s), want %t", tc.others, tc.target, worst.Condemns(), worst, tc.want)
		}
	}
}
