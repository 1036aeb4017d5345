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

// simulation simulates processes, routers and backend servers around the real lease
// and admission cores. Sessions are ordered streams that may break, every message
// may be delayed, and processes and routers may be paused or restarted.
type simulation struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand
	now    Instant
	events eventQueue
	seq    int

	options   Options
	lease     lease.Options
	set       *config.Set
	processes []*process
	routers   []*simRouter
	servers   []*simServer
	nextID    SessionID

	grants, refusals, terms, starts int
	lastTerm                        uint64
}

type event struct {
	at  Instant
	seq int
	do  func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.seq, do})
}

// messageDelay returns the delay of one message, well below Options.Margin.
func (sim *simulation) messageDelay() time.Duration {
	return time.Duration(1+sim.rand.IntN(15)) * time.Millisecond
}

// process is one lease candidate and voter.
type process struct {
	sim         *simulation
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
	id          SessionID
	router      *simRouter
	process     *process
	established bool
	broken      bool
	// lastToGrantor and lastToRouter are the arrival times of the last message in
	// each direction; later messages do not overtake it.
	lastToGrantor, lastToRouter Instant
}

// simRouter is one router. It behaves as grantor.Client does.
type simRouter struct {
	sim         *simulation
	name        string
	incarnation int
	session     *simSession
	pausedUntil Instant
	inbox       []func()
	nextAsk     uint64
	pending     map[uint64]*simAsk
	held        map[permitKey]*simPermit
}

type simAsk struct {
	ask  *grantpb.Ask
	sent Instant
}

type simPermit struct {
	key       permitKey
	server    string
	workspace string
	startedAt Instant
	deadline  Instant
	// result is set while it waits for a session over which it can be sent.
	result *grantpb.Result
}

// simServer is one backend server. running holds the requests that it really runs,
// to which the limits apply.
type simServer struct {
	sim          *simulation
	name         string
	incarnation  int
	state        grantpb.ServerState
	capacity     int
	coldCapacity int
	sequence     uint64
	running      map[*simRun]bool
	// history holds the numbers of running requests at earlier times, for delayed
	// load reports.
	history []sample
}

type sample struct {
	at      Instant
	running int
}

type simRun struct{ current bool }

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 99)),
		options: Options{StartWindow: 300 * time.Millisecond, Margin: 100 * time.Millisecond, MinSubset: 2, SubsetSlack: 2},
		lease:   lease.Options{Duration: time.Second, DriftMargin: 50 * time.Millisecond, RenewInterval: 200 * time.Millisecond},
	}
	sim.publishConfig(func(*config.Set) {})
	for i := range 3 {
		p := &process{sim: sim, index: i, voter: lease.NewVoter(0, sim.lease.Duration)}
		sim.processes = append(sim.processes, p)
		p.restart()
		sim.every(10*time.Millisecond, p.tick)
	}
	for i := range 3 {
		r := &simRouter{sim: sim, name: fmt.Sprint("r", i)}
		sim.routers = append(sim.routers, r)
		r.restart()
		sim.every(50*time.Millisecond, r.connect)
		sim.every(time.Duration(3+sim.rand.IntN(12))*time.Millisecond, r.sendRandomAsk)
	}
	for i := range 4 {
		srv := &simServer{
			sim: sim, name: fmt.Sprint("e", i), capacity: 2 + sim.rand.IntN(5), coldCapacity: 1, incarnation: 1,
			state: grantpb.ServerState_SERVER_STATE_READY, running: map[*simRun]bool{},
		}
		sim.servers = append(sim.servers, srv)
		sim.every(200*time.Millisecond, srv.announce)
	}
	return sim
}

func (sim *simulation) every(d time.Duration, do func()) {
	var repeat func()
	repeat = func() { do(); sim.after(d, repeat) }
	sim.after(time.Duration(sim.rand.Int64N(int64(d))), repeat)
}

// publishConfig publishes a changed configuration. Cores receive it after a delay,
// at different times.
func (sim *simulation) publishConfig(change func(*config.Set)) {
	dc := &config.DataCentre{Name: "dc", Region: "r", MaxInFlight: sim.rand.IntN(2) * 12}
	set := &config.Set{
		DataCentres:    map[string]*config.DataCentre{"dc": dc},
		Services:       map[string]*config.Service{"s": {Name: "s", Policy: "p"}},
		Policies:       map[string]*config.Policy{"p": {Name: "p", ColdRamp: config.Duration(time.Second), SilenceLimit: config.Duration(time.Second), EjectAfter: 3, EjectTime: config.Duration(time.Second), MaxQueue: 20}},
		Workspaces:     map[string]*config.Workspace{"w0": {Name: "w0", MaxInFlight: 3}},
		BackendServers: map[string]*config.BackendServer{},
	}
	change(set)
	sim.set = set
	for _, p := range sim.processes {
		sim.after(sim.messageDelay()*20, func() {
			p.handle(func() {
				if p.core != nil {
					p.core.Configure(sim.now, set)
				}
			})
		})
	}
}

func (sim *simulation) run(until Instant) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		a := heap.Pop(&sim.events).(event)
		sim.now = a.at
		a.do()
		for _, p := range sim.processes {
			p.checkAndDeliver()
		}
		if sim.rand.IntN(1500) == 0 {
			sim.injectFault()
		}
	}
}

func (sim *simulation) injectFault() {
	duration := time.Duration(sim.rand.IntN(4000)) * time.Millisecond
	switch sim.rand.IntN(8) {
	case 0:
		sim.processes[sim.rand.IntN(3)].restart()
	case 1:
		sim.processes[sim.rand.IntN(3)].pause(duration)
	case 2:
		sim.routers[sim.rand.IntN(3)].restart()
	case 3:
		sim.routers[sim.rand.IntN(3)].pause(duration)
	case 4:
		if s := sim.routers[sim.rand.IntN(3)].session; s != nil {
			s.drop()
		}
	case 5:
		sim.servers[sim.rand.IntN(4)].restart()
	case 6:
		srv := sim.servers[sim.rand.IntN(4)]
		sim.publishConfig(func(s *config.Set) {
			if sim.rand.IntN(4) == 0 {
				s.DataCentres["dc"].State = config.StateOut
			}
			s.BackendServers[srv.name] = &config.BackendServer{Name: srv.name, State: config.StateOut, MaxInFlight: 1}
		})
	case 7:
		sim.publishConfig(func(*config.Set) {})
		srv := sim.servers[sim.rand.IntN(4)]
		srv.state = grantpb.ServerState_SERVER_STATE_LEAVING
		sim.after(duration, func() { srv.state = grantpb.ServerState_SERVER_STATE_READY })
	}
}

// restart starts a new run of the process, without a core. Its voter does not vote
// until the votes of the earlier run must have expired.
func (p *process) restart() {
	p.incarnation++
	p.core, p.inbox, p.pausedUntil = nil, nil, 0
	for _, s := range p.sessions {
		s.drop()
	}
	p.sessions = map[SessionID]*simSession{}
	if p.incarnation > 1 {
		p.voter = lease.NewVoter(p.sim.now, p.sim.lease.Duration)
	}
	p.candidate = lease.NewCandidate(p.sim.lease, fmt.Sprint("p", p.index), fmt.Sprint(p.incarnation), "", p.sim.rand)
	p.candidate.SetVoters(p.sim.now, []string{"0", "1", "2"})
}

func (p *process) pause(d time.Duration) {
	p.pausedUntil = p.sim.now + d
	incarnation := p.incarnation
	p.sim.after(d, func() {
		if p.incarnation != incarnation {
			return
		}
		waiting := p.inbox
		p.inbox = nil
		for _, do := range waiting {
			do()
			p.checkAndDeliver()
		}
	})
}

// handle calls do at once, or once the process is no longer paused.
func (p *process) handle(do func()) {
	if p.sim.now < p.pausedUntil {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
}

func (p *process) tick() {
	if p.sim.now < p.pausedUntil {
		return
	}
	sim := p.sim
	for _, outgoing := range p.candidate.Tick(sim.now, uint64(sim.now/time.Millisecond)) {
		voter := sim.processes[int(outgoing.Voter[0]-'0')]
		incarnation := p.incarnation
		if sim.rand.IntN(20) == 0 {
			continue
		}
		sim.after(sim.messageDelay(), func() {
			voter.handle(func() {
				r := voter.voter.Vote(sim.now, outgoing.Request)
				sim.after(sim.messageDelay(), func() {
					p.handle(func() {
						if p.incarnation == incarnation {
							p.candidate.HandleResponse(sim.now, outgoing.Voter, outgoing.Round, r)
							p.updateCore()
						}
					})
				})
			})
		})
	}
	p.updateCore()
	if p.core != nil {
		p.core.Tick(sim.now)
	}
}

func (p *process) updateCore() {
	holds := p.candidate.Holds(p.sim.now)
	if p.core != nil && (!holds || p.core.Term() != p.candidate.Term()) {
		p.core.StepDown()
		p.checkAndDeliver()
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
		p.sim.terms++
		p.core = New(p.sim.options, "dc", p.sim.set, p.candidate.Term(), p.sim.now, p.candidate.Expiry(p.sim.now))
	}
	p.core.Renew(p.candidate.Expiry(p.sim.now))
}
