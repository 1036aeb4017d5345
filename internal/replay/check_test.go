package replay

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

var t0 = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

var once = trace.Record{Kind: trace.KindOnce, Workspace: "club", Path: "/v1/entries/confirm", Key: "k1"}

func onceHash(t *testing.T) string {
	t.Helper()
	r, err := once.Request()
	if err != nil {
		t.Fatal(err)
	}
	return r.Hash()
}

func entry(ev standin.Event, ms int, run uint64) standin.Entry {
	return standin.Entry{
		Event: ev, At: at(ms).UnixMicro(), Run: run, Server: "s1", Service: "entries", DataCentre: "b", Incarnation: "i1",
		Capacity: 2, ColdCapacity: 1, State: standin.StateReady, Workspace: "club",
	}
}

func state(st standin.State, ms int) standin.Entry {
	e := entry(standin.EventState, ms, 0)
	e.State = st
	return e
}

// compliantObservation returns an observation without violations: one completed
// call with its run in the ledger, a drain, a graceful restart and a revision.
func compliantObservation(t *testing.T) Observation {
	t.Helper()
	begin, end := entry(standin.EventBegin, 100, 1), entry(standin.EventEnd, 300, 1)
	begin.Key, begin.Request, begin.Hash = "k1", "r1~entries~b~s1", onceHash(t)
	end.Hash, end.Outcome = begin.Hash, standin.OutcomeCompleted
	return Observation{
		Records: []trace.Record{once},
		Exchanges: []Exchange{
			{Router: "router-1", RequestID: "r0", Sent: at(0), Ended: at(50), Status: 503, Outcome: errkind.NotRun, Kind: errkind.QueueFull, Verdict: VerdictNone},
			{Router: "router-2", RequestID: "r1~entries~b~s1", Sent: at(90), Ended: at(310), Status: 200, Outcome: errkind.Completed, Verdict: VerdictComplete},
		},
		Ledger:  []standin.Entry{state(standin.StateCold, 0), state(standin.StateReady, 50), begin, end},
		Samples: []Sample{{At: at(0), Router: "router-1", Reached: true, Revision: config.Revision{Epoch: 1, Number: 2}}},
		Events:  []Event{event(ActionDrain, 1000, "b"), event(ActionUndrain, 20000, "b"), event(ActionStop, 0, "router-2"), event(ActionStopped, 500, "router-2")},
		Bounds:  DefaultBounds(),
	}
}

func event(a Action, ms int, target string) Event {
	return Event{AtMs: at(ms).UnixMilli(), Action: a, Target: target}
}

func sample(router string, ms int, number uint64) Sample {
	return Sample{At: at(ms), Router: router, Reached: true, Revision: config.Revision{Epoch: 1, Number: number}}
}

func violatedPromises(t *testing.T, o Observation) []string {
	t.Helper()
	var out []string
	for _, p := range Check(o) {
		if len(p.Violations) > 0 {
			out = append(out, p.Name)
		}
	}
	return out
}

func TestKeptPromisesGiveNoViolation(t *testing.T) {
	if got := violatedPromises(t, compliantObservation(t)); got != nil {
		t.Fatalf("broken: %v", got)
	}
	for _, p := range Check(compliantObservation(t)) {
		if p.Checked == 0 && !strings.Contains(p.Name, "leaving") && !strings.Contains(p.Name, "multiple") && !strings.Contains(p.Name, "everywhere") {
			t.Errorf("%s: no case was checked", p.Name)
		}
	}
}

// TestFabricatedViolationsAreFound violates one promise at a time.
func TestFabricatedViolationsAreFound(t *testing.T) {
	rerun := entry(standin.EventBegin, 400, 2)
	rerun.Key, rerun.Server, rerun.Request = "k1", "s2", "r2"
	for _, tc := range []struct {
		name    string
		want    string
		violate func(o *Observation)
	}{
		{"another caller's answer", "own answer", func(o *Observation) { o.Exchanges[1].Verdict = VerdictWrong }},
		{"a second run", "at most once", func(o *Observation) { o.Ledger = append(o.Ledger, rerun) }},
		{"a refused request ran", "not run", func(o *Observation) { o.Exchanges[0].RequestID = "r1" }},
		{"a key always refused ran", "not run", func(o *Observation) { o.Exchanges = o.Exchanges[:1] }},
		{"completed without a run", "completed", func(o *Observation) { o.Ledger = o.Ledger[:3] }},
		{"failed without a failed run", "completed", func(o *Observation) { o.Exchanges[1].Outcome = errkind.Failed }},
		{"over capacity", "capacity", func(o *Observation) {
			for run := range uint64(3) {
				o.Ledger = append(o.Ledger, entry(standin.EventBegin, 400, run+2))
			}
		}},
		{"over cold capacity", "capacity", func(o *Observation) {
			a, b := entry(standin.EventBegin, 10, 2), entry(standin.EventBegin, 11, 3)
			a.State, b.State = standin.StateCold, standin.StateCold
			o.Ledger = append([]standin.Entry{o.Ledger[0], a, b}, o.Ledger[1:]...)
		}},
		{"still loaded long after it turned cold", "capacity", func(o *Observation) {
			a, b := entry(standin.EventBegin, 4000, 2), entry(standin.EventBegin, 4001, 3)
			a.State, b.State = standin.StateCold, standin.StateCold
			o.Events = nil
			o.Ledger = append(o.Ledger, state(standin.StateCold, 1000), a, b)
		}},
		{"work at a data centre that is out", "data centre that is out", func(o *Observation) { o.Ledger = append(o.Ledger, entry(standin.EventBegin, 6100, 2)) }},
		{"work at a leaving server", "leaving", func(o *Observation) {
			o.Events = nil
			o.Ledger = append(o.Ledger, state(standin.StateLeaving, 400), entry(standin.EventBegin, 5500, 2))
		}},
		{"a revision reverts", "reverts", func(o *Observation) {
			o.Samples = append(o.Samples, sample("router-1", 100, 1))
		}},
		{"a revision is late", "everywhere", func(o *Observation) {
			o.Samples = append(o.Samples, sample("router-3", 6500, 1))
		}},
		{"a request cut in a graceful shutdown", "graceful", func(o *Observation) {
			o.Exchanges = append(o.Exchanges, Exchange{Router: "router-2", Sent: at(100), Ended: at(200), Error: "unexpected EOF", Verdict: VerdictNone})
		}},
		{"one server takes all", "multiple", func(o *Observation) {
			o.Events = nil
			o.Ledger = append(o.Ledger, unevenLoad()...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := compliantObservation(t)
			tc.violate(&o)
			got := violatedPromises(t, o)
			if len(got) != 1 || !strings.Contains(got[0], tc.want) {
				t.Fatalf("violated: %q, want only %q", got, tc.want)
			}
		})
	}
}

// unevenLoad returns the entries of two servers, one with ten runs and one idle.
func unevenLoad() []standin.Entry {
	idle := state(standin.StateReady, 0)
	idle.Server = "s0"
	out, ends := []standin.Entry{idle}, []standin.Entry(nil)
	for i := range 10 {
		b, e := entry(standin.EventBegin, 1000, uint64(10+i)), entry(standin.EventEnd, 9000, uint64(10+i))
		b.Capacity, e.Capacity = 100, 100
		ends = append(ends, e)
		out = append(out, b)
	}
	return append(out, ends...)
}

func TestUnavoidableCasesAreNoViolation(t *testing.T) {
	for name, change := range map[string]func(o *Observation){
		"work that began just before the notice of cold": func(o *Observation) {
			a, b := entry(standin.EventBegin, 1500, 2), entry(standin.EventBegin, 1501, 3)
			a.State, b.State = standin.StateCold, standin.StateCold
			o.Events = nil
			o.Ledger = append(o.Ledger, state(standin.StateCold, 1000), a, b)
		},
		"work within the bound after the drain": func(o *Observation) { o.Ledger = append(o.Ledger, entry(standin.EventBegin, 5900, 2)) },
		"a paused router has an old revision": func(o *Observation) {
			o.Events = append(o.Events, event(ActionPause, 100, "router-3"), event(ActionResume, 6900, "router-3"))
			o.Samples = append(o.Samples, sample("router-3", 7000, 1))
		},
		"a refused connection in a graceful shutdown": func(o *Observation) {
			o.Exchanges = append(o.Exchanges, Exchange{Router: "router-2", Sent: at(100), Ended: at(200), NotSent: true, Error: "refused", Verdict: VerdictNone})
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := compliantObservation(t)
			change(&o)
			if got := violatedPromises(t, o); got != nil {
				t.Fatalf("broken: %v", got)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		got   string
		clean bool
		want  Verdict
	}{
		{"answer", true, VerdictComplete},
		{"ans", true, VerdictWrong}, // truncated without an error
		{"", true, VerdictWrong},
		{"ans", false, VerdictTruncated},
		{"answer", false, VerdictTruncated},
		{"", false, VerdictNone},
		{"axs", false, VerdictWrong},
		{"answers", false, VerdictWrong},
	} {
		if got := Compare([]byte("answer"), []byte(tc.got), tc.clean); got != tc.want {
			t.Errorf("Compare(%q, clean %v) = %s, want %s", tc.got, tc.clean, got, tc.want)
		}
	}
}

// TestMeanExcludesServersInTheirRamp checks which servers count for the mean: s1 and
// s2 have two runs each, s3 joins idle after 10 s.
func TestMeanExcludesServersInTheirRamp(t *testing.T) {
	var ledger []standin.Entry
	for i, server := range []string{"s1", "s2", "s3"} {
		ready := state(standin.StateReady, 0)
		ready.Server = server
		if server == "s3" {
			ready = state(standin.StateReady, 10_000)
			ready.Server = server
		}
		ledger = append(ledger, ready)
		for run := range uint64(2 * min(1, 2-i)) {
			b, e := entry(standin.EventBegin, 100, run), entry(standin.EventEnd, 40_000, run)
			b.Server, e.Server = server, server
			ledger = append(ledger, b, e)
		}
	}
	l := newLoadHistory(ledger, 2*time.Second)
	servers := l.pools[pool{"entries", "b"}]
	for _, tc := range []struct {
		window int
		ramp   time.Duration
		want   int
	}{
		{2, 3 * time.Second, 2},  // s3 has not joined yet
		{6, 5 * time.Second, 2},  // s3 is in its ramp
		{10, 5 * time.Second, 3}, // s3 is warm
		{6, time.Hour, 3},        // no server is warm, so all count
	} {
		if got := len(l.members(servers, tc.window, tc.ramp)); got != tc.want {
			t.Errorf("window %d, ramp %v: %d members, want %d", tc.window, tc.ramp, got, tc.want)
		}
	}
}
