package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

var start = time.Unix(1_700_000_000, 0)

// fleetSim drives a Fleet as a router's view of the directory does, and assigns
// the places as the directory's leader does.
type fleetSim struct {
	assigner *assignment.Assigner
	places   map[string][]assignment.Place
	t        *testing.T
	fleet    *Fleet
	table    *inventory.Table
	now      time.Time
	seq      uint64
}

func newFleetSim(t *testing.T) *fleetSim {
	return &fleetSim{t: t, fleet: NewFleet("r", "a", Bounds{ColdFactor: 1.5, ColdSlack: 5}), table: inventory.New(), now: start, assigner: assignment.NewAssigner(), places: map[string][]assignment.Place{}}
}

func (w *fleetSim) server(id, dc string) inventory.Server {
	w.seq++
	return inventory.Server{
		ID: id, Born: w.now.UnixMilli(), Sequence: w.seq, Service: "chat", Address: id + ":1", DataCentre: dc,
		Slots: 8, State: inventory.Ready, LastSeen: w.now,
	}
}

func (w *fleetSim) announce(ss ...inventory.Server) {
	for _, s := range ss {
		w.table.Merge(s)
	}
	w.fleet.Update(w.table, w.now)
	w.assignPlaces()
}

func (w *fleetSim) assignPlaces() {
	members := map[string][]assignment.Member{}
	w.table.All(func(s *inventory.Server) {
		members[s.Service] = append(members[s.Service], assignment.Member{ID: s.ID, Born: s.Born, Ready: s.State == inventory.Ready})
	})
	for service, ms := range members {
		for _, change := range w.assigner.Changes(service, w.places[service], ms, w.now) {
			w.places[service] = assignment.Apply(w.places[service], change)
		}
	}
	w.fleet.SetPlaces(w.places, w.now)
}

func (w *fleetSim) join(n int, prefix string) {
	for i := range n {
		w.announce(w.server(fmt.Sprintf("%s%d", prefix, i), string(rune('a'+i%3))))
	}
}

// advance moves the clock forward and has every ready server send a heartbeat.
func (w *fleetSim) advance(d time.Duration) {
	w.now = w.now.Add(d)
	var heard []inventory.Server
	w.table.All(func(s *inventory.Server) {
		if s.State == inventory.Ready {
			next := *s
			next.LastSeen = w.now
			next.Sequence++
			heard = append(heard, next)
		}
	})
	for _, s := range heard {
		w.table.Merge(s)
		w.fleet.UpdateAnnouncement(&s)
	}
}

func (w *fleetSim) drain(id string) {
	s := *w.table.Get(id)
	s.Sequence += 1000
	s.State = inventory.Draining
	s.LastSeen = w.now
	w.announce(s)
}

var chat = &catalog.Service{Name: "chat"}

func key(i int) uint64 { return routing.Hash(fmt.Sprint("subject ", i)) }

func (w *fleetSim) pick(a PickRequest) *PickResult {
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

// home returns the server that gets a key's request on an idle pool.
func (w *fleetSim) home(k uint64) string {
	w.t.Helper()
	p := w.pick(PickRequest{Key: k})
	p.Done(Success, time.Millisecond, w.now)
	return p.ID
}

func (w *fleetSim) allHomes(n int) map[int]string {
	out := map[int]string{}
	for i := range n {
		out[i] = w.home(key(i))
	}
	return out
}

func countMoved(a, b map[int]string) (n int) {
	for k := range a {
		if a[k] != b[k] {
			n++
		}
	}
	return n
}

// Servers that are added to a pool must not take over keys at once: the prompts of
// a key that moves have to be computed again on its new server.
func TestScaleOutMovesNoKey(t *testing.T) {
	w := newFleetSim(t)
	w.join(10, "old")
	w.advance(time.Minute)
	before := w.allHomes(300)
	w.join(5, "new")
	w.advance(time.Second)
	if n := countMoved(before, w.allHomes(300)); n != 0 {
		t.Errorf("%d of 300 keys moved when 5 servers joined 10", n)
	}
	// A pool that stays larger uses its new servers.
	w.advance(assignment.ResizeDelay + time.Second)
	w.announce()
	w.advance(time.Second)
	n := countMoved(before, w.allHomes(300))
	if n < 60 || n > 140 {
		t.Errorf("%d of 300 keys moved to 5 servers beside 10 in the end, want about 100", n)
	}
}

// A rolling release replaces the servers of a pool one by one and adds each new
// server before it drains the old one. Only the keys of the draining server may
// move, and only to its replacement.
func TestReleaseMovesTheKeysOfTheLeavingServerOnly(t *testing.T) {
	w := newFleetSim(t)
	w.join(8, "old")
	w.advance(time.Minute)
	for i := range 8 {
		before := w.allHomes(200)
		w.join(1, fmt.Sprint("new", i, "-"))
		w.advance(time.Second)
		w.drain(fmt.Sprintf("old%d", i))
		after := w.allHomes(200)
		for k, was := range before {
			switch now := after[k]; {
			case was == fmt.Sprintf("old%d", i) && now != fmt.Sprint("new", i, "-0"):
				t.Fatalf("key %d went from the draining %s to %s", k, was, now)
			case was != fmt.Sprintf("old%d", i) && now != was:
				t.Fatalf("key %d went from %s, which stays, to %s", k, was, now)
			}
		}
	}
}

// A server that took over a place fetches the place's prompts from the draining
// server that held it before.
func TestADrainingServerIsTheSourceOfItsPrompts(t *testing.T) {
	w := newFleetSim(t)
	w.join(4, "old")
	w.advance(time.Minute)
	k := 0
	for w.home(key(k)) != "old2" {
		k++
	}
	if p := w.pick(PickRequest{Key: key(k)}); p.CacheSource != nil {
		t.Errorf("the home of a key fetches its prompt from %s", p.CacheSource.ID)
	}
	w.join(1, "new")
	w.drain("old2")
	p := w.pick(PickRequest{Key: key(k)})
	if p.ID != "new0" || p.CacheSource == nil || p.CacheSource.ID != "old2" {
		t.Errorf("placed at %s with source %v", p.ID, p.CacheSource)
	}
	p.Done(Success, time.Millisecond, w.now)
	w.advance(cacheWarmupTime + time.Second)
	if p := w.pick(PickRequest{Key: key(k)}); p.CacheSource != nil {
		t.Errorf("a server fetches from %s after the cache warm-up time", p.CacheSource.ID)
	}
}

// The servers of an evacuated data centre still have their prompts cached. The
// servers that take their requests must fetch the prompts from them.
func TestEvacuatedServersAreCacheSources(t *testing.T) {
	w := newFleetSim(t)
	w.join(6, "s")
	w.advance(time.Minute)
	homes := w.allHomes(50)
	w.fleet.SetEvacuated([]string{"b"}, func(string) time.Duration { return 0 }, w.now)
	for i, home := range homes {
		p := w.pick(PickRequest{Key: key(i)})
		switch isOut := home == "s1" || home == "s4"; {
		case isOut && (p.CacheSource == nil || p.CacheSource.ID != home):
			t.Errorf("key %d of %s went to %s with source %v", i, home, p.ID, p.CacheSource)
		case !isOut && p.ID == home && p.CacheSource != nil:
			t.Errorf("key %d at its home fetches from %s", i, p.CacheSource.ID)
		}
		p.Done(Success, time.Millisecond, w.now)
	}
}

// Routers that saw the same changes choose the same homes without coordination.
func TestRoutersAgree(t *testing.T) {
	a, b := newFleetSim(t), newFleetSim(t)
	for _, w := range []*fleetSim{a, b} {
		w.join(6, "old")
		w.advance(time.Minute)
		w.join(2, "new")
		w.drain("old1")
		w.drain("old4")
		w.advance(time.Second)
	}
	if n := countMoved(a.allHomes(200), b.allHomes(200)); n != 0 {
		t.Errorf("two routers disagree on %d of 200 keys", n)
	}
}

// A hot key gets a third of the traffic. Its home must take it up to the load
// bound and spill the rest before the limit on load skew is exceeded; prompts that
// are expensive to compute stay on the home longest.
func TestHotKeySpillsUnderTheSkewLimit(t *testing.T) {
	const skewFactor, skewSlack = 2, 3
	for _, shared := range []int{500, 10_000} {
		w := newFleetSim(t)
		w.join(10, "s")
		w.advance(time.Minute)
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
			p := w.pick(PickRequest{Key: k, SharedTokens: tokens})
			if mean := float64(total) / 10; float64(counts[p.ID]) > skewFactor*mean+skewSlack {
				t.Fatalf("a server with %d requests in flight got one more at a mean of %.1f", counts[p.ID], mean)
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

// Guards against overloading a server that is loaded by other routers alone: their
// in-flight counts must be part of its load, until they are too old.
func TestLoadOfOtherRoutersCounts(t *testing.T) {
	w := newFleetSim(t)
	w.join(5, "s")
	w.advance(time.Minute)
	home := w.home(key(1))
	others := map[uint32]int{uint32(routing.Hash(home)): 20}
	w.fleet.SetLoads(others, w.now)
	if got := w.home(key(1)); got == home {
		t.Error("the key stays at a server with 20 requests of other routers")
	}
	w.advance(peerLoadMaxAge + time.Second)
	if got := w.home(key(1)); got != home {
		t.Errorf("placed at %s by expired reports of other routers", got)
	}
}

// The servers of an evacuated data centre run nothing but count in the mean that
// load skew is measured against, which lowers the limit for the other servers. The
// limit must hold there too.
func TestSkewIsBoundedAgainstAllServersDuringAnEvacuation(t *testing.T) {
	w := newFleetSim(t)
	w.join(15, "s")
	w.advance(time.Minute)
	w.fleet.SetEvacuated([]string{"c"}, func(string) time.Duration { return 0 }, w.now)
	rng := rand.New(rand.NewPCG(9, 9))
	counts := map[string]int{}
	overLimit, total := 0, 0
	var running []*PickResult
	for range 3000 {
		if len(running) > 60 { // About 6 requests in flight at each usable server.
			i := rng.IntN(len(running))
			p := running[i]
			p.Done(Success, time.Millisecond, w.now)
			counts[p.ID]--
			total--
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		p := w.pick(PickRequest{Key: key(rng.IntN(40)), SharedTokens: 700 + rng.IntN(2)*9300})
		if float64(counts[p.ID]) > 2*float64(total)/15+3 {
			overLimit++
		}
		counts[p.ID]++
		total++
		running = append(running, p)
	}
	if overLimit > 0 {
		t.Errorf("%d of 3000 requests went to servers over the limit on skew", overLimit)
	}
}

// The sum of the in-flight counts contains this router's own report, which must
// not be counted twice.
func TestOwnReportIsSubtractedFromTheSum(t *testing.T) {
	w := newFleetSim(t)
	w.join(1, "s")
	w.pick(PickRequest{Key: key(1)})
	w.pick(PickRequest{Key: key(1)})
	sum := w.fleet.InFlight()
	w.fleet.SetLoads(sum, w.now)
	if p := w.pick(PickRequest{Key: key(1)}); p.Load != 3 {
		t.Errorf("load %d with 3 requests in flight, want 3", p.Load)
	}
}

// All routers together must stay within a cold server's bound in any window of one
// second, even if it is the home of much of the traffic and there are more routers
// than requests per second.
func TestColdServersStayWithinTheirBound(t *testing.T) {
	cold := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 14}
	for _, routers := range []int{1, 8, 30, 62, 330} {
		testColdBound(t, cold, routers)
	}
}

func testColdBound(t *testing.T, cold *catalog.Service, routers int) {
	t.Helper()
	bound := 14*1.5 + 5.0
	var sims []*fleetSim
	for i := range routers {
		w := newFleetSim(t)
		w.fleet = NewFleet(fmt.Sprint("router ", i), "a", Bounds{ColdFactor: 1.5, ColdSlack: 5})
		w.fleet.SetRouters(routers)
		s := w.server("cold", "a")
		s.ColdUntil = w.now.Add(3 * time.Second)
		w.announce(s)
		w.join(2, "warm")
		sims = append(sims, w)
	}
	var sent []time.Time
	rng := rand.New(rand.NewPCG(3, 4))
	for us := 0; us < 2_900_000; us += 1000 {
		w := sims[rng.IntN(routers)]
		w.now = start.Add(time.Duration(us) * time.Microsecond)
		p := w.pick(PickRequest{Service: cold, Key: key(rng.IntN(100))})
		p.Done(Success, time.Millisecond, w.now)
		if p.ID == "cold" {
			sent = append(sent, w.now)
		}
	}
	if len(sent) < 20 {
		t.Errorf("%d routers: a cold server got %d requests in 2.9 s, want at least 20", routers, len(sent))
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

// An evacuated data centre must get no requests, and its servers must count as
// cold once the evacuation ends.
func TestEvacuatedDataCentresGetNothingAndReturnCold(t *testing.T) {
	service := &catalog.Service{Name: "chat", ColdTime: 3 * time.Second, ColdRate: 4}
	coldTime := func(string) time.Duration { return service.ColdTime }
	w := newFleetSim(t)
	w.join(6, "s")
	w.advance(time.Minute)
	w.fleet.SetEvacuated([]string{"b"}, coldTime, w.now)
	for i := range 200 {
		p := w.pick(PickRequest{Service: service, Key: key(i)})
		if p.DataCentre == "b" {
			t.Fatalf("key %d was placed at %s of an evacuated data centre", i, p.ID)
		}
		p.Done(Success, time.Millisecond, w.now)
	}
	w.fleet.SetEvacuated(nil, coldTime, w.now)
	n := 0
	for i := range 200 {
		p := w.pick(PickRequest{Service: service, Key: key(i)})
		if p.DataCentre == "b" {
			n++
		}
		p.Done(Success, time.Millisecond, w.now)
	}
	if n == 0 || n > 2*11 {
		t.Errorf("%d requests in one second to 2 servers after an evacuation, want 1 to 22", n)
	}
	w.fleet.SetEvacuated([]string{"a", "b", "c"}, coldTime, w.now)
	if _, err := w.fleet.Pick(PickRequest{Service: service}, w.now); !errkind.Is(err, errkind.DataCentreOut) {
		t.Errorf("with all data centres evacuated: %v", err)
	}
}

// A server fails its requests but still announces that it is ready. It must be
// ejected, and must be used again after it recovers.
func TestFailingServersAreEjectedAndProbed(t *testing.T) {
	w := newFleetSim(t)
	w.join(3, "s")
	w.advance(time.Minute)
	countFailures := func(n int, failing func(string) bool) int {
		failures := 0
		for i := range n {
			w.advance(10 * time.Millisecond)
			p := w.pick(PickRequest{TieBreaker: key(i)})
			o := Success
			if failing(p.ID) {
				failures++
				o = Failure
			}
			p.Done(o, 10*time.Millisecond, w.now)
		}
		return failures
	}
	s0 := func(id string) bool { return id == "s0" }
	countFailures(60, s0)
	if n := countFailures(300, s0); n > 30 {
		t.Errorf("a server that fails every request got %d of 300, want at most 30", n)
	}
	w.advance(maxEjectionTime + time.Second)
	none := func(string) bool { return false }
	countFailures(100, none)
	if n := countFailures(300, s0); n < 1 {
		t.Error("a recovered server got none of 300 requests")
	}
}

// Guards against a server that gets no request ever again because one response took long: the
// others stay faster than that while the load is low, and nothing shows that it has recovered.
func TestAServerThatWasSlowOnceIsUsedAgain(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	slow := w.pick(PickRequest{TieBreaker: key(0)})
	slow.Done(Success, 2*time.Second, w.now)
	for i := range 100 {
		w.advance(100 * time.Millisecond)
		p := w.pick(PickRequest{TieBreaker: key(i)})
		p.Done(Success, 10*time.Millisecond, w.now)
		if p.ID == slow.ID {
			return
		}
	}
	t.Errorf("server %s got none of 100 requests in 10 s after one slow response", slow.ID)
}

// If every server of a pool fails, all of them must still be used: ejection must
// not empty the pool.
func TestAPoolIsNeverEmptiedByFailures(t *testing.T) {
	w := newFleetSim(t)
	w.join(4, "s")
	used := map[string]int{}
	for i := range 200 {
		w.advance(20 * time.Millisecond)
		p := w.pick(PickRequest{TieBreaker: key(i)})
		used[p.ID]++
		p.Done(Failure, 10*time.Millisecond, w.now)
	}
	if len(used) != 4 {
		t.Errorf("requests by server: %v, want all 4 servers used", used)
	}
}

// probe tries the connections that are due and records for each whether its data centre
// can be reached.
func (w *fleetSim) probe(reachable func(dataCentre string) bool) (tried int) {
	for _, s := range w.fleet.Probes(w.now) {
		tried++
		w.fleet.RecordProbe(s, reachable(s.DataCentre), w.now)
	}
	return tried
}

// A data centre is partitioned from this router. Two unreachable servers must be
// enough to stop requests to all of them, and one connection that opens again must be
// enough to resume. Connections without a request find that out.
func TestAPartitionedDataCentreIsAvoidedAsAWhole(t *testing.T) {
	w := newFleetSim(t)
	w.join(18, "s")
	w.advance(time.Minute)
	partitioned := true
	reachable := func(dataCentre string) bool { return !partitioned || dataCentre != "b" }
	failed, sent, probes := 0, 0, 0
	for i := range 400 {
		w.advance(10 * time.Millisecond)
		probes += w.probe(reachable)
		p := w.pick(PickRequest{Key: key(i), SharedTokens: 500})
		sent++
		if !reachable(p.DataCentre) {
			failed++
			p.Done(Unreachable, 0, w.now)
			continue
		}
		p.Done(Success, time.Millisecond, w.now)
	}
	if failed > 2 {
		t.Errorf("%d of %d requests went to the partitioned data centre, want at most 2", failed, sent)
	}
	// In 4 s of partition two for each interval, and some to the other data centres at first.
	if limit := 2*int(4*time.Second/probeInterval) + 10; probes > limit {
		t.Errorf("%d connections were tried in 4 s, want at most %d", probes, limit)
	}
	partitioned = false
	w.advance(maxEjectionTime + time.Second)
	w.probe(reachable)
	afterwards := 0
	for i := range 300 {
		w.advance(10 * time.Millisecond)
		p := w.pick(PickRequest{Key: key(i), SharedTokens: 500})
		if p.DataCentre == "b" {
			afterwards++
		}
		p.Done(Success, time.Millisecond, w.now)
	}
	if afterwards < 70 {
		t.Errorf("%d of 300 requests go to the data centre after the partition, want about 100", afterwards)
	}
}

// The pattern: a data centre is taken out and then cut off. Its routers may not use the
// servers near them and cannot reach any other. After the first failed connections they
// refuse all requests at once, with the time until the load balancer sends elsewhere, instead
// of letting each wait for several connections in turn, and count as cut off; connections
// without a request are tried from time to time, and the first that opens brings all back.
func TestACutOffRouterRefusesAtOnceAndProbes(t *testing.T) {
	w := newFleetSim(t)
	w.join(12, "s")
	w.advance(time.Minute)
	w.fleet.SetEvacuated([]string{"a"}, func(string) time.Duration { return 0 }, w.now)
	const dialTimeout = 400 * time.Millisecond
	cutOffAt := w.now.Add(dialTimeout + 100*time.Millisecond) // at the latest
	type dial struct {
		ends   time.Time
		failed func()
	}
	cut, dials, probes := true, []dial{}, 0
	// run sends a request every 10 ms and returns how many were refused and sent.
	run := func(d time.Duration) (refused, sent int) {
		for end := w.now.Add(d); w.now.Before(end); w.advance(10 * time.Millisecond) {
			for len(dials) > 0 && !dials[0].ends.After(w.now) {
				dials[0].failed()
				dials = dials[1:]
			}
			for _, s := range w.fleet.Probes(w.now) {
				probes++
				if !cut {
					w.fleet.RecordProbe(s, true, w.now)
					continue
				}
				dials = append(dials, dial{w.now.Add(dialTimeout), func() { w.fleet.RecordProbe(s, false, w.now) }})
			}
			p, err := w.fleet.Pick(PickRequest{Service: chat, Key: key(sent + refused), TieBreaker: uint64(sent + refused)}, w.now)
			switch {
			case err != nil:
				refused++
				var e *errkind.Error
				if !errors.Is(err, ErrUnreachable) || !errors.As(err, &e) || e.Kind != errkind.NoBackend || e.RetryAfter < minCutOffRetryAfter ||
					e.RetryAfter > max(minCutOffRetryAfter, cutOffAt.Add(BalancerDetectionTime).Sub(w.now)) {
					t.Fatalf("refused with %v %s after the cut was noticed", err, w.now.Sub(cutOffAt))
				}
			case cut:
				sent++
				dials = append(dials, dial{w.now.Add(dialTimeout), func() { p.Done(Unreachable, dialTimeout, w.now) }})
			default:
				sent++
				p.Done(Success, 10*time.Millisecond, w.now)
			}
		}
		return refused, sent
	}
	run(dialTimeout + 100*time.Millisecond)
	probes = 0
	refused, sent := run(4 * time.Second)
	if refused != 400 || sent != 0 {
		t.Errorf("of 400 requests %d were refused and %d sent to two data centres that cannot be reached", refused, sent)
	}
	// Two servers of each of three data centres, of which one can be taken back at any time.
	if most := 6 * (int(4*time.Second/probeInterval) + 1); probes > most || probes < most/4 {
		t.Errorf("%d connections were tried in 4 s, want %d to %d", probes, most/4, most)
	}
	if !w.fleet.CutOff() {
		t.Error("the router does not count as cut off")
	}
	cut = false
	dials = nil
	run(probeInterval)
	if refused, _ := run(time.Second); refused > 0 {
		t.Errorf("%d requests were refused after the cut", refused)
	}
	if w.fleet.CutOff() {
		t.Error("the router counts as cut off after the cut")
	}
}

// All servers of the only data centre have crashed, and may be back soon: requests are refused
// at once, with a short time, and the router does not count as cut off.
func TestRefusalsNameAShortTimeIfTheOnlyDataCentreIsUnreachable(t *testing.T) {
	w := newFleetSim(t)
	for i := range 3 {
		w.announce(w.server(fmt.Sprint("s", i), "a"))
	}
	w.advance(time.Minute)
	for i := range minUnreachableServers {
		w.pick(PickRequest{TieBreaker: key(i), Exclude: []string{"s0", "s1"}[:i]}).Done(Unreachable, time.Millisecond, w.now)
	}
	w.probe(func(string) bool { return false })
	_, err := w.fleet.Pick(PickRequest{Service: chat}, w.now)
	var e *errkind.Error
	if !errors.Is(err, ErrUnreachable) || !errors.As(err, &e) || e.RetryAfter != minCutOffRetryAfter || w.fleet.CutOff() {
		t.Errorf("error %v with Retry-After %v, cut off %v", err, e.RetryAfter, w.fleet.CutOff())
	}
}

// The first connection that fails has all data centres probed, also those to which this router
// has not sent anything, and nothing is probed before.
func TestTheFirstFailureHasAllDataCentresProbed(t *testing.T) {
	w := newFleetSim(t)
	w.join(9, "s")
	w.advance(time.Minute)
	if tried := w.fleet.Probes(w.now); len(tried) > 0 {
		t.Errorf("%d servers are probed without a reason", len(tried))
	}
	w.pick(PickRequest{TieBreaker: 1}).Done(Unreachable, time.Millisecond, w.now)
	tried := map[string]int{}
	for _, s := range w.fleet.Probes(w.now) {
		tried[s.DataCentre]++
	}
	if len(tried) != 3 || tried["a"] != 2 || tried["b"] != 2 || tried["c"] != 2 {
		t.Errorf("servers probed by data centre: %v, want two of each", tried)
	}
}

// A single unreachable server must not stop requests to the rest of its data
// centre.
func TestOneUnreachableServerIsNoPartition(t *testing.T) {
	w := newFleetSim(t)
	w.join(9, "s")
	w.advance(time.Minute)
	for i := range 100 {
		w.advance(10 * time.Millisecond)
		p := w.pick(PickRequest{Key: key(i)})
		o := Success
		if p.ID == "s1" {
			o = Unreachable
		}
		p.Done(o, time.Millisecond, w.now)
	}
	n := 0
	for i := range 100 {
		w.advance(time.Millisecond)
		p := w.pick(PickRequest{Key: key(i)})
		if p.DataCentre == "b" {
			n++
		}
		p.Done(Success, time.Millisecond, w.now)
	}
	if n < 15 {
		t.Errorf("%d of 100 requests go to a data centre with one unreachable server, want at least 15", n)
	}
}

// A crashed server sends no heartbeats. It must get no requests, unless no other
// server is left.
func TestSilentServersAreLeftOutWhileOthersRemain(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	w.now = w.now.Add(heartbeatTimeout + time.Second)
	live := w.server("live", "a")
	w.announce(live)
	for i := range 50 {
		if p := w.pick(PickRequest{TieBreaker: key(i)}); p.ID != "live" {
			t.Fatalf("silent server %s was chosen", p.ID)
		}
	}
	if p, err := w.fleet.Pick(PickRequest{Service: chat, Exclude: []string{"live"}}, w.now); err != nil {
		t.Errorf("no server was chosen though a silent one is left: %v", err)
	} else {
		p.Done(Neutral, 0, w.now)
	}
}

func TestRefusalsCarryRetryAfter(t *testing.T) {
	w := newFleetSim(t)
	_, err := w.fleet.Pick(PickRequest{Service: chat}, w.now)
	var e *errkind.Error
	if !errkind.Is(err, errkind.NoBackend) {
		t.Fatalf("pick from an empty pool: %v", err)
	}
	if e = err.(*errkind.Error); e.RetryAfter <= 0 {
		t.Errorf("retry after %s, want more than 0", e.RetryAfter)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 60, 140, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newFleetSim(nil)
			w.join(n, "s")
			b.ReportAllocs()
			for i := range b.N {
				p, err := w.fleet.Pick(PickRequest{Service: chat, Key: key(i % 1000), SharedTokens: 700}, w.now)
				if err != nil {
					b.Fatal(err)
				}
				p.Done(Success, time.Millisecond, w.now)
			}
		})
	}
}

// After an evacuation the servers of the data centre lack the prompts that other
// servers computed in their place. They must fetch those prompts, not compute them
// again.
func TestReturningServersFetchWhatOthersCached(t *testing.T) {
	w := newFleetSim(t)
	w.join(6, "s")
	w.advance(time.Minute)
	homes := w.allHomes(50)
	coldTime := func(string) time.Duration { return 0 }
	w.fleet.SetEvacuated([]string{"b"}, coldTime, w.now)
	w.advance(time.Second)
	substitutes := w.allHomes(50)
	w.fleet.SetEvacuated(nil, coldTime, w.now)
	// Another router, which sent none of these prompts itself.
	other := newFleetSim(t)
	other.join(6, "s")
	other.advance(time.Minute)
	other.fleet.SetEvacuated([]string{"b"}, coldTime, other.now)
	other.fleet.SetEvacuated(nil, coldTime, other.now)
	for i, home := range homes {
		for name, v := range map[string]*fleetSim{"that sent the prompts": w, "that did not": other} {
			p := v.pick(PickRequest{Key: key(i)})
			returned := home == "s1" || home == "s4"
			switch {
			case p.ID != home:
				t.Fatalf("key %d of %s went to %s", i, home, p.ID)
			case returned && (p.CacheSource == nil || p.CacheSource.ID != substitutes[i]):
				t.Errorf("router %s: key %d of %s is fetched from %v, want %s", name, i, home, p.CacheSource, substitutes[i])
			case !returned && p.CacheSource != nil:
				t.Errorf("router %s: key %d, which never left %s, is fetched from %s", name, i, home, p.CacheSource.ID)
			}
			p.Done(Success, time.Millisecond, v.now)
			p = v.pick(PickRequest{Key: key(i)})
			if v == w && p.CacheSource != nil {
				t.Errorf("key %d is fetched again from %s", i, p.CacheSource.ID)
			}
			p.Done(Success, time.Millisecond, v.now)
		}
	}
}

// Many subjects share the first part of their prompts. A server that gets a
// subject for the first time must fetch the shared part from a server that has it
// cached.
func TestASharedPartIsFetchedFromAServerThatCachedIt(t *testing.T) {
	w := newFleetSim(t)
	w.join(6, "s")
	w.advance(time.Minute)
	manual := routing.Hash("manual")
	ask := func(i int) *PickResult {
		p := w.pick(PickRequest{Key: key(i), Parts: []uint64{manual, key(i)}})
		p.Done(Success, time.Millisecond, w.now)
		return p
	}
	if p := ask(0); p.CacheSource != nil {
		t.Errorf("a part that no server has cached is fetched from %s", p.CacheSource.ID)
	}
	last := w.home(key(0))
	for i := 1; i < 50; i++ {
		p := ask(i)
		switch {
		case p.ID == last && p.CacheSource != nil:
			t.Errorf("subject %d: %s has the part cached and fetches it from %s", i, p.ID, p.CacheSource.ID)
		case p.ID != last && (p.CacheSource == nil || p.CacheSource.ID != last):
			t.Errorf("subject %d at %s fetches from %v, want %s", i, p.ID, p.CacheSource, last)
		}
		last = p.ID
	}
	// A server that is gone cannot be a source.
	w.drain(last)
	s := *w.table.Get(last)
	s.State, s.Sequence = inventory.Gone, s.Sequence+1
	w.announce(s)
	for i := 50; i < 60; i++ {
		if p := w.pick(PickRequest{Key: key(i), Parts: []uint64{manual, key(i)}}); p.CacheSource != nil && p.CacheSource.ID == last {
			t.Errorf("subject %d is fetched from %s, which is gone", i, last)
		}
	}
}

// A router restarts after a rolling release of the servers. It must find the same
// homes as the other routers, or the same prompts are computed on two servers.
func TestARestartedRouterFindsTheSameHomes(t *testing.T) {
	w := newFleetSim(t)
	w.join(9, "old")
	w.advance(time.Minute)
	for i := range 5 {
		w.join(1, fmt.Sprint("new", i, "-"))
		w.advance(time.Second)
		w.drain(fmt.Sprintf("old%d", i))
		w.advance(time.Second)
	}
	before := w.allHomes(300)
	restarted := newFleetSim(t)
	restarted.now, restarted.table, restarted.places = w.now, w.table, w.places
	restarted.fleet.SetPlaces(restarted.places, restarted.now)
	restarted.fleet.Update(restarted.table, restarted.now)
	if n := countMoved(before, restarted.allHomes(300)); n != 0 {
		t.Errorf("%d of 300 keys have another home at a restarted router", n)
	}
}

// Guards against requests to a server that has announced that it runs in a data centre which is
// evacuated, and that was known in another one before.
func TestAServerIsEvacuatedWithTheDataCentreThatItAnnouncedLast(t *testing.T) {
	w := newFleetSim(t)
	moved, other := w.server("moved", "a"), w.server("other", "a")
	w.announce(moved, other)
	w.advance(time.Minute)
	moved.DataCentre, moved.LastSeen = "b", w.now
	moved.Sequence = other.Sequence + 1
	if got := w.table.Merge(moved); got != inventory.Changed {
		t.Errorf("an announcement of another data centre: %v, want changed", got)
	}
	w.fleet.Update(w.table, w.now)
	w.fleet.SetEvacuated([]string{"b"}, func(string) time.Duration { return 0 }, w.now)
	for i := range 20 {
		p := w.pick(PickRequest{Key: key(i)})
		if p.ID != "other" {
			t.Fatalf("key %d went to server %q, whose data centre is evacuated", i, p.ID)
		}
		p.Done(Success, time.Millisecond, w.now)
	}
}
