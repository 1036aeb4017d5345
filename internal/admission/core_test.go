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

// bench is one core with one session, driven step by step.
type bench struct {
	core  *Core
	now   Instant
	asks  uint64
	sets  *config.Set
	seq   uint64
	names []string
}

func newBench(servers, capacity int) *bench {
	b := &bench{sets: &config.Set{
		DataCentres:    map[string]*config.DataCentre{"dc": {Name: "dc"}},
		Services:       map[string]*config.Service{"s": {Name: "s", Policy: "p"}},
		Policies:       map[string]*config.Policy{"p": {Name: "p", ColdRamp: config.Duration(10 * time.Second), EjectAfter: 3}},
		Workspaces:     map[string]*config.Workspace{},
		BackendServers: map[string]*config.BackendServer{},
	}}
	b.core = New(DefaultOptions(), "dc", b.sets, 1, 0, time.Hour*1000)
	b.core.Open(0, 1, &grantpb.Hello{Router: "r"})
	b.now = b.core.OpensAt() + time.Millisecond
	for i := range servers {
		b.names = append(b.names, fmt.Sprint("e", i))
	}
	b.announceAll(capacity)
	return b
}

func (b *bench) announceAll(capacity int) {
	b.seq++
	for _, name := range b.names {
		b.core.Announce(b.now, b.announcement(name, capacity))
	}
}

func (b *bench) announcement(name string, capacity int) *grantpb.Announcement {
	return &grantpb.Announcement{
		Name: name, Service: "s", DataCentre: "dc", Incarnation: "1", Sequence: b.seq, ReadyMs: 3600000,
		State: grantpb.ServerState_SERVER_STATE_READY, Capacity: uint32(capacity), ColdCapacity: 1,
	}
}

// ask returns the answer, or nil if the ask waits.
func (b *bench) ask(workspace string, priority int32, wait time.Duration) *Effect {
	b.send(workspace, priority, wait)
	return b.one()
}

func (b *bench) send(workspace string, priority int32, wait time.Duration) {
	b.asks++
	b.core.Ask(b.now, 1, &grantpb.Ask{
		AskId: b.asks, Service: "s", Workspace: workspace, Chat: routing.ChatHash(workspace, fmt.Sprint(b.asks)),
		Priority: priority, WaitMs: uint32(wait / time.Millisecond), RunMs: 60000,
	})
}

func (b *bench) one() *Effect {
	for _, e := range b.core.Effects() {
		return &e
	}
	return nil
}

func (b *bench) end(permit uint64, o grantpb.Outcome) {
	b.core.Started(b.now, 1, permit)
	b.core.Result(b.now, 1, &grantpb.Result{PermitId: permit, Term: 1, Outcome: o})
}

func TestLoadLimit(t *testing.T) {
	for _, tc := range []struct {
		total, n int
		want     int32
	}{
		{1, 20, 3},   // below the floor: the bound at the floor
		{41, 20, 3},  // the mean's next whole number, since 1.25 × 2.05 has no room
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
	b := newBench(1, 1)
	running := b.ask("w", 5, 0)
	if b.ask("w", 5, time.Second) != nil {
		t.Fatal("the second ask does not wait")
	}
	out := *b.sets
	out.DataCentres = map[string]*config.DataCentre{"dc": {Name: "dc", State: config.Out}}
	b.core.Configure(b.now, &out)
	if e := b.one(); e == nil || e.ErrorKind != errkind.DataCentreOut {
		t.Fatalf("the waiting ask got %+v, want data-centre-out at once", e)
	}
	b.end(running.Permit, grantpb.Outcome_OUTCOME_COMPLETED)
	if e := b.ask("w", 5, time.Second); e == nil || e.ErrorKind != errkind.DataCentreOut {
		t.Fatalf("a new ask got %+v", e)
	}
}

func TestSurgeLeavesOthersTheirPart(t *testing.T) {
	b := newBench(4, 4)
	var running []uint64
	waits := map[string]int{}
	owner := map[uint64]string{}
	note := func() {
		for _, e := range b.core.Effects() {
			if e.Kind == Granted {
				running = append(running, e.Permit)
				waits[owner[e.AskID]]++
			}
		}
	}
	send := func(workspace string) {
		owner[b.asks+1] = workspace
		b.send(workspace, 5, time.Minute)
		note()
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
		note()
		for range 6 {
			if len(running) == 0 {
				break
			}
			b.end(running[0], grantpb.Outcome_OUTCOME_COMPLETED)
			running = running[1:]
			note()
		}
	}
	for calm := range 4 {
		if got := waits[fmt.Sprint("calm", calm)]; got < 390 {
			t.Errorf("calm%d had %d of its 400 asks granted under the surge", calm, got)
		}
	}
}

func TestUrgentFirstAndPlannersNotStarved(t *testing.T) {
	b := newBench(1, 1)
	first := b.ask("w", 5, 0)
	for range 40 {
		b.ask("planner", 0, time.Hour)
		b.ask("runner", 9, time.Hour)
	}
	order, permit := "", first.Permit
	for range 40 {
		b.end(permit, grantpb.Outcome_OUTCOME_COMPLETED)
		e := b.one()
		if e.AskID%2 == 0 {
			order += "p"
		} else {
			order += "r"
		}
		permit = e.Permit
	}
	const want = "rrrrrrrp"
	if order != want+want+want+want+want {
		t.Errorf("order of places %s, want %s repeated", order, want)
	}
}

func TestRefusesAtOnceWhatCannotBeServedInTime(t *testing.T) {
	b := newBench(1, 1)
	e := b.ask("w", 5, 0)
	b.core.Started(b.now, 1, e.Permit)
	b.now += 10 * time.Second
	b.core.Result(b.now, 1, &grantpb.Result{PermitId: e.Permit, Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED})
	b.announceAll(1)
	b.ask("w", 5, 0)
	e = b.ask("w", 5, 3*time.Second)
	if e == nil || e.ErrorKind != errkind.DeadlineUnmeetable || e.RetryAfter != 7*time.Second {
		t.Fatalf("an ask that may wait 3 s for a place that takes 10 s got %+v, want a refusal with retry after 7 s", e)
	}
}

func TestEjectionNeverEmptiesAPool(t *testing.T) {
	b := newBench(4, 8)
	for range 400 {
		e := b.ask("w", 5, 0)
		if e.Kind != Granted {
			t.Fatalf("refused: %+v", e)
		}
		b.end(e.Permit, grantpb.Outcome_OUTCOME_FAILED)
	}
	usable := 0
	for i := range b.core.hot {
		if b.core.hot[i].limit > 0 {
			usable++
		}
	}
	if usable != 2 {
		t.Errorf("%d of 4 servers are usable while all fail, want half", usable)
	}
}

func TestTurnedColdAndFlapping(t *testing.T) {
	b := newBench(2, 16)
	limit := func() int32 { return b.core.hot[0].limit }
	step := func(d time.Duration, change func(*grantpb.Announcement)) {
		b.now += d
		b.seq++
		a := b.announcement("e0", 16)
		a.CacheTokens = 50000
		change(a)
		b.core.Announce(b.now, a)
	}
	none := func(*grantpb.Announcement) {}
	step(time.Second, none)
	if limit() != 16 {
		t.Fatalf("a ready server has limit %d", limit())
	}
	step(time.Second, func(a *grantpb.Announcement) { a.CacheTokens = 100 })
	if limit() != 1 {
		t.Fatalf("a server that lost its cache has limit %d, want its cold 1", limit())
	}
	for range 16 {
		step(time.Second, none)
	}
	if limit() != 16 {
		t.Fatalf("after the ramp the limit is %d", limit())
	}
	incarnation := 1
	restart := func(a *grantpb.Announcement) { a.Incarnation = fmt.Sprint(incarnation) }
	for incarnation = 2; incarnation <= 3; incarnation++ {
		step(time.Second, restart)
		if limit() != 1 {
			t.Fatalf("incarnation %d has limit %d, want its cold 1", incarnation, limit())
		}
	}
	step(time.Second, restart)
	if limit() != 0 {
		t.Fatalf("a flapping server has limit %d, want to be held down", limit())
	}
	step(time.Second, func(a *grantpb.Announcement) { a.Incarnation, a.Sequence = "2", 1 })
	if b.core.servers[0].incarnation != "4" {
		t.Fatal("a late announcement of a replaced incarnation was believed")
	}
}

// TestLoadBoundHoldsWhileThePoolWarmsUp starts every server of a pool at once,
// so that none is at full capacity.
func TestLoadBoundHoldsWhileThePoolWarmsUp(t *testing.T) {
	b := newBench(4, 0)
	b.seq++
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
		h := b.core.hot[i]
		if h.warm {
			t.Fatal("a server that was just started counts as warm")
		}
		if limit := LoadLimit(asks, len(b.names), defaultMaxLoadFactor, defaultLoadFloor); h.live > limit {
			t.Errorf("%s has %d in flight, the bound is %d", b.names[i], h.live, limit)
		}
	}
}

// TestFirstConfirmedServersDoNotGetTheLoadOfAll: at the start of a tenure the
// reports of a pool's servers come one by one, and many requests wait.
func TestFirstConfirmedServersDoNotGetTheLoadOfAll(t *testing.T) {
	b := newBench(0, 0)
	for i := range 6 {
		b.names = append(b.names, fmt.Sprint("e", i))
	}
	b.seq++
	for i, name := range b.names {
		a := b.announcement(name, 8)
		if i >= 2 {
			a.MeasuredMsAgo = 60_000 // from before this tenure
		}
		b.core.Announce(b.now, a)
	}
	for range 16 {
		b.ask("w", 5, time.Minute)
	}
	limit := LoadLimit(16, len(b.names), defaultMaxLoadFactor, defaultLoadFloor)
	for i := range b.names {
		if h := b.core.hot[i]; h.live > limit {
			t.Errorf("%s has %d in flight, the bound is %d", b.names[i], h.live, limit)
		}
	}
	b.announceAll(8)
	if b.core.live != 16 {
		t.Errorf("%d of 16 granted once all servers are confirmed", b.core.live)
	}
}

// TestServerKnownByAHeldPermitKeepsItsWarmth: a new grantor hears of a server
// first by a permit that a router holds, then by its announcement.
func TestServerKnownByAHeldPermitKeepsItsWarmth(t *testing.T) {
	b := newBench(0, 0)
	b.names = []string{"e0"}
	b.core.Open(b.now, 2, &grantpb.Hello{Router: "r2", Held: []*grantpb.Held{
		{PermitId: 9, Term: 7, Server: "e0", Service: "s", Workspace: "w", RemainingMs: 60_000, RunningMs: 100},
	}})
	b.announceAll(8)
	if h := b.core.hot[0]; h.limit != 8 || !h.warm {
		t.Errorf("limit %d, warm %v; the server has been ready for an hour and has 8 places", h.limit, h.warm)
	}
	if s := b.core.servers[0]; s.flaps != 0 || len(s.replaced) != 0 {
		t.Errorf("the first announcement counts as a restart: %d returns, %d incarnations replaced", s.flaps, len(s.replaced))
	}
}

func TestOverrideOutlivesItsGrantor(t *testing.T) {
	b := newBench(2, 4)
	b.core.Override(b.now, Override{Target: "backendServer/e0", Out: true, StampMS: 10})
	b.core.Override(b.now, Override{Target: "backendServer/e0", StampMS: 9}) // late
	for range 4 {
		if e := b.ask("w", 5, 0); e.Server != "e1" {
			t.Fatalf("got %+v while e0 is out", e)
		}
	}
	next := newBench(2, 4)
	hello := &grantpb.Hello{Router: "r2"}
	for _, o := range b.core.Overrides() {
		hello.Overrides = append(hello.Overrides, &grantpb.LocalOverride{Target: o.Target, Out: o.Out, StampMs: o.StampMS})
	}
	next.core.Open(next.now, 2, hello)
	if e := next.ask("w", 5, 0); e.Server != "e1" {
		t.Fatalf("the next grantor gave %+v while e0 is out", e)
	}
	next.core.Override(next.now, Override{Target: "dataCentre/dc", Out: true, StampMS: 11})
	if e := next.ask("w", 5, time.Second); e.ErrorKind != errkind.DataCentreOut {
		t.Fatalf("got %+v while the data centre is out", e)
	}
}

func TestFullWorkspacesDoNotBlockTheQueue(t *testing.T) {
	b := newBench(1, 12)
	for i := range 12 {
		b.sets.Workspaces[fmt.Sprint("full", i)] = &config.Workspace{MaxInFlight: 1}
	}
	first := b.ask("other", 5, 0)
	for b.ask("filler", 5, 0).Kind == Granted {
		continue
	}
	for i := range 12 {
		b.send(fmt.Sprint("full", i), 5, time.Hour)
	}
	b.send("other", 5, time.Hour)
	for name := range b.sets.Workspaces {
		b.core.workspaces[name].live++ // each got its place elsewhere meanwhile
	}
	b.end(first.Permit, grantpb.Outcome_OUTCOME_COMPLETED)
	if e := b.one(); e == nil || e.AskID != b.asks {
		t.Fatalf("the place went to %+v, want the one workspace below its limit", e)
	}
}

func TestResumeAndExclusion(t *testing.T) {
	b := newBench(2, 1)
	a := &grantpb.Ask{AskId: 1, Service: "s", Workspace: "w", Excluded: []string{"e0"}, RunMs: 1000}
	b.core.Ask(b.now, 1, a)
	if e := b.one(); e.Server != "e1" {
		t.Fatalf("got %+v with e0 excluded", e)
	}
	b.seq++
	leaving := b.announcement("e0", 1)
	leaving.State = grantpb.ServerState_SERVER_STATE_LEAVING
	b.core.Announce(b.now, leaving)
	if e := b.ask("w", 5, 0); e.Kind != Refused {
		t.Fatalf("new work got %+v with e0 leaving and e1 full", e)
	}
	b.core.Ask(b.now, 1, &grantpb.Ask{AskId: 90, Service: "s", Workspace: "w", Server: "e0"})
	if e := b.one(); e.Kind != Granted || e.Server != "e0" {
		t.Fatalf("the rest of a stream at a leaving server got %+v", e)
	}
	b.core.Ask(b.now, 1, &grantpb.Ask{AskId: 91, Service: "s", Workspace: "w", Server: "e0"})
	if e := b.one(); e.Kind != Refused {
		t.Fatalf("a second place of one got %+v", e)
	}
}

func TestHoldDownGrowsToItsMost(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 5 * time.Second, 2: 10 * time.Second, 5: 80 * time.Second, 6: 2 * time.Minute, 100: 2 * time.Minute} {
		if got := holdDown(n); got != want {
			t.Errorf("return %d in excess is held down for %v, want %v", n, got, want)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{20, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := newBench(n, 16)
			p := x.core.poolOf("s", "")
			t := x.core.tenantOf(p, "w")
			t.size = max(4, n/10)
			x.core.chooseSubset(p, t)
			a := &grantpb.Ask{Service: "s", Workspace: "w"}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a.Chat = uint64(i) * 0x9E3779B97F4A7C15
				if x.core.place(p, t, a) < 0 {
					b.Fatal("no place")
				}
			}
		})
	}
}

func BenchmarkAnnounce300(b *testing.B) {
	x := newBench(300, 16)
	for _, model := range []string{"", "a", "b", "c", "d", "e", "f", "g", "h"} {
		x.core.poolOf("s", model)
	}
	a := x.announcement("e7", 16)
	b.ReportAllocs()
	for range b.N {
		a.Sequence++
		x.core.Announce(x.now, a)
	}
}

func BenchmarkAskToResult(b *testing.B) {
	x := newBench(300, 16)
	a := &grantpb.Ask{Service: "s", Workspace: "w", RunMs: 60000}
	r := &grantpb.Result{Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED}
	b.ReportAllocs()
	for i := range b.N {
		a.AskId, a.Chat = uint64(i), uint64(i)*0x9E3779B97F4A7C15
		x.core.Ask(x.now, 1, a)
		r.PermitId = x.core.Effects()[0].Permit
		x.core.Started(x.now, 1, r.PermitId)
		x.core.Result(x.now, 1, r)
	}
}

// TestOpeningTenureRefusesThoseWhoHaveAnother: while a new tenure does not know
// what runs, an ask waits unless it says that another data centre may help.
func TestOpeningTenureRefusesThoseWhoHaveAnother(t *testing.T) {
	b := newBench(0, 0)
	b.names = []string{"e0", "e1"}
	ask := func(id uint64, elsewhere bool) *Effect {
		b.core.Ask(b.now, 1, &grantpb.Ask{AskId: id, Service: "s", Workspace: "w", WaitMs: 60000, RunMs: 60000, NotWhileOpening: elsewhere})
		return b.one()
	}
	if e := ask(1, true); e == nil || e.Kind != Refused || e.ErrorKind != errkind.NoGrantor {
		t.Fatalf("an ask with another data centre got %+v", e)
	}
	if e := ask(2, false); e != nil {
		t.Fatalf("an ask without another got %+v", e)
	}
	b.announceAll(8)
	if e := b.one(); e == nil || e.Kind != Granted || e.AskID != 2 {
		t.Fatalf("the waiting ask got %+v", e)
	}
	if e := ask(3, true); e == nil || e.Kind != Granted {
		t.Fatalf("after the opening an ask got %+v", e)
	}
}
