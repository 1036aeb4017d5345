package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
)

// brittleServer is a server that fails if it has to refuse more than a number of requests in
// a second, and starts again after a while.
type brittleServer struct {
	id               string
	slots, queue     int
	running, waiting []*brittleRequest
	refused          []time.Time
	downUntil        time.Time
	falls            int
}

type brittleRequest struct {
	router   int
	sends    int
	result   *PickResult
	sentAt   time.Time
	excluded []string
	// waitsUntil is when a request that waits for room is refused.
	waitsUntil time.Time
}

// brittleFleet runs several routers before the same servers in virtual time.
type brittleFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	routers  []*fleetSim
	servers  []*brittleServer
	refusals float64
	work     time.Duration
	// silentLoad is set if the servers do not report their load.
	silentLoad bool
	events     []brittleEvent
	// queues holds, for each router, the requests that wait for room.
	queues [][]*brittleRequest
	// sent, answered and refused count clients' requests.
	sent, answered, refused int
}

type brittleEvent struct {
	at time.Time
	do func()
}

const (
	brittleHop      = time.Millisecond
	brittleDownTime = 3 * time.Second
	// brittleGrace is how long servers let more requests wait after they have named the limit.
	brittleGrace = 3 * time.Second
)

var plainService = &catalog.Service{Name: chat.Name}

func newBrittleFleet(t *testing.T, seed uint64, routers, servers, slots int, refusals float64, work time.Duration) *brittleFleet {
	f := &brittleFleet{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: start, refusals: refusals, work: work}
	for i := range servers {
		f.servers = append(f.servers, &brittleServer{id: fmt.Sprint("s", i), slots: slots, queue: 4 * slots})
	}
	for range routers {
		w := newFleetSim(t)
		w.fleet.SetRouters(routers)
		f.routers, f.queues = append(f.routers, w), append(f.queues, nil)
		for _, s := range f.servers {
			f.announce(w, s)
		}
	}
	return f
}

func (f *brittleFleet) announce(w *fleetSim, s *brittleServer) {
	w.now = f.now
	announced := w.server(s.id, "a")
	announced.Slots = s.slots
	w.announce(announced)
}

func (f *brittleFleet) after(d time.Duration, do func()) {
	e := brittleEvent{f.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b brittleEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.events = slices.Insert(f.events, i, e)
}

// run sends perSecond requests a second for d, in clumps, to routers of unequal popularity.
func (f *brittleFleet) run(d time.Duration, perSecond float64) {
	const step, queueEvery, probeEvery, clump = time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 3
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for len(f.events) > 0 && !f.events[0].at.After(f.now) {
			e := f.events[0]
			f.events = f.events[1:]
			e.do()
		}
		for i, w := range f.routers {
			if f.now.Sub(start)%queueEvery == 0 {
				f.checkQueue(i)
			}
			if w.now = f.now; f.now.Sub(start)%time.Second == 0 {
				w.advance(0)
			}
			if f.now.Sub(start)%probeEvery != 0 {
				continue
			}
			for _, s := range w.fleet.Probes(f.now) {
				w.fleet.RecordProbe(s, !f.now.Before(f.server(s.ID).downUntil), f.now)
			}
		}
		if f.rng.Float64() < perSecond*step.Seconds()/clump {
			for range clump {
				f.sent++
				// The last router gets about twice as many requests as the first.
				i := max(f.rng.IntN(len(f.routers)), f.rng.IntN(2*len(f.routers))-len(f.routers))
				f.send(&brittleRequest{router: i})
			}
		}
	}
}

const (
	// maxBrittleSends is the route's maximum number of attempts.
	maxBrittleSends = 2
	// brittleWait is how long requests wait for room at a router.
	brittleWait = 100 * time.Millisecond
)

func (f *brittleFleet) send(r *brittleRequest) {
	if r.sends >= maxBrittleSends || len(r.excluded) >= 4 {
		f.refused++
		return
	}
	w := f.routers[r.router]
	picked, err := w.fleet.Pick(PickRequest{Service: plainService, TieBreaker: f.rng.Uint64(), Exclude: r.excluded}, f.now)
	switch queue := &f.queues[r.router]; {
	case errors.Is(err, ErrNoRoom) && r.waitsUntil.IsZero() && len(*queue) < w.fleet.Room(chat.Name):
		r.waitsUntil = f.now.Add(brittleWait)
		*queue = append(*queue, r)
		return
	case err != nil:
		f.refused++
		return
	}
	f.sendTo(r, picked)
}

func (f *brittleFleet) sendTo(r *brittleRequest, picked *PickResult) {
	r.result, r.sentAt, r.excluded = picked, f.now, append(r.excluded, picked.ID)
	f.after(brittleHop, func() { f.arrive(f.server(picked.ID), r) })
}

// checkQueue sends the requests of a router's queue for which there is room, in their order,
// and refuses those that have waited too long.
func (f *brittleFleet) checkQueue(router int) {
	for len(f.queues[router]) > 0 {
		r := f.queues[router][0]
		picked, err := f.routers[router].fleet.Pick(PickRequest{Service: plainService, TieBreaker: f.rng.Uint64(), Exclude: r.excluded}, f.now)
		switch {
		case err == nil:
			f.sendTo(r, picked)
		case f.now.After(r.waitsUntil):
			f.refused++
		default:
			return
		}
		f.queues[router] = f.queues[router][1:]
	}
}

func (f *brittleFleet) server(id string) *brittleServer {
	return f.servers[slices.IndexFunc(f.servers, func(s *brittleServer) bool { return s.id == id })]
}

func (f *brittleFleet) arrive(s *brittleServer, r *brittleRequest) {
	switch {
	case f.now.Before(s.downUntil):
		f.after(brittleHop, func() {
			r.result.Done(Unreachable, brittleHop, f.now)
			f.send(r)
		})
	case len(s.running) < s.slots:
		f.begin(s, r)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, r)
	default:
		load := Load{Running: len(s.running), Waiting: len(s.waiting), Slots: s.slots}
		f.after(brittleHop, func() {
			f.respond(r, load)
			r.result.Done(Refused, 2*brittleHop, f.now)
			r.sends++
			f.send(r)
		})
		f.refuse(s)
	}
}

// refuse counts a refusal of the server, which fails if they are too many.
func (f *brittleFleet) refuse(s *brittleServer) {
	s.refused = append(slices.DeleteFunc(s.refused, func(at time.Time) bool { return f.now.Sub(at) >= time.Second }), f.now)
	if float64(len(s.refused)) <= f.refusals {
		return
	}
	s.falls++
	lost := append(s.running, s.waiting...)
	s.running, s.waiting, s.refused, s.downUntil = nil, nil, nil, f.now.Add(brittleDownTime)
	for _, r := range lost {
		r.result.Done(Failure, f.now.Sub(r.sentAt), f.now)
		f.refused++
	}
	f.after(brittleDownTime, func() {
		for _, w := range f.routers {
			f.announce(w, s)
		}
	})
}

func (f *brittleFleet) begin(s *brittleServer, r *brittleRequest) {
	s.running = append(s.running, r)
	f.after(time.Duration((0.5+f.rng.ExpFloat64()/2)*float64(f.work)), func() { f.finish(s, r) })
}

func (f *brittleFleet) finish(s *brittleServer, r *brittleRequest) {
	i := slices.Index(s.running, r)
	if i < 0 {
		return // The server has failed meanwhile.
	}
	s.running = slices.Delete(s.running, i, i+1)
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		f.begin(s, next)
	}
	load := Load{Running: len(s.running), Waiting: len(s.waiting), Slots: s.slots}
	f.after(brittleHop, func() {
		f.answered++
		f.respond(r, load)
		r.result.Done(Success, f.now.Sub(r.sentAt), f.now)
	})
}

// respond records what a response says besides its outcome.
func (f *brittleFleet) respond(r *brittleRequest, load Load) {
	if !f.silentLoad {
		r.result.RecordLoad(load, f.now)
	}
	r.result.RecordNotice(Notice{Refusals: f.refusals, HasRefusals: true}, r.sentAt, f.now)
}

// Guards against servers that fail one after the other because they have to refuse requests
// for want of room. The patterns: twice as many requests as the servers bear, and somewhat
// more than half of it, in clumps and unevenly over the routers; the servers let fewer wait
// some seconds after they have said that they fail by refusing. In one such time they may
// fail at most twice plus a tenth of their number, and most of what they bear must be
// answered.
func TestServersThatFailByRefusingDoNotFail(t *testing.T) {
	for _, tc := range []brittleCase{
		{4, 8, 5, 4, 10, 2, 100 * time.Millisecond, 0.8, false},
		{4, 8, 5, 4, 10, 0.6, 100 * time.Millisecond, 0.95, false},
		{4, 8, 5, 2, 5, 2, 100 * time.Millisecond, 0.8, false},
		{4, 8, 5, 2, 5, 0.6, 100 * time.Millisecond, 0.95, false},
		{4, 8, 1, 2, 10, 2, 20 * time.Millisecond, 0.8, false},
		{4, 8, 1, 2, 10, 0.6, 20 * time.Millisecond, 0.95, false},
		{7, 3, 6, 3, 5, 2, 60 * time.Millisecond, 0.8, false},
		{7, 3, 6, 3, 5, 0.5, 60 * time.Millisecond, 0.95, false},
		{8, 3, 6, 2, 2, 2, 60 * time.Millisecond, 0.8, false},
		{8, 3, 6, 2, 2, 0.6, 60 * time.Millisecond, 0.95, false},
		{7, 12, 64, 16, 5, 1.5, time.Second, 0.8, false},
		{4, 8, 5, 4, 10, 2, 100 * time.Millisecond, 0.8, true},
		{4, 8, 5, 4, 10, 0.6, 100 * time.Millisecond, 0.95, true},
		{7, 3, 6, 3, 5, 2, 60 * time.Millisecond, 0.8, true},
		{7, 3, 6, 3, 5, 0.5, 60 * time.Millisecond, 0.95, true},
	} {
		tc.runSeeds(t)
	}
}

// The pattern: far more routers than servers have slots, so that one request of each is more
// than a server bears, and twice as many requests as all servers bear.
func TestServersThatFailByRefusingDoNotFailInALargeFleet(t *testing.T) {
	for _, tc := range []brittleCase{
		{67, 5, 6, 3, 10, 2, 30 * time.Millisecond, 0.5, false},
		{67, 5, 6, 3, 10, 2, 30 * time.Millisecond, 0.5, true},
		{67, 5, 6, 3, 10, 0.6, 30 * time.Millisecond, 0.8, false},
	} {
		tc.runSeeds(t)
	}
}

// brittleCase is a fleet and its load, as a multiple of what the servers bear.
type brittleCase struct {
	routers, servers, slots, queue int
	refusals, load                 float64
	work                           time.Duration
	// least is the part of what the servers bear, or of the requests if these are fewer, that
	// must be answered.
	least float64
	// silentLoad is set if the servers do not report their load.
	silentLoad bool
}

// runSeeds runs the case with two seeds, beside others.
func (tc brittleCase) runSeeds(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(tc, seed), func(t *testing.T) {
			t.Parallel()
			tc.run(t, seed)
		})
	}
}

func (tc brittleCase) run(t *testing.T, seed uint64) {
	t.Helper()
	const before, measured = 2 * time.Second, 10 * time.Second
	f := newBrittleFleet(t, seed, tc.routers, tc.servers, tc.slots, tc.refusals, tc.work)
	f.silentLoad = tc.silentLoad
	bears := float64(tc.servers*tc.slots) / tc.work.Seconds()
	f.run(brittleGrace, bears*min(1, tc.load))
	for _, s := range f.servers {
		s.queue = tc.queue
		s.falls = 0
	}
	f.run(before, bears*tc.load)
	f.sent, f.answered, f.refused = 0, 0, 0
	f.run(measured, bears*tc.load)
	falls := 0
	for _, s := range f.servers {
		falls += s.falls
	}
	name := fmt.Sprintf("%d routers, %d servers of %d slots, %.0f refusals, load %.1f, load reported %v, seed %d", tc.routers, tc.servers, tc.slots, tc.refusals, tc.load, !tc.silentLoad, seed)
	if most := 2 + tc.servers/10; falls > most {
		t.Errorf("%s: the servers failed %d times, want at most %d", name, falls, most)
	}
	wanted := min(float64(f.sent), bears*measured.Seconds())
	if part := float64(f.answered) / wanted; part < tc.least {
		t.Errorf("%s: %.2f of what the servers bear was answered, want at least %.2f", name, part, tc.least)
	}
}
