package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/lease"
)

// world simulates processes, routers and backend servers around the real lease
// and grantor cores. Sessions are ordered streams that may break; everything
// may be late; processes and routers may be paused or restarted.
type world struct {
	t    *testing.T
	seed uint64
	rand *rand.Rand
	now  Instant
	due  agenda
	seq  int

	options   Options
	lease     lease.Options
	set       *config.Set
	processes []*process
	routers   []*simRouter
	engines   []*engine
	nextID    SessionID

	grants, refusals, tenures, starts int
	lastTerm                          uint64
}

type action struct {
	at  Instant
	seq int
	do  func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.due, action{w.now + d, w.seq, do})
}

// transit is the way of one message, well below the margin.
func (w *world) transit() time.Duration {
	return time.Duration(1+w.rand.IntN(15)) * time.Millisecond
}

// process is one candidate and voter.
type process struct {
	w           *world
	index       int
	incarnation int
	voter       *lease.Voter
	candidate   *lease.Candidate
	core        *Core
	sessions    map[SessionID]*simSession
	pausedUntil Instant
	inbox       []func()
}

// simSession is a stream between a router and a process.
type simSession struct {
	id     SessionID
	router *simRouter
	on     *process
	up     bool
	broken bool
	// lastUp and lastDown keep the order of each direction.
	lastUp, lastDown Instant
}

// simRouter is one router, as package grantor's Client behaves.
type simRouter struct {
	w           *world
	name        string
	incarnation int
	session     *simSession
	pausedUntil Instant
	inbox       []func()
	nextAsk     uint64
	pending     map[uint64]*simAsk
	held        map[earlierKey]*simPermit
}

type simAsk struct {
	ask  *grantpb.Ask
	sent Instant
}

type simPermit struct {
	key       earlierKey
	server    string
	workspace string
	startedAt Instant
	deadline  Instant
	// result waits for a session that can take it.
	result *grantpb.Result
}

// engine is one backend server; running is the truth that limits are about.
type engine struct {
	w           *world
	name        string
	incarnation int
	state       grantpb.ServerState
	capacity    int
	cold        int
	sequence    uint64
	running     map[*simRun]bool
	// history is what ran at earlier times, for reports with a lag.
	history []sample
}

type sample struct {
	at      Instant
	running int
}

type simRun struct{ current bool }

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 99)),
		options: Options{StartWindow: 300 * time.Millisecond, Margin: 100 * time.Millisecond, MinSubset: 2, SubsetSlack: 2},
		lease:   lease.Options{Lease: time.Second, DriftMargin: 50 * time.Millisecond, Renew: 200 * time.Millisecond},
	}
	w.declare(func(*config.Set) {})
	for i := range 3 {
		p := &process{w: w, index: i, voter: lease.NewVoter(0, w.lease.Lease)}
		w.processes = append(w.processes, p)
		p.restart()
		w.every(10*time.Millisecond, p.tick)
	}
	for i := range 3 {
		r := &simRouter{w: w, name: fmt.Sprint("r", i)}
		w.routers = append(w.routers, r)
		r.restart()
		w.every(50*time.Millisecond, r.connect)
		w.every(time.Duration(3+w.rand.IntN(12))*time.Millisecond, r.askRandom)
	}
	for i := range 4 {
		e := &engine{
			w: w, name: fmt.Sprint("e", i), capacity: 2 + w.rand.IntN(5), cold: 1, incarnation: 1,
			state: grantpb.ServerState_SERVER_STATE_READY, running: map[*simRun]bool{},
		}
		w.engines = append(w.engines, e)
		w.every(200*time.Millisecond, e.announce)
	}
	return w
}

func (w *world) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); w.after(d, again) }
	w.after(time.Duration(w.rand.Int64N(int64(d))), again)
}

// declare publishes a changed set; cores see it late and at different times.
func (w *world) declare(change func(*config.Set)) {
	dc := &config.DataCentre{Name: "dc", Region: "r", MaxInFlight: w.rand.IntN(2) * 12}
	set := &config.Set{
		DataCentres:    map[string]*config.DataCentre{"dc": dc},
		Services:       map[string]*config.Service{"s": {Name: "s", Policy: "p"}},
		Policies:       map[string]*config.Policy{"p": {Name: "p", ColdRamp: config.Duration(time.Second), SilenceLimit: config.Duration(time.Second), EjectAfter: 3, EjectTime: config.Duration(time.Second), MaxQueue: 20}},
		Workspaces:     map[string]*config.Workspace{"w0": {Name: "w0", MaxInFlight: 3}},
		BackendServers: map[string]*config.BackendServer{},
	}
	change(set)
	w.set = set
	for _, p := range w.processes {
		w.after(w.transit()*20, func() {
			p.handle(func() {
				if p.core != nil {
					p.core.Configure(w.now, set)
				}
			})
		})
	}
}

func (w *world) run(until Instant) {
	for len(w.due) > 0 && w.due[0].at <= until {
		a := heap.Pop(&w.due).(action)
		w.now = a.at
		a.do()
		for _, p := range w.processes {
			p.settle()
		}
		if w.rand.IntN(1500) == 0 {
			w.disturb()
		}
	}
}

func (w *world) disturb() {
	long := time.Duration(w.rand.IntN(4000)) * time.Millisecond
	switch w.rand.IntN(8) {
	case 0:
		w.processes[w.rand.IntN(3)].restart()
	case 1:
		w.processes[w.rand.IntN(3)].pause(long)
	case 2:
		w.routers[w.rand.IntN(3)].restart()
	case 3:
		w.routers[w.rand.IntN(3)].pause(long)
	case 4:
		if s := w.routers[w.rand.IntN(3)].session; s != nil {
			s.drop()
		}
	case 5:
		w.engines[w.rand.IntN(4)].restart()
	case 6:
		e := w.engines[w.rand.IntN(4)]
		w.declare(func(s *config.Set) {
			if w.rand.IntN(4) == 0 {
				s.DataCentres["dc"].State = config.Out
			}
			s.BackendServers[e.name] = &config.BackendServer{Name: e.name, State: config.Out, MaxInFlight: 1}
		})
	case 7:
		w.declare(func(*config.Set) {})
		e := w.engines[w.rand.IntN(4)]
		e.state = grantpb.ServerState_SERVER_STATE_LEAVING
		w.after(long, func() { e.state = grantpb.ServerState_SERVER_STATE_READY })
	}
}

// restart begins a new run of the process: its core is gone, its vote quiet.
func (p *process) restart() {
	p.incarnation++
	p.core, p.inbox, p.pausedUntil = nil, nil, 0
	for _, s := range p.sessions {
		s.drop()
	}
	p.sessions = map[SessionID]*simSession{}
	if p.incarnation > 1 {
		p.voter = lease.NewVoter(p.w.now, p.w.lease.Lease)
	}
	p.candidate = lease.NewCandidate(p.w.lease, fmt.Sprint("p", p.index), fmt.Sprint(p.incarnation), "", p.w.rand)
	p.candidate.SetVoters(p.w.now, []string{"0", "1", "2"})
}

func (p *process) pause(d time.Duration) {
	p.pausedUntil = p.w.now + d
	incarnation := p.incarnation
	p.w.after(d, func() {
		if p.incarnation != incarnation {
			return
		}
		waiting := p.inbox
		p.inbox = nil
		for _, do := range waiting {
			do()
			p.settle()
		}
	})
}

// handle runs do at once, or when the process wakes.
func (p *process) handle(do func()) {
	if p.w.now < p.pausedUntil {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
}

func (p *process) tick() {
	if p.w.now < p.pausedUntil {
		return
	}
	w := p.w
	for _, send := range p.candidate.Tick(w.now, uint64(w.now/time.Millisecond)) {
		voter := w.processes[int(send.Voter[0]-'0')]
		incarnation := p.incarnation
		if w.rand.IntN(20) == 0 {
			continue
		}
		w.after(w.transit(), func() {
			voter.handle(func() {
				r := voter.voter.Vote(w.now, send.Request)
				w.after(w.transit(), func() {
					p.handle(func() {
						if p.incarnation == incarnation {
							p.candidate.Answer(w.now, send.Voter, send.Round, r)
							p.tenure()
						}
					})
				})
			})
		})
	}
	p.tenure()
	if p.core != nil {
		p.core.Tick(w.now)
	}
}

func (p *process) tenure() {
	holds := p.candidate.Holds(p.w.now)
	if p.core != nil && (!holds || p.core.Term() != p.candidate.Term()) {
		p.core.StepDown()
		p.settle()
		p.core = nil
		for _, s := range p.sessions {
			s.drop()
		}
		p.sessions = map[SessionID]*simSession{}
	}
	if !holds {
		return
	}
	if p.core == nil {
		p.w.tenures++
		p.core = New(p.w.options, "dc", p.w.set, p.candidate.Term(), p.w.now, p.candidate.Until(p.w.now))
	}
	p.core.Renew(p.candidate.Until(p.w.now))
}
