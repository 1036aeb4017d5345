package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// testBench drives one core with one session step by step.
type testBench struct {
	core     *Core
	now      Instant
	lastAsk  uint64
	set      *config.Set
	sequence uint64
	names    []string
}

func newTestBench(servers, capacity int) *testBench {
	b := &testBench{set: &config.Set{
		DataCentres:    map[string]*config.DataCentre{"dc": {Name: "dc"}},
		Services:       map[string]*config.Service{"s": {Name: "s", Policy: "p"}},
		Policies:       map[string]*config.Policy{"p": {Name: "p", ColdRamp: config.Duration(10 * time.Second), EjectAfter: 3}},
		Workspaces:     map[string]*config.Workspace{},
		BackendServers: map[string]*config.BackendServer{},
	}}
	b.core = New(DefaultOptions(), "dc", b.set, 1, 0, time.Hour*1000)
	b.core.OpenSession(0, 1, &grantpb.Hello{Router: "r"})
	b.now = b.core.EarliestConfirmation() + time.Millisecond
	for i := range servers {
		b.names = append(b.names, fmt.Sprint("e", i))
	}
	b.announceAll(capacity)
	return b
}

func (b *testBench) announceAll(capacity int) {
	b.sequence++
	for _, name := range b.names {
		b.core.Announce(b.now, b.announcement(name, capacity))
	}
}

func (b *testBench) announcement(name string, capacity int) *grantpb.Announcement {
	return &grantpb.Announcement{
		Name: name, Service: "s", DataCentre: "dc", Incarnation: "1", Sequence: b.sequence, ReadyMs: 3600000,
		State: grantpb.ServerState_SERVER_STATE_READY, Capacity: uint32(capacity), ColdCapacity: 1,
	}
}

// ask sends an ask and returns its answer, or nil if the ask is queued.
func (b *testBench) ask(workspace string, priority int32, wait time.Duration) *Effect {
	b.sendAsk(workspace, priority, wait)
	return b.firstEffect()
}

func (b *testBench) sendAsk(workspace string, priority int32, wait time.Duration) {
	b.lastAsk++
	b.core.Ask(b.now, 1, &grantpb.Ask{
		AskId: b.lastAsk, Service: "s", Workspace: workspace, Chat: routing.ChatHash(workspace, fmt.Sprint(b.lastAsk)),
		Priority: priority, WaitMs: uint32(wait / time.Millisecond), RunMs: 60000,
	})
}

func (b *testBench) firstEffect() *Effect {
	for _, e := range b.core.Effects() {
		return &e
	}
	return nil
}

func (b *testBench) finish(permit uint64, o grantpb.Outcome) {
	b.core.Started(b.now, 1, permit)
	b.core.Result(b.now, 1, &grantpb.Result{PermitId: permit, Term: 1, Outcome: o})
}

func TestLoadLimit(t *testing.T) {
	for _, tc := range []struct {
		total, n int
		want     int32
	}{
		{1, 20, 3},   // mean below the floor: the bound at the floor
		{41, 20, 3},  // the mean rounded up, since 1.25 × 2.05 rounds down to 2
		{80, 20, 5},  // 1.25 × 4
		{100, 20, 6}, // 1.25 × 5 rounded down
		{200, 20, 12},
		{7, 1, 8},
	} {
		if got := LoadLimit(tc.total, tc.n, 1.25, 2); got != tc.want {
			t.Errorf("LoadLimit(%d, %d) = %d, want %d", tc.total, tc.n, got, tc.want)
		}
	}
}

func TestOutTakesEffectAtOnce(t *testing.T) {
	b := newTestBench(1, 1)
	running := b.ask("w", 5, 0)
	if b.ask("w", 5, time.Second) != nil {
		t.Fatal("the second ask was not queued")
	}
	out := *b.set
	out.DataCentres = map[string]*config.DataCentre{"dc": {Name: "dc", State: config.StateOut}}
	b.core.Configure(b.now, &out)
	if e := b.firstEffect(); e == nil || e.ErrorKind != errkind.DataCentreOut {
		t.Fatalf("the queued ask got %+v, want data-centre-out at once", e)
	}
	b.finish(running.Permit, grantpb.Outcome_OUTCOME_COMPLETED)
	if e := b.ask("w", 5, time.Second); e == nil || e.ErrorKind != errkind.DataCentreOut {
		t.Fatalf("a new ask got %+v, want data-centre-out", e)
	}
}

func TestSurgeLeavesOthersTheirShare(t *testing.T) {
	b := newTestBench(4, 4)
	var running []uint64
	grants := map[string]int{}
	owner := map[uint64]string{}
	collect := func() {
		for _, e := range b.core.Effects() {
			if e.Kind == Granted {
				running = append(running, e.Permit)
				grants[owner[e.AskID]]++
			}
		}
	}
	send := func(workspace string) {
		owner[b.lastAsk+1] = workspace
		b.sendAsk(workspace, 5, time.Minute)
		collect()
	}
	for range 400 {
		for range 20 {
			send("surge")
		}
		for calm := range 4 {
			send(fmt.Sprint("calm", calm))
		}
		b.now += 10 * time.Millisecond
		b.announceAll(4)
		collect()
		for range 6 {
			if len(running) == 0 {
				break
			}
			b.finish(running[0], grantpb.Outcome_OUTCOME_COMPLETED)
			running = running[1:]
			collect()
		}
	}
	for calm := range 4 {
		if got := grants[fmt.Sprint("calm", calm)]; got < 390 {
			t.Errorf("calm%d had %d of its 400 asks granted under the surge", calm, got)
		}
	}
}

func TestUrgentFirstAndPlannersNotStarved(t *testing.T) {
	b := newTestBench(1, 1)
	first := b.ask("w", 5, 0)
	for range 40 {
		b.ask("planner", 0, time.Hour)
		b.ask("runner", 9, time.Hour)
	}
	order, permit := "", first.Permit
	for range 40 {
		b.finish(permit, grantpb.Outcome_OUTCOME_COMPLETED)
		e := b.firstEffect()
		if e.AskID%2 == 0 {
			order += "p"
		} else {
			order += "r"
		}
		permit = e.Permit
	}
	const want = "rrrrrrrp"
	if order != want+want+want+want+want {
		t.Errorf("grants in the order %s, want %s repeated", order, want)
	}
}

func TestRefusesAtOnceWhatCannotBeServedInTime(t *testing.T) {
	b := newTestBench(1, 1)
	e := b.ask("w", 5, 0)
	b.core.Started(b.now, 1, e.Permit)
	b.now += 10 * time.Second
	b.core.Result(b.now, 1, &grantpb.Result{PermitId: e.Permit, Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED})
	b.announceAll(1)
	b.ask("w", 5, 0)
	e = b.ask("w", 5, 3*time.Second)
	if e == nil || e.ErrorKind != errkind.DeadlineUnmeetable || e.RetryAfter != 7*time.Second {
		t.Fatalf("an ask that may wait 3 s for a slot that is expected in 10 s got %+v, want a refusal with retry after 7 s", e)
	}
}

func TestEjectionNeverEmptiesAPool(t *testing.T) {
	b := newTestBench(4, 8)
	for range 400 {
		e := b.ask("w", 5, 0)
		if e.Kind != Granted {
			t.Fatalf("the ask got %+v, want a permit", e)
		}
		b.finish(e.Permit, grantpb.Outcome_OUTCOME_FAILED)
	}
	usable := 0
	for i := range b.core.loads {
		if b.core.loads[i].limit > 0 {
			usable++
		}
	}
	if usable != 2 {
		t.Errorf("%d of 4 servers are usable while all fail, want half", usable)
	}
}

func TestTurnedColdAndFlapping(t *testing.T) {
	b := newTestBench(2, 16)
	limit := func() int32 { return b.core.loads[0].limit }
	step := func(d time.Duration, change func(*grantpb.Announcement)) {
		b.now += d
		b.sequence++
		a := b.announcement("e0", 16)
		a.CacheTokens = 50000
		change(a)
		b.core.Announce(b.now, a)
	}
	none := func(*grantpb.Announcement) {}
	step(time.Second, none)
	if limit() != 16 {
		t.Fatalf("a ready server has limit %d, want 16", limit())
	}
	step(time.Second, func(a *grantpb.Announcement) { a.CacheTokens = 100 })
	if limit() != 1 {
		t.Fatalf("a server that lost its cache has limit %d, want its cold capacity 1", limit())
	}
	for range 16 {
		step(time.Second, none)
	}
	if limit() != 16 {
		t.Fatalf("after the ramp the limit is %d, want 16", limit())
	}
	incarnation := 1
	restart := func(a *grantpb.Announcement) { a.Incarnation = fmt.Sprint(incarnation) }
	for incarnation = 2; incarnation <= 3; incarnation++ {
		step(time.Second, restart)
		if limit() != 1 {
			t.Fatalf("incarnation %d has limit %d, want its cold capacity 1", incarnation, limit())
		}
	}
	step(time.Second, restart)
	if limit() != 0 {
		t.Fatalf("a flapping server has limit %d, want 0 as it is held down", limit())
	}
	step(time.Second, func(a *grantpb.Announcement) { a.Incarnation, a.Sequence = "2", 1 })
	if b.core.servers[0].incarnation != "4" {
		t.Fatal("a late announcement of a replaced incarnation was accepted")
	}
}

// TestLoadBoundHoldsWhileThePoolWarmsUp starts every server of a pool at once, so
// that no server is at full capacity to take the mean load from.
func TestLoadBoundHoldsWhileThePoolWarmsUp(t *testing.T) {
	b := newTestBench(4, 0)
	b.sequence++
	for _, name := range b.names {
		a := b.announcement(name, 60)
		a.Incarnation, a.ReadyMs, a.ColdCapacity = "2", 0, 20
		b.core.Announce(b.now, a)
	}
	const asks = 40
	for i := range asks {
		if e := b.ask("w", 5, 0); e == nil || e.Kind != Granted {
			t.Fatalf("ask %d got %+v", i, e)
		}
	}
	for i := range b.core.servers {
		load := b.core.loads[i]
		if load.warm {
			t.Fatal("a server that has just started counts as warm")
		}
		if limit := LoadLimit(asks, len(b.names), defaultMaxLoadFactor, defaultLoadFloor); load.inFlight > limit {
			t.Errorf("%s has %d in flight, the bound is %d", b.names[i], load.inFlight, limit)
		}
	}
}

// TestFirstConfirmedServersDoNotGetTheLoadOfAll guards against overloading the
// servers that are confirmed first: at the start of a term the reports of a pool's
// servers arrive one by one while many requests are queued.
func TestFirstConfirmedServersDoNotGetTheLoadOfAll(t *testing.T) {
	b := newTestBench(0, 0)
	for i := range 6 {
		b.names = append(b.names, fmt.Sprint("e", i))
	}
	b.sequence++
	for i, name := range b.names {
		a := b.announcement(name, 8)
		if i >= 2 {
			a.MeasuredMsAgo = 60_000 // measured before this term
		}
		b.core.Announce(b.now, a)
	}
	for range 16 {
		b.ask("w", 5, time.Minute)
	}
	limit := LoadLimit(16, len(b.names), defaultMaxLoadFactor, defaultLoadFloor)
	for i := range b.names {
		if load := b.core.loads[i]; load.inFlight > limit {
			t.Errorf("%s has %d in flight, the bound is %d", b.names[i], load.inFlight, limit)
		}
	}
	b.announceAll(8)
	if b.core.inFlight != 16 {
		t.Errorf("%d of 16 asks granted once all servers are confirmed", b.core.inFlight)
	}
}

// TestServerKnownByAHeldPermitStaysWarm guards against taking a server for
// restarted, and so for cold, when a new grantor learns of it first from a permit
// that a router holds and then from its announcement.
func TestServerKnownByAHeldPermitStaysWarm(t *testing.T) {
	b := newTestBench(0, 0)
	b.names = []string{"e0"}
	b.core.OpenSession(b.now, 2, &grantpb.Hello{Router: "r2", Held: []*grantpb.Held{
		{PermitId: 9, Term: 7, Server: "e0", Service: "s", Workspace: "w", RemainingMs: 60_000, RunningMs: 100},
	}})
	b.announceAll(8)
	if load := b.core.loads[0]; load.limit != 8 || !load.warm {
		t.Errorf("limit %d, warm %v, want 8 and true: the server has been ready for an hour and has capacity 8", load.limit, load.warm)
	}
	if s := b.core.servers[0]; s.flaps != 0 || len(s.replaced) != 0 {
		t.Errorf("the first announcement counts as a restart: %d returns, %d incarnations replaced", s.flaps, len(s.replaced))
	}
}

// Guards against two permits of one term with the same id. The second one was granted
// after a permit of another term had used the first one's index.
func TestPermitIDsDoNotRepeatAfterAnAdoptedPermit(t *testing.T) {
	b := newTestBench(1, 1)
	seen := map[uint64]bool{}
	grant := func() {
		t.Helper()
		e := b.ask("w", 5, 0)
		if e == nil || e.Kind != Granted {
			t.Fatalf("got %+v, want a permit", e)
		}
		if seen[e.Permit] {
			t.Fatalf("permit %d was issued twice in a term", e.Permit)
		}
		seen[e.Permit] = true
		b.finish(e.Permit, grantpb.Outcome_OUTCOME_COMPLETED)
	}
	for range 3 {
		grant()
	}
	b.core.OpenSession(b.now, 2, &grantpb.Hello{Router: "r2", Held: []*grantpb.Held{
		{PermitId: 9, Term: 7, Server: "e0", Service: "s", Workspace: "w", RemainingMs: 60_000, RunningMs: 100},
	}})
	b.core.Result(b.now, 2, &grantpb.Result{PermitId: 9, Term: 7, Outcome: grantpb.Outcome_OUTCOME_COMPLETED})
	for range 3 {
		grant()
	}
}

// Guards against a workspace that gets less than its share because it has one request
// waiting at a time, beside one whose queue is never empty.
func TestAWorkspaceWithOneWaitingRequestGetsItsShare(t *testing.T) {
	b := newTestBench(1, 1)
	permit := b.ask("w", 5, 0).Permit
	owner := map[uint64]string{}
	wait := func(workspace string) {
		b.sendAsk(workspace, 5, time.Hour)
		owner[b.lastAsk] = workspace
	}
	for range 100 {
		wait("backlog")
	}
	wait("single")
	grants := map[string]int{}
	for range 60 {
		b.finish(permit, grantpb.Outcome_OUTCOME_COMPLETED)
		e := b.firstEffect()
		permit = e.Permit
		workspace := owner[e.AskID]
		if grants[workspace]++; workspace == "single" {
			wait("single")
		}
	}
	if n := grants["single"]; n < 29 || n > 31 {
		t.Errorf("grants %v, want 30 of 60 for each of two workspaces of the same weight", grants)
	}
}

func TestOverrideOutlivesItsGrantor(t *testing.T) {
	b := newTestBench(2, 4)
	b.core.Override(b.now, Override{Target: "backendServer/e0", Out: true, StampMS: 10})
	b.core.Override(b.now, Override{Target: "backendServer/e0", StampMS: 9}) // older, so ignored
	for range 4 {
		if e := b.ask("w", 5, 0); e.Server != "e1" {
			t.Fatalf("got %+v while e0 is out", e)
		}
	}
	successor := newTestBench(2, 4)
	hello := &grantpb.Hello{Router: "r2"}
	for _, o := range b.core.Overrides() {
		hello.Overrides = append(hello.Overrides, &grantpb.LocalOverride{Target: o.Target, Out: o.Out, StampMs: o.StampMS})
	}
	successor.core.OpenSession(successor.now, 2, hello)
	if e := successor.ask("w", 5, 0); e.Server != "e1" {
		t.Fatalf("the next grantor answered %+v while e0 is out", e)
	}
	successor.core.Override(successor.now, Override{Target: "dataCentre/dc", Out: true, StampMS: 11})
	if e := successor.ask("w", 5, time.Second); e.ErrorKind != errkind.DataCentreOut {
		t.Fatalf("got %+v while the data centre is out", e)
	}
}

func TestFullWorkspacesDoNotBlockTheQueue(t *testing.T) {
	b := newTestBench(1, 12)
	for i := range 12 {
		b.set.Workspaces[fmt.Sprint("full", i)] = &config.Workspace{MaxInFlight: 1}
	}
	first := b.ask("other", 5, 0)
	for b.ask("filler", 5, 0).Kind == Granted {
		continue
	}
	for i := range 12 {
		b.sendAsk(fmt.Sprint("full", i), 5, time.Hour)
	}
	b.sendAsk("other", 5, time.Hour)
	for name := range b.set.Workspaces {
		b.core.workspaces[name].inFlight++ // as if each had been granted a slot in another pool meanwhile
	}
	b.finish(first.Permit, grantpb.Outcome_OUTCOME_COMPLETED)
	if e := b.firstEffect(); e == nil || e.AskID != b.lastAsk {
		t.Fatalf("the slot went to %+v, want the only workspace below its limit", e)
	}
}

func TestResumeAndExclusion(t *testing.T) {
	b := newTestBench(2, 1)
	a := &grantpb.Ask{AskId: 1, Service: "s", Workspace: "w", Excluded: []string{"e0"}, RunMs: 1000}
	b.core.Ask(b.now, 1, a)
	if e := b.firstEffect(); e.Server != "e1" {
		t.Fatalf("got %+v with e0 excluded, want e1", e)
	}
	b.sequence++
	leaving := b.announcement("e0", 1)
	leaving.State = grantpb.ServerState_SERVER_STATE_LEAVING
	b.core.Announce(b.now, leaving)
	if e := b.ask("w", 5, 0); e.Kind != Refused {
		t.Fatalf("new work got %+v with e0 leaving and e1 full, want a refusal", e)
	}
	b.core.Ask(b.now, 1, &grantpb.Ask{AskId: 90, Service: "s", Workspace: "w", Server: "e0"})
	if e := b.firstEffect(); e.Kind != Granted || e.Server != "e0" {
		t.Fatalf("the rest of a stream at the leaving server e0 got %+v, want a permit there", e)
	}
	b.core.Ask(b.now, 1, &grantpb.Ask{AskId: 91, Service: "s", Workspace: "w", Server: "e0"})
	if e := b.firstEffect(); e.Kind != Refused {
		t.Fatalf("an ask for a second slot at a server with capacity 1 got %+v, want a refusal", e)
	}
}

func TestHoldDownDoublesUpToMaximum(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 5 * time.Second, 2: 10 * time.Second, 5: 80 * time.Second, 6: 2 * time.Minute, 100: 2 * time.Minute} {
		if got := holdDown(n); got != want {
			t.Errorf("hold-down %d lasts %v, want %v", n, got, want)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{20, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := newTestBench(n, 16)
			p := tb.core.poolOf("s", "")
			t := tb.core.tenantOf(p, "w")
			t.subsetSize = max(4, n/10)
			tb.core.chooseSubset(p, t)
			a := &grantpb.Ask{Service: "s", Workspace: "w"}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a.Chat = uint64(i) * 0x9E3779B97F4A7C15
				if tb.core.selectServer(p, t, a) < 0 {
					b.Fatal("no server was selected")
				}
			}
		})
	}
}

func BenchmarkAnnounce300(b *testing.B) {
	tb := newTestBench(300, 16)
	for _, model := range []string{"", "a", "b", "c", "d", "e", "f", "g", "h"} {
		tb.core.poolOf("s", model)
	}
	a := tb.announcement("e7", 16)
	b.ReportAllocs()
	for range b.N {
		a.Sequence++
		tb.core.Announce(tb.now, a)
	}
}

func BenchmarkAskToResult(b *testing.B) {
	tb := newTestBench(300, 16)
	a := &grantpb.Ask{Service: "s", Workspace: "w", RunMs: 60000}
	r := &grantpb.Result{Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED}
	b.ReportAllocs()
	for i := range b.N {
		a.AskId, a.Chat = uint64(i), uint64(i)*0x9E3779B97F4A7C15
		tb.core.Ask(tb.now, 1, a)
		r.PermitId = tb.core.Effects()[0].Permit
		tb.core.Started(tb.now, 1, r.PermitId)
		tb.core.Result(tb.now, 1, r)
	}
}

// TestOpeningPeriodRefusesAsksWithAnAlternative checks that an ask is queued during
// the opening period of a term unless it states that another data centre can serve
// it.
func TestOpeningPeriodRefusesAsksWithAnAlternative(t *testing.T) {
	b := newTestBench(0, 0)
	b.names = []string{"e0", "e1"}
	ask := func(id uint64, notWhileOpening bool) *Effect {
		b.core.Ask(b.now, 1, &grantpb.Ask{AskId: id, Service: "s", Workspace: "w", WaitMs: 60000, RunMs: 60000, NotWhileOpening: notWhileOpening})
		return b.firstEffect()
	}
	if e := ask(1, true); e == nil || e.Kind != Refused || e.ErrorKind != errkind.NoGrantor {
		t.Fatalf("an ask with an alternative got %+v, want a refusal", e)
	}
	if e := ask(2, false); e != nil {
		t.Fatalf("an ask without an alternative got %+v, want it queued", e)
	}
	b.announceAll(8)
	if e := b.firstEffect(); e == nil || e.Kind != Granted || e.AskID != 2 {
		t.Fatalf("the queued ask got %+v, want a permit", e)
	}
	if e := ask(3, true); e == nil || e.Kind != Granted {
		t.Fatalf("after the opening period an ask got %+v, want a permit", e)
	}
}
