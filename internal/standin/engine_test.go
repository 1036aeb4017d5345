package standin

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

var startTime = time.Unix(1_700_000_000, 0)

func prompt(tokens int, text string) []uint64 {
	return Blocks(bytes.Repeat([]byte(text), tokens))
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := NewCache(4 * BlockTokens)
	a, b := prompt(2*BlockTokens, "aaaa"), prompt(2*BlockTokens, "bbbb")
	c.Insert(a)
	c.Insert(b)
	c.Insert(a)
	_, evicted := c.Insert(prompt(2*BlockTokens, "cccc"))
	if len(evicted) != 2 || c.Match(a) != 2 || c.Match(b) != 0 {
		t.Fatalf("evicted %d, a %d, b %d; want b evicted", len(evicted), c.Match(a), c.Match(b))
	}
	long := prompt(6*BlockTokens, "dddd")
	c.Insert(long)
	if c.Len() != 4 || c.Match(long) != 4 {
		t.Fatalf("a prompt over the capacity: len %d, match %d; want its first 4 blocks", c.Len(), c.Match(long))
	}
}

func TestBlocksShareOnlyPrefixes(t *testing.T) {
	a := append(bytes.Repeat([]byte("s"), 2*blockBytes), bytes.Repeat([]byte("x"), blockBytes)...)
	b := append(bytes.Repeat([]byte("s"), 2*blockBytes), bytes.Repeat([]byte("y"), blockBytes+5)...)
	ba, bb := Blocks(a), Blocks(b)
	if len(ba) != 3 || len(bb) != 3 || ba[1] != bb[1] || ba[2] == bb[2] {
		t.Fatalf("blocks %x and %x", ba, bb)
	}
}

func testEngine() *Engine {
	return NewEngine(EngineConfig{
		Capacity: 2, ColdCapacity: 1, ColdTime: time.Second, ColdSlowdown: 4, FallTime: 2 * time.Second,
		BatchInterval: 10 * time.Millisecond, PrefillPerToken: time.Millisecond, TokenInterval: 20 * time.Millisecond,
		BatchSlowdown: 1, CacheTokens: 1024, ReportLag: 100 * time.Millisecond, EventDelay: 50 * time.Millisecond,
	}, startTime)
}

func TestEngineReusesPrefix(t *testing.T) {
	e := testEngine()
	now := startTime.Add(2 * time.Second)
	p := prompt(64, "abcd")
	first, _ := e.Begin(now, Run{ID: "1", Blocks: p})
	e.End(now, "1")
	second, _ := e.Begin(now, Run{ID: "2", Blocks: p})
	if first.CachedTokens != 0 || second.CachedTokens != 64 {
		t.Fatalf("cached %d then %d, want 0 then 64", first.CachedTokens, second.CachedTokens)
	}
	if got := first.FirstToken.Sub(second.FirstToken); got != 64*time.Millisecond {
		t.Fatalf("reuse saved %v, want 64ms", got)
	}
}

func TestEngineBatchesAndQueuesByPriority(t *testing.T) {
	e := testEngine()
	now := startTime.Add(2*time.Second + 3*time.Millisecond)
	a, _ := e.Begin(now, Run{ID: "a"})
	if want := startTime.Add(2*time.Second + 30*time.Millisecond); !a.FirstToken.Equal(want) {
		t.Fatalf("first token at %v, want the next step plus one token: %v", a.FirstToken, want)
	}
	b, _ := e.Begin(now, Run{ID: "b"})
	if b.Interval <= a.Interval {
		t.Fatalf("interval %v alone and %v in a batch", a.Interval, b.Interval)
	}
	for i, prio := range []int{1, 5, 5} {
		if _, ok := e.Begin(now, Run{ID: fmt.Sprint("w", i), Priority: prio}); ok {
			t.Fatal("a run started although no slot was free")
		}
	}
	e.End(now, "w1")
	if got := e.End(now, "a"); len(got) != 1 || got[0].ID != "w2" {
		t.Fatalf("started %+v, want w2: the highest priority left", got)
	}
	if e.InFlight() != 3 {
		t.Fatalf("in flight %d, want 3", e.InFlight())
	}
}

func TestColdEngineOverload(t *testing.T) {
	e := testEngine()
	slow, _ := e.Begin(startTime, Run{ID: "1"})
	if slow.Interval != 80*time.Millisecond || e.Overloaded(startTime) || e.State(startTime) != StateCold {
		t.Fatalf("one run on a cold engine: interval %v, overloaded %v", slow.Interval, e.Overloaded(startTime))
	}
	e.Begin(startTime, Run{ID: "2"})
	if !e.Overloaded(startTime) || e.Overloaded(startTime.Add(3*time.Second)) {
		t.Fatal("a cold engine over its cold capacity must be overloaded, and recover after the fall time")
	}
	if got := e.ReadyFor(startTime.Add(4 * time.Second)); got != 3*time.Second {
		t.Fatalf("ready for %v, want 3s", got)
	}
	e.TurnCold(startTime.Add(5 * time.Second))
	if e.State(startTime.Add(5500*time.Millisecond)) != StateCold || e.State(startTime.Add(6*time.Second)) != StateReady {
		t.Fatal("after TurnCold the engine must be cold for the cold time")
	}
}

func TestReportsLagAndEventsAreDelayed(t *testing.T) {
	e := testEngine()
	now := startTime.Add(2 * time.Second)
	e.Begin(now, Run{ID: "1", Blocks: prompt(32, "abcd")})
	if got := e.Report(now.Add(99 * time.Millisecond)); got.Running != 0 || got.Age != 100*time.Millisecond {
		t.Fatalf("report before the lag: %+v", got)
	}
	if got := e.Report(now.Add(100 * time.Millisecond)); got.Running != 1 {
		t.Fatalf("report after the lag: %+v", got)
	}
	if n := len(e.Events(now.Add(49*time.Millisecond), 0)); n != 0 {
		t.Fatalf("%d events before the delay", n)
	}
	if n := len(e.Events(now.Add(50*time.Millisecond), 0)); n != 1 {
		t.Fatalf("%d events after the delay, want 1", n)
	}
}

func TestCacheEventsHaveGaps(t *testing.T) {
	e := NewEngine(EngineConfig{Capacity: 1, CacheTokens: 1 << 20, EventLoss: 0.3, Seed: 7}, startTime)
	const runs = 200
	for i := range runs {
		e.Begin(startTime, Run{ID: "r", Blocks: prompt(16, fmt.Sprintf("%04d", i))})
		e.End(startTime, "r")
	}
	got := e.Events(startTime, 0)
	if len(got) < runs/2 || len(got) > runs*9/10 {
		t.Fatalf("%d of %d events published, want about 140", len(got), runs)
	}
	if last := got[len(got)-1].Sequence; last < uint64(len(got)) {
		t.Fatalf("last sequence %d", last)
	}
}
