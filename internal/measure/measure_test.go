package measure

import (
	"reflect"
	"testing"
	"time"
)

func smallSize() Size {
	return Size{
		Name:  "small",
		Fleet: FleetConfig{Routers: 8, Engines: 20, DataCentres: 3, Slots: 16, ColdSlots: 2, CacheTokens: 60_000},
		Trace: TraceConfig{Seed: 7, Length: 2 * time.Minute, Rate: 22, Workspaces: 10, PauseMedian: 10 * time.Second},
	}
}

func TestRunIsDeterministic(t *testing.T) {
	a, err := Run([]Size{smallSize()})
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run([]Size{smallSize()})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs from the same seeds differ")
	}
}

func TestEveryRequestEnds(t *testing.T) {
	for _, sc := range Scenarios() {
		for _, p := range policies() {
			sz := smallSize()
			fc := sz.Fleet
			fc.ReportLag = sc.Lag
			s := newSim(fc, Generate(sz.Trace), sz.Trace.Seed)
			if sc.schedule != nil {
				sc.schedule(s, sz.Trace.Length)
			}
			m := s.run(p)
			ended := m.refused
			for _, h := range m.firstToken {
				ended += h.TotalCount()
			}
			if m.unfinished != 0 || ended != m.requests {
				t.Errorf("%s, %s: %d requests, %d ended, %d unfinished", sc.Name, p.Name(), m.requests, ended, m.unfinished)
			}
		}
	}
}

func TestOracleReusesMost(t *testing.T) {
	results, err := Run([]Size{smallSize()})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Scenario == "calm" && r.Policy == "random" && r.Reuse >= oracleReuse(results, r) {
			t.Errorf("random placement reuses %.3f, the oracle %.3f", r.Reuse, oracleReuse(results, r))
		}
	}
}

func TestPromptCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPromptCache(100)
	k := func(i uint64) cacheKey { return cacheKey{id: i} }
	c.put(k(1), 40)
	c.put(k(2), 40)
	c.put(k(1), 40)
	c.put(k(3), 40)
	if c.tokens(k(2)) != 0 || c.tokens(k(1)) != 40 || c.used != 80 {
		t.Errorf("cache holds 1:%d 2:%d 3:%d, used %d", c.tokens(k(1)), c.tokens(k(2)), c.tokens(k(3)), c.used)
	}
}
