package replication

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// directoryConfig returns the configuration with which the directory runs its group.
func directoryConfig(id, disk string) Config {
	c := DefaultConfig(id, disk)
	c.ElectionTimeout, c.HeartbeatInterval = 500*time.Millisecond, 100*time.Millisecond
	c.FirstElectionTimeout, c.ConfirmTimeout = 150*time.Millisecond, 800*time.Millisecond
	return c
}

// firstElectionTimes returns, sorted, how long groups whose voters all start together
// take to elect a leader. Each message takes up to the given delay, as on VMs that are
// busy with starting up.
func firstElectionTimes(t *testing.T, voters int, delay time.Duration) []time.Duration {
	t.Helper()
	var out []time.Duration
	for seed := range uint64(200) {
		s := newSim(t, seed, voters)
		for _, id := range s.nodeIDs {
			n := s.nodes[id]
			n.core = New(directoryConfig(id, n.disk.id), rand.New(rand.NewPCG(s.rng.Uint64(), 2)), 0, RestoredState{HardState: n.disk.hs, Entries: n.disk.log})
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

// The first election takes the wait before a campaign, at most twice
// FirstElectionTimeout, and six messages: a request and a reply each to confirm the
// disk, for the pre-vote and for the vote. A split vote takes longer; the bounds allow
// that in a tenth of the starts.
func TestFirstElectionTimeWhenAllVotersStartTogether(t *testing.T) {
	for _, voters := range []int{3, 4, 8} {
		for _, delay := range []time.Duration{15 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			got := firstElectionTimes(t, voters, delay)
			t.Logf("%d voters, message delay up to %s: median %s, p90 %s, max %s", voters, delay, got[100], got[180], got[199])
			bound := 2*directoryConfig("", "").FirstElectionTimeout + 6*delay
			if got[180] > bound || got[199] > 2*bound {
				t.Errorf("%d voters, message delay up to %s: p90 %s, max %s, want at most %s and %s", voters, delay, got[180], got[199], bound, 2*bound)
			}
		}
	}
}
