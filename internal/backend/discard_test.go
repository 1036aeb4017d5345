package backend

import (
	"context"
	"testing"
	"time"
)

// awaitNone waits until no connection of a pool is open, and reports whether that comes about.
func (s *serverPool) awaitNone() bool {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := s.openConns
		s.mu.Unlock()
		if n == 0 {
			return true
		}
	}
	return false
}

// checkNoneStaysOpen reads a response with a length, and one without that ends with the channel, to their ends. Both must be whole, and
// no connection of their pool may be open after them.
func checkNoneStaysOpen(t *testing.T, framed, unframed *Response, end chan<- struct{}) {
	t.Helper()
	if _, err := framed.ReadAll(10, func(int64) error { return nil }); err != nil {
		t.Error(err)
	}
	framed.Close()
	close(end)
	if rest, err := unframed.ReadAll(10, func(int64) error { return nil }); string(rest) != "b" || err != nil {
		t.Errorf("read %q, %v", rest, err)
	}
	unframed.Close()
	if !unframed.conn.pool.awaitNone() {
		t.Error("connections stay open")
	}
}

// Guards against connections to the former address of an incarnation that stay open: idle ones, those in use, and the
// witness.
func TestConnectionsToAFormerAddressAreClosed(t *testing.T) {
	end := make(chan struct{})
	s, successor := newMixedServer(t, end), newMixedServer(t, end)
	pool := newRunningPool(t)
	long, err := s.begin(t, pool, s.target(), Request{Target: "/long"})
	if err != nil {
		t.Fatal(err)
	}
	awaitWitnessOf(t, long)
	used, err := s.begin(t, pool, s.target(), Request{Target: "/length"})
	if err != nil {
		t.Fatal(err)
	}
	if err := pool.Probe(t.Context(), s.target()); err != nil { // It leaves an idle connection.
		t.Fatal(err)
	}
	former := long.conn.pool
	if _, err := s.begin(t, pool, successor.target(), Request{Target: "/length"}); err != nil {
		t.Fatal(err)
	}
	former.mu.Lock()
	idle := len(former.idle)
	former.mu.Unlock()
	if idle > 0 {
		t.Errorf("%d idle connections to the former address", idle)
	}
	checkNoneStaysOpen(t, used, long, end)
}

// Guards against connections that stay open when the pool has stopped: a witness, one that is in use then, and an idle one that its
// server keeps for long.
func TestAPoolThatStopsClosesItsConnections(t *testing.T) {
	end := make(chan struct{})
	s := newMixedServer(t, end)
	pool := NewPool(Options{})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error)
	go func() { stopped <- pool.Run(ctx) }()
	long, err := s.begin(t, pool, s.target(), Request{Target: "/long"})
	if err != nil {
		t.Fatal(err)
	}
	awaitWitnessOf(t, long)
	used, err := s.begin(t, pool, s.target(), Request{Target: "/length"})
	if err != nil {
		t.Fatal(err)
	}
	if err := pool.Probe(t.Context(), s.target()); err != nil {
		t.Fatal(err)
	}
	sp := long.conn.pool
	sp.mu.Lock()
	for _, c := range sp.idle {
		c.idleTimeout = maxIdleSeconds * time.Second
	}
	sp.mu.Unlock()
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	checkNoneStaysOpen(t, used, long, end)
}
