package replication

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// startConfig is how the directory runs its group.
func startConfig(id, disk string) Config {
	c := DefaultConfig(id, disk)
	c.ElectionTimeout, c.Heartbeat = 500*time.Millisecond, 100*time.Millisecond
	c.FirstElection, c.ConfirmTime = 150*time.Millisecond, 800*time.Millisecond
	return c
}

// startTimes returns how long groups that start whole take to have a leader, sorted. Each
// message takes up to the delay, as on VMs that are busy with their start.
func startTimes(t *testing.T, voters int, delay time.Duration) []time.Duration {
	t.Helper()
	var out []time.Duration
	for seed := range uint64(200) {
		s := newSim(t, seed, voters)
		for _, id := range s.order {
			n := s.nodes[id]
			n.core = New(startConfig(id, n.disk.id), rand.New(rand.NewPCG(s.rng.Uint64(), 2)), 0, Restored{HardState: n.disk.hs, Entries: n.disk.log})
		}
		s.maxDelay = delay
		for s.leader() == nil && s.now < 10*time.Second {
			s.step()
		}
		out = append(out, s.now)
	}
	slices.Sort(out)
	return out
}

// A leader takes the wait of a first election, at most twice FirstElection, and six
// messages: the disk is confirmed, the pre-vote and the vote are asked for and
// answered. Votes that are split cost more, which is for a tenth of the starts.
func TestAGroupThatStartsWholeSoonHasALeader(t *testing.T) {
	for _, voters := range []int{3, 4, 8} {
		for _, delay := range []time.Duration{15 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			got := startTimes(t, voters, delay)
			t.Logf("%d voters, messages up to %s: median %s, p90 %s, worst %s", voters, delay, got[100], got[180], got[199])
			bound := 2*startConfig("", "").FirstElection + 6*delay
			if got[180] > bound || got[199] > 2*bound {
				t.Errorf("%d voters, messages up to %s: p90 %s, worst %s, want %s and %s", voters, delay, got[180], got[199], bound, 2*bound)
			}
		}
	}
}
