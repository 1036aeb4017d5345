package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/homes"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

var start = time.Unix(1_700_000_000, 0)

// world drives a Fleet as a router's view does, and keeps the places as the
// directory does.
type world struct {
	keeper *homes.Keeper
	places map[string][]homes.Place
	t      *testing.T
	fleet  *Fleet
	table  *inventory.Table
	now    time.Time
	seq    uint64
}

func newWorld(t *testing.T) *world {
	return &world{t: t, fleet: NewFleet("r", "a", Bounds{ColdFactor: 1.5, ColdSlack: 5}), table: inventory.New(), now: start, keeper: homes.NewKeeper(), places: map[string][]homes.Place{}}
}

func (w *world) server(id, dc string) inventory.Server {
	w.seq++
	return inventory.Server{
		ID: id, Born: w.now.UnixMilli(), Sequence: w.seq, Service: "chat", Address: id + ":1", DataCentre: dc,
		Slots: 8, State: inventory.Ready, Heard: w.now,
	}
}

func (w *world) announce(ss ...inventory.Server) {
	for _, s := range ss {
		w.table.Merge(s)
	}
	w.fleet.Update(w.table, w.now)
	w.keepPlaces()
}

func (w *world) keepPlaces() {
	members := map[string][]homes.Member{}
	w.table.All(func(s *inventory.Server) {
		members[s.Service] = append(members[s.Service], homes.Member{ID: s.ID, Born: s.Born, Ready: s.State == inventory.Ready})
	})
	for service, ms := range members {
		for _, change := range w.keeper.Next(service, w.places[service], ms, w.now) {
			w.places[service] = homes.Apply(w.places[service], change)
		}
	}
	w.fleet.SetPlaces(w.places, w.now)
}

func (w *world) join(n int, prefix string) {
	for i := range n {
		w.announce(w.server(fmt.Sprintf("%s%d", prefix, i), string(rune('a'+i%3))))
	}
}

// alive lets time pass and all servers be heard.
func (w *world) alive(d time.Duration) {
	w.now = w.now.Add(d)
	var heard []inventory.Server
	w.table.All(func(s *inventory.Server) {
		if s.State == inventory.Ready {
			next := *s
			next.Heard = w.now
			next.Sequence++
			heard = append(heard, next)
		}
	})
	for _, s := range heard {
		w.table.Merge(s)
		w.fleet.Hear(&s)
	}
}

func (w *world) drain(id string) {
	s := *w.table.Get(id)
	s.Sequence += 1000
	s.State = inventory.Draining
	s.Heard = w.now
	w.announce(s)
}

var chat = &catalog.Service{Name: "chat"}

func key(i int) uint64 { return routing.Hash(fmt.Sprint("subject ", i)) }

func (w *world) pick(a Ask) *Place {
	w.t.Helper()
	if a.Service == nil {
		a.Service = chat
	}
	if a.Key != 0 && a.Parts == nil {
		a.Parts = []uint64{a.Key}
	}
	p, err := w.fleet.Pick(a, w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// home returns where a key's request goes on an idle pool.
func (w *world) home(k uint64) string {
	w.t.Helper()
	p := w.pick(Ask{Key: k})
	p.Done(Good, time.Millisecond, w.now)
	return p.ID
}

func (w *world) allHomes(n int) map[int]string {
	out := map[int]string{}
	for i := range n {
		out[i] = w.home(key(i))
	}
	return out
}

func moved(a, b map[int]string) (n int) {
	for k := range a {
		if a[k] != b[k] {
			n++
		}
	}
	return n
}

// Pattern: servers are added to a pool. No key may move, since each that does is
// read again.
func TestScaleOutMovesNoKey(t *testing.T) {
	w := newWorld(t)
	w.join(10, "old")
	w.alive(time.Minute)
	before := w.allHomes(300)
	w.join(5, "new")
	w.alive(time.Second)
	if n := moved(before, w.allHomes(300)); n != 0 {
		t.Errorf("%d of 300 keys moved when 5 servers joined 10", n)
	}
	// A pool that has grown for good uses its new servers.
	w.alive(homes.SpareTime + time.Second)
	w.announce()
	w.alive(time.Second)
	n := moved(before, w.allHomes(300))
	if n < 60 || n > 140 {
		t.Errorf("%d of 300 keys moved to 5 servers beside 10 in the end, want about 100", n)
	}
}

// Pattern: the servers of a pool are replaced one after the other, the new one
// first. Only the keys of the server that leaves move, to the one that came.
func TestReleaseMovesTheKeysOfTheLeavingServerOnly(t *testing.T) {
	w := newWorld(t)
	w.join(8, "old")
	w.alive(time.Minute)
	for i := range 8 {
		before := w.allHomes(200)
		w.join(1, fmt.Sprint("new", i, "-"))
		w.alive(time.Second)
		w.drain(fmt.Sprintf("old%d", i))
		after := w.allHomes(200)
		for k, was := range before {
			switch now := after[k]; {
			case was == fmt.Sprintf("old%d", i) && now != fmt.Sprint("new", i, "-0"):
				t.Fatalf("key %d went from the leaving %s to %s", k, was, now)
			case was != fmt.Sprintf("old%d", i) && now != was:
				t.Fatalf("key %d went from %s, which stays, to %s", k, was, now)
			}
		}
	}
}

// The server that took a place gets the prompts from the one that held it.
func TestTheLeavingServerIsTheSourceOfItsPrompts(t *testing.T) {
	w := newWorld(t)
	w.join(4, "old")
	w.alive(time.Minute)
	k := 0
	for w.home(key(k)) != "old2" {
		k++
	}
	if p := w.pick(Ask{Key: key(k)}); p.Source != nil {
		t.Errorf("an established home fetches from %s", p.Source.ID)
	}
	w.join(1, "new")
	w.drain("old2")
	p := w.pick(Ask{Key: key(k)})
	if p.ID != "new0" || p.Source == nil || p.Source.ID != "old2" {
		t.Errorf("placed at %s with source %v", p.ID, p.Source)
	}
	p.Done(Good, time.Millisecond, w.now)
	w.alive(settleTime + time.Second)
	if p := w.pick(Ask{Key: key(k)}); p.Source != nil {
		t.Errorf("a settled server fetches from %s", p.Source.ID)
	}
}

// Pattern: a data centre is taken out. Its servers still keep their prompts, and
// those that serve meanwhile get them from there.
func TestServersThatAreTakenOutAreSources(t *testing.T) {
	w := newWorld(t)
	w.join(6, "s")
	w.alive(time.Minute)
	homes := w.allHomes(50)
	w.fleet.SetOut([]string{"b"}, func(string) time.Duration { return 0 }, w.now)
	for i, home := range homes {
		p := w.pick(Ask{Key: key(i)})
		switch isOut := home == "s1" || home == "s4"; {
		case isOut && (p.Source == nil || p.Source.ID != home):
			t.Errorf("key %d of %s went to %s with source %v", i, home, p.ID, p.Source)
		case !isOut && p.ID == home && p.Source != nil:
			t.Errorf("key %d at its home fetches from %s", i, p.Source.ID)
		}
		p.Done(Good, time.Millisecond, w.now)
	}
}

// Routers that saw the same changes agree without talking.
func TestRoutersAgree(t *testing.T) {
	a, b := newWorld(t), newWorld(t)
	for _, w := range []*world{a, b} {
		w.join(6, "old")
		w.alive(time.Minute)
		w.join(2, "new")
		w.drain("old1")
		w.drain("old4")
		w.alive(time.Second)
	}
	if n := moved(a.allHomes(200), b.allHomes(200)); n != 0 {
		t.Errorf("two routers disagree on %d of 200 keys", n)
	}
}

// Pattern: one subject gets much of the traffic. Its server takes it up to the
// bound, which lies under the limit on load skew; costly prompts stay longest.
func TestHotKeySpillsUnderTheSkewLimit(t *testing.T) {
	const skewFactor, skewSlack = 2, 3
	for _, shared := range []int{500, 10_000} {
		w := newWorld(t)
		w.join(10, "s")
		w.alive(time.Minute)
		rng := rand.New(rand.NewPCG(7, uint64(shared)))
		counts := map[string]int{}
		total := 0
		atHome := 0
		hot := key(0)
		home := w.home(hot)
		for i := range 400 {
			k, tokens := key(1+rng.IntN(500)), 500
			if i%3 == 0 {
				k, tokens = hot, shared
			}
			p := w.pick(Ask{Key: k, Shared: tokens})
			if mean := float64(total) / 10; float64(counts[p.ID]) > skewFactor*mean+skewSlack {
				t.Fatalf("a server with %d in flight got one more at a mean of %.1f", counts[p.ID], mean)
			}
			counts[p.ID]++
			total++
			if k == hot && p.ID == home {
				atHome++
			}
		}
		t.Logf("shared %d: %d of 134 hot requests at home", shared, atHome)
		if shared == 10_000 && atHome < 60 {
			t.Errorf("%d of 134 requests with a costly prompt stayed at home", atHome)
		}
	}
}

// Pattern: other routers load a server that this one does not use.
func TestLoadOfOtherRoutersCounts(t *testing.T) {
	w := newWorld(t)
	w.join(5, "s")
	w.alive(time.Minute)
	home := w.home(key(1))
	others := map[uint32]int{uint32(routing.Hash(home)): 20}
	w.fleet.SetLoads(others, w.now)
	if got := w.home(key(1)); got == home {
		t.Error("the key stays at a server that other routers have loaded")
	}
	w.alive(othersAge + time.Second)
	if got := w.home(key(1)); got != home {
		t.Errorf("placed at %s by reports that are too old", got)
	}
}

// Pattern: a data centre is taken out under load. Its servers hold nothing but
// still count in the mean that skew is measured against.
func TestSkewIsBoundedAgainstAllServersDuringAnEvacuation(t *testing.T) {
	w := newWorld(t)
	w.join(15, "s")
	w.alive(time.Minute)
	w.fleet.SetOut([]string{"c"}, func(string) time.Duration { return 0 }, w.now)
	rng := rand.New(rand.NewPCG(9, 9))
	counts := map[string]int{}
	over, total := 0, 0
	var running []*Place
	for range 3000 {
		if len(running) > 60 { // About 6 requests in flight at each usable server.
			i := rng.IntN(len(running))
			p := running[i]
			p.Done(Good, time.Millisecond, w.now)
			counts[p.ID]--
			total--
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		p := w.pick(Ask{Key: key(rng.IntN(40)), Shared: 700 + rng.IntN(2)*9300})
		if float64(counts[p.ID]) > 2*float64(total)/15+3 {
			over++
		}
		counts[p.ID]++
		total++
		running = append(running, p)
	}
	if over > 0 {
		t.Errorf("%d of 3000 requests went to servers over the limit on skew", over)
	}
}

// The own part of the sum is not counted twice.
func TestOwnReportsAreTakenOffTheSum(t *testing.T) {
	w := newWorld(t)
	w.join(1, "s")
	w.pick(Ask{Key: key(1)})
	w.pick(Ask{Key: key(1)})
	sum := w.fleet.InFlight()
	w.fleet.SetLoads(sum, w.now)
	if p := w.pick(Ask{Key: key(1)}); p.Load != 3 {
		t.Errorf("load %d with 3 requests in flight", p.Load)
	}
}

// Pattern: servers come back cold. All routers together keep within what a cold
// server bears in any second, also while it is the home of much traffic.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	cold := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 14}
	for _, routers := range []int{1, 8, 30, 62, 330} {
		coldServers(t, cold, routers)
	}
}

func coldServers(t *testing.T, cold *catalog.Service, routers int) {
	t.Helper()
	bound := 14*1.5 + 5.0
	var worlds []*world
	for i := range routers {
		w := newWorld(t)
		w.fleet = NewFleet(fmt.Sprint("router ", i), "a", Bounds{ColdFactor: 1.5, ColdSlack: 5})
		w.fleet.SetRouters(routers)
		s := w.server("cold", "a")
		s.ColdUntil = w.now.Add(3 * time.Second)
		w.announce(s)
		w.join(2, "warm")
		worlds = append(worlds, w)
	}
	var sent []time.Time
	rng := rand.New(rand.NewPCG(3, 4))
	for us := 0; us < 2_900_000; us += 1000 {
		w := worlds[rng.IntN(routers)]
		w.now = start.Add(time.Duration(us) * time.Microsecond)
		p := w.pick(Ask{Service: cold, Key: key(rng.IntN(100))})
		p.Done(Good, time.Millisecond, w.now)
		if p.ID == "cold" {
			sent = append(sent, w.now)
		}
	}
	if len(sent) < 20 {
		t.Errorf("%d routers: a cold server got %d requests in 2.9 s; it bears more", routers, len(sent))
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d routers: %d requests in one second, bound %.0f", routers, n, bound)
		}
	}
}

// Pattern: a data centre is taken out and brought back. It gets nothing while it
// is out, and counts as cold when it returns.
func TestEvacuatedDataCentresGetNothingAndReturnCold(t *testing.T) {
	service := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 4}
	coldTime := func(string) time.Duration { return service.ColdTime }
	w := newWorld(t)
	w.join(6, "s")
	w.alive(time.Minute)
	w.fleet.SetOut([]string{"b"}, coldTime, w.now)
	for i := range 200 {
		p := w.pick(Ask{Service: service, Key: key(i)})
		if p.DataCentre == "b" {
			t.Fatalf("key %d was placed at %s of a data centre that is out", i, p.ID)
		}
		p.Done(Good, time.Millisecond, w.now)
	}
	w.fleet.SetOut(nil, coldTime, w.now)
	n := 0
	for i := range 200 {
		p := w.pick(Ask{Service: service, Key: key(i)})
		if p.DataCentre == "b" {
			n++
		}
		p.Done(Good, time.Millisecond, w.now)
	}
	if n == 0 || n > 2*11 {
		t.Errorf("%d requests to 2 servers that came back, each bears 11 a second", n)
	}
	w.fleet.SetOut([]string{"a", "b", "c"}, coldTime, w.now)
	if _, err := w.fleet.Pick(Ask{Service: service}, w.now); !errkind.Is(err, errkind.DataCentreOut) {
		t.Errorf("with all out: %v", err)
	}
}

// Pattern: a server fails part of its requests while it says that it is ready.
func TestSickServersAreAvoidedAndTriedAgain(t *testing.T) {
	w := newWorld(t)
	w.join(3, "s")
	w.alive(time.Minute)
	got := func(n int, sick func(string) bool) int {
		hits := 0
		for i := range n {
			w.alive(10 * time.Millisecond)
			p := w.pick(Ask{Spread: key(i)})
			o := Good
			if sick(p.ID) {
				hits++
				o = Bad
			}
			p.Done(o, 10*time.Millisecond, w.now)
		}
		return hits
	}
	s0 := func(id string) bool { return id == "s0" }
	got(60, s0)
	if n := got(300, s0); n > 30 {
		t.Errorf("a server that fails all got %d of 300 requests", n)
	}
	w.alive(maxPenalty + time.Second)
	none := func(string) bool { return false }
	got(100, none)
	if n := got(300, s0); n < 1 {
		t.Error("a server that recovered is never used again")
	}
}

// Pattern: every server of a pool fails. None may be left out for it.
func TestAPoolIsNeverEmptiedByFailures(t *testing.T) {
	w := newWorld(t)
	w.join(4, "s")
	used := map[string]int{}
	for i := range 200 {
		w.alive(20 * time.Millisecond)
		p := w.pick(Ask{Spread: key(i)})
		used[p.ID]++
		p.Done(Bad, 10*time.Millisecond, w.now)
	}
	if len(used) != 4 {
		t.Errorf("used %v", used)
	}
}

// Pattern: a data centre is cut off from this router. Two servers that cannot be
// reached tell of the others; once one answers again, all are used.
func TestACutDataCentreIsLeftAloneAsAWhole(t *testing.T) {
	w := newWorld(t)
	w.join(18, "s")
	w.alive(time.Minute)
	cut := true
	lost, sent := 0, 0
	for i := range 400 {
		w.alive(10 * time.Millisecond)
		p := w.pick(Ask{Key: key(i), Shared: 500})
		sent++
		if cut && p.DataCentre == "b" {
			lost++
			p.Done(Unreachable, 0, w.now)
			continue
		}
		p.Done(Good, time.Millisecond, w.now)
	}
	// 4 s of the cut: the first two, and one each time it is tried again.
	if lost > 9 {
		t.Errorf("%d of %d requests went to the data centre that is cut off", lost, sent)
	}
	cut = false
	w.alive(maxPenalty + time.Second)
	back := 0
	for i := range 300 {
		w.alive(10 * time.Millisecond)
		p := w.pick(Ask{Key: key(i), Shared: 500})
		if p.DataCentre == "b" {
			back++
		}
		p.Done(Good, time.Millisecond, w.now)
	}
	if back < 70 {
		t.Errorf("%d of 300 requests go to the data centre that is back, want about 100", back)
	}
}

// One server that cannot be reached says nothing of its neighbours.
func TestOneLostServerIsNoCut(t *testing.T) {
	w := newWorld(t)
	w.join(9, "s")
	w.alive(time.Minute)
	for i := range 100 {
		w.alive(10 * time.Millisecond)
		p := w.pick(Ask{Key: key(i)})
		o := Good
		if p.ID == "s1" {
			o = Unreachable
		}
		p.Done(o, time.Millisecond, w.now)
	}
	n := 0
	for i := range 100 {
		w.alive(time.Millisecond)
		p := w.pick(Ask{Key: key(i)})
		if p.DataCentre == "b" {
			n++
		}
		p.Done(Good, time.Millisecond, w.now)
	}
	if n < 15 {
		t.Errorf("%d of 100 requests go to a data centre with one lost server", n)
	}
}

// Pattern: a server crashed and is silent.
func TestSilentServersAreLeftOutWhileOthersRemain(t *testing.T) {
	w := newWorld(t)
	w.join(2, "s")
	w.now = w.now.Add(silenceLimit + time.Second)
	live := w.server("live", "a")
	w.announce(live)
	for i := range 50 {
		if p := w.pick(Ask{Spread: key(i)}); p.ID != "live" {
			t.Fatalf("a silent server %s was chosen", p.ID)
		}
	}
	if p, err := w.fleet.Pick(Ask{Service: chat, Exclude: []string{"live"}}, w.now); err != nil {
		t.Errorf("a silent server is better than none: %v", err)
	} else {
		p.Done(Neutral, 0, w.now)
	}
}

func TestRefusalsTellWhenToComeBack(t *testing.T) {
	w := newWorld(t)
	_, err := w.fleet.Pick(Ask{Service: chat}, w.now)
	var e *errkind.Error
	if !errkind.Is(err, errkind.NoBackend) {
		t.Fatalf("without a server: %v", err)
	}
	if e = err.(*errkind.Error); e.RetryAfter <= 0 {
		t.Errorf("retry after %s", e.RetryAfter)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 60, 140, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(nil)
			w.join(n, "s")
			b.ReportAllocs()
			for i := range b.N {
				p, err := w.fleet.Pick(Ask{Service: chat, Key: key(i % 1000), Shared: 700}, w.now)
				if err != nil {
					b.Fatal(err)
				}
				p.Done(Good, time.Millisecond, w.now)
			}
		})
	}
}

// Pattern: a data centre comes back. What others read for its servers meanwhile
// is fetched from them, not read again.
func TestServersThatComeBackFetchWhatOthersRead(t *testing.T) {
	w := newWorld(t)
	w.join(6, "s")
	w.alive(time.Minute)
	homes := w.allHomes(50)
	cold := func(string) time.Duration { return 0 }
	w.fleet.SetOut([]string{"b"}, cold, w.now)
	w.alive(time.Second)
	meanwhile := w.allHomes(50)
	w.fleet.SetOut(nil, cold, w.now)
	// Another router has sent none of the prompts itself.
	other := newWorld(t)
	other.join(6, "s")
	other.alive(time.Minute)
	other.fleet.SetOut([]string{"b"}, cold, other.now)
	other.fleet.SetOut(nil, cold, other.now)
	for i, home := range homes {
		for name, v := range map[string]*world{"that sent them": w, "that did not": other} {
			p := v.pick(Ask{Key: key(i)})
			isBack := home == "s1" || home == "s4"
			switch {
			case p.ID != home:
				t.Fatalf("key %d of %s went to %s", i, home, p.ID)
			case isBack && (p.Source == nil || p.Source.ID != meanwhile[i]):
				t.Errorf("router %s: key %d of %s is fetched from %v, want %s", name, i, home, p.Source, meanwhile[i])
			case !isBack && p.Source != nil:
				t.Errorf("router %s: key %d, which never left %s, is fetched from %s", name, i, home, p.Source.ID)
			}
			p.Done(Good, time.Millisecond, v.now)
			p = v.pick(Ask{Key: key(i)})
			if v == w && p.Source != nil {
				t.Errorf("key %d is fetched again from %s", i, p.Source.ID)
			}
			p.Done(Good, time.Millisecond, v.now)
		}
	}
}

// Pattern: many subjects share the first part of their prompts. A server that
// reads a subject for the first time gets the shared part from one that has it.
func TestASharedPartIsFetchedFromAServerThatReadIt(t *testing.T) {
	w := newWorld(t)
	w.join(6, "s")
	w.alive(time.Minute)
	manual := routing.Hash("manual")
	ask := func(i int) *Place {
		p := w.pick(Ask{Key: key(i), Parts: []uint64{manual, key(i)}})
		p.Done(Good, time.Millisecond, w.now)
		return p
	}
	if p := ask(0); p.Source != nil {
		t.Errorf("a part that nobody has read is fetched from %s", p.Source.ID)
	}
	last := w.home(key(0))
	for i := 1; i < 50; i++ {
		p := ask(i)
		switch {
		case p.ID == last && p.Source != nil:
			t.Errorf("subject %d: %s read the part last and fetches it from %s", i, p.ID, p.Source.ID)
		case p.ID != last && (p.Source == nil || p.Source.ID != last):
			t.Errorf("subject %d at %s fetches from %v, want %s", i, p.ID, p.Source, last)
		}
		last = p.ID
	}
	// A server that is gone is no source.
	w.drain(last)
	s := *w.table.Get(last)
	s.State, s.Sequence = inventory.Gone, s.Sequence+1
	w.announce(s)
	for i := 50; i < 60; i++ {
		if p := w.pick(Ask{Key: key(i), Parts: []uint64{manual, key(i)}}); p.Source != nil && p.Source.ID == last {
			t.Errorf("subject %d is fetched from %s, which is gone", i, last)
		}
	}
}

// Pattern: servers are released one after the other, then a router starts again.
// It must find the homes that the others know, or prompts are read again at both.
func TestARouterThatStartsAgainFindsTheSameHomes(t *testing.T) {
	w := newWorld(t)
	w.join(9, "old")
	w.alive(time.Minute)
	for i := range 5 {
		w.join(1, fmt.Sprint("new", i, "-"))
		w.alive(time.Second)
		w.drain(fmt.Sprintf("old%d", i))
		w.alive(time.Second)
	}
	before := w.allHomes(300)
	again := newWorld(t)
	again.now, again.table, again.places = w.now, w.table, w.places
	again.fleet.SetPlaces(again.places, again.now)
	again.fleet.Update(again.table, again.now)
	if n := moved(before, again.allHomes(300)); n != 0 {
		t.Errorf("%d of 300 keys have another home at a router that started again", n)
	}
}
