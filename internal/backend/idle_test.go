package backend

import (
	"testing"
	"time"
)

// Guards against requests that must not be lost and that are refused at the limit of connections, or open one, although an idle
// one could serve them or give way: one that has been idle too long for them is not the only one.
func TestANonIdempotentRequestIsNotRefusedBecauseOfOldIdleConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		idle   []time.Duration
		opened bool
	}{
		"a younger one below": {[]time.Duration{-time.Hour, defaultIdleTimeout * 3 / 4}, false},
		"all are old":         {[]time.Duration{defaultIdleTimeout * 3 / 4, defaultIdleTimeout * 3 / 4}, true},
	} {
		s := newMixedServer(t, nil)
		pool, target := newRunningPool(t), s.target()
		target.MaxConnections = len(tc.idle)
		for range tc.idle {
			if err := pool.Probe(t.Context(), target); err != nil {
				t.Fatal(err)
			}
		}
		sp, now := pool.poolFor(target), time.Now()
		sp.mu.Lock()
		idle := sp.idle
		sp.idle = nil
		for i, c := range idle { // As a former witness becomes idle.
			c.idleSince = now.Add(-tc.idle[i])
			sp.addIdle(c)
		}
		sp.mu.Unlock()
		resp, err := s.begin(t, pool, target, Request{Target: "/length", NonIdempotent: true})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if resp.Opened != tc.opened {
			t.Errorf("%s: a connection was opened: %t, want %t", name, resp.Opened, tc.opened)
		}
	}
}
