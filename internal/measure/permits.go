package measure

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/admission"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Names and times of the policy that drives the grantors.
const (
	permitsName   = "permits (ours)"
	region        = "measured"
	serviceName   = "chat"
	policyName    = "measured"
	tickEvery     = 100 * time.Millisecond
	waitBudget    = 10 * time.Second
	plannerBudget = 120 * time.Second
	runBudget     = 10 * time.Minute
	// forceDelay is how long a change of configuration takes to be in force.
	forceDelay = 2 * time.Second
	// messageOverhead is what framing adds to a message, in bytes.
	messageOverhead = 8
	pingBytes       = 24
	farFuture       = 1000 * time.Hour
)

// permits is the policy that drives the real cores of admission and routing:
// one grantor per data centre, and routers that ask it for each request.
type permits struct {
	set     *config.Set
	cores   []*admission.Core
	dcIndex map[string]int
	returns routing.Returns
	pending map[pendingKey]*ask
	nextAsk uint64
	booted  bool
	seq     uint64
}

type pendingKey struct {
	dc  int
	ask uint64
}

// ask is a request on its way through the data centres of its order.
type ask struct {
	attempt  *attempt
	order    []string
	tried    int
	excluded []string
}

func newPermits() *permits {
	return &permits{pending: map[pendingKey]*ask{}, dcIndex: map[string]int{}}
}

func (p *permits) Name() string { return permitsName }

// boot makes the declarations, the grantors and the sessions.
func (p *permits) boot(s *Sim) {
	p.booted = true
	p.set = p.declare(s)
	p.returns.Observe(p.set, time.Unix(0, 0))
	for dc := range s.cfg.DataCentres {
		name := dcName(dc)
		p.dcIndex[name] = dc
		c := admission.New(admission.DefaultOptions(), name, p.set, 1, -farFuture, farFuture)
		for r := range s.cfg.Routers {
			c.Open(s.now, admission.SessionID(r+1), &grantpb.Hello{Router: fmt.Sprint("router-", r), Incarnation: "1"})
		}
		p.cores = append(p.cores, c)
	}
	p.announce(s, farFuture)
	for _, c := range p.cores {
		c.Tick(s.now)
		c.Effects()
	}
	s.after(tickEvery, func() { p.tickCores(s) })
}

func dcName(dc int) string { return fmt.Sprint("dc-", dc) }

func (p *permits) declare(s *Sim) *config.Set {
	set := &config.Set{
		DataCentres: map[string]*config.DataCentre{},
		Services:    map[string]*config.Service{serviceName: {Name: serviceName, Type: config.Model, Policy: policyName}},
		Workspaces:  map[string]*config.Workspace{},
		Policies: map[string]*config.Policy{policyName: {
			Name: policyName, MaxLoadFactor: maxLoadFactor, LoadFloor: loadFloor, ColdRamp: config.Duration(coldRamp),
		}},
	}
	for dc := range s.cfg.DataCentres {
		set.DataCentres[dcName(dc)] = &config.DataCentre{Name: dcName(dc), Region: region}
	}
	return set
}

// Tick passes the servers' announcements on.
func (p *permits) Tick(s *Sim) {
	if !p.booted {
		p.boot(s)
		return
	}
	p.announce(s, 0)
	s.m.controlBytes += pingBytes * int64(s.cfg.Routers*s.cfg.DataCentres)
}

func (p *permits) announce(s *Sim, readyFor time.Duration) {
	p.seq++
	for _, e := range s.engines {
		if !e.up {
			continue
		}
		state := grantpb.ServerState_SERVER_STATE_READY
		if e.cold(s.now) && !e.silentCold {
			state = grantpb.ServerState_SERVER_STATE_COLD
		}
		a := &grantpb.Announcement{
			Name: e.name, Service: serviceName, DataCentre: dcName(e.dc), Address: "10.0.0.1:80",
			Incarnation: strconv.Itoa(e.incarnation), State: state, Capacity: uint32(e.slots), ColdCapacity: uint32(e.coldSlots),
			Running: uint32(e.reported(s.now - s.cfg.ReportLag)), MeasuredMsAgo: uint32(s.cfg.ReportLag.Milliseconds()), Sequence: p.seq,
			ReadyMs: uint64(readyFor.Milliseconds()), CacheTokens: uint32(e.cache.used),
		}
		s.m.controlBytes += int64(proto.Size(a) + messageOverhead)
		p.cores[e.dc].Announce(s.now, a)
		p.deliver(s, e.dc)
	}
}

func (p *permits) tickCores(s *Sim) {
	for dc, c := range p.cores {
		c.Tick(s.now)
		p.deliver(s, dc)
	}
	s.after(tickEvery, func() { p.tickCores(s) })
}

// Changed puts the declared state of the data centres in force everywhere, a
// little later.
func (p *permits) Changed(s *Sim) {
	if !p.booted {
		return
	}
	out := map[int]bool{}
	for dc := range s.outDC {
		out[dc] = true
	}
	s.after(forceDelay, func() {
		next := *p.set
		next.DataCentres = map[string]*config.DataCentre{}
		for dc := range s.cfg.DataCentres {
			d := &config.DataCentre{Name: dcName(dc), Region: region, State: config.Active, ReturnRamp: config.Duration(returnRamp)}
			if out[dc] {
				d.State = config.Out
			}
			next.DataCentres[d.Name] = d
		}
		p.set = &next
		p.returns.Observe(p.set, time.Unix(0, 0).Add(s.now))
		for dc, c := range p.cores {
			c.Configure(s.now, p.set)
			p.deliver(s, dc)
		}
	})
}

// Submit asks the grantors of the chat's data centres in turn.
func (p *permits) Submit(s *Sim, a *attempt) { p.submit(s, a, nil) }

func (p *permits) submit(s *Sim, a *attempt, excluded []string) {
	if !p.booted {
		p.boot(s)
	}
	order := routing.DataCentres(p.set, region, serviceName, a.req.Chat, time.Unix(0, 0).Add(s.now), &p.returns)
	p.ask(s, &ask{attempt: a, order: order, excluded: excluded})
}

func (p *permits) ask(s *Sim, q *ask) {
	if q.tried == len(q.order) {
		s.refuse(q.attempt)
		return
	}
	dc := p.dcIndex[q.order[q.tried]]
	q.tried++
	p.nextAsk++
	r := q.attempt.req
	msg := &grantpb.Ask{
		AskId: p.nextAsk, Service: serviceName, Workspace: fmt.Sprint("w-", r.Workspace), Chat: r.Chat,
		Priority: int32(r.Priority), WaitMs: uint32(budget(r).Milliseconds()), RunMs: uint32(runBudget.Milliseconds()),
		PromptTokens: uint32(r.Prompt()), Excluded: q.excluded,
	}
	p.pending[pendingKey{dc, msg.AskId}] = q
	p.send(s, q.attempt.router, dc, msg, func(c *admission.Core, id admission.SessionID) { c.Ask(s.now, id, msg) })
}

func budget(r *Request) time.Duration {
	if r.Priority == plannerPr {
		return plannerBudget
	}
	return waitBudget
}

func (s *Sim) hop(router, dc int) time.Duration {
	if router%s.cfg.DataCentres == dc {
		return localHop
	}
	return remoteHop
}

// send carries a router's message to a grantor.
func (p *permits) send(s *Sim, router, dc int, msg proto.Message, step func(*admission.Core, admission.SessionID)) {
	s.m.controlBytes += int64(proto.Size(msg) + messageOverhead)
	s.after(s.hop(router, dc), func() {
		step(p.cores[dc], admission.SessionID(router+1))
		p.deliver(s, dc)
	})
}

// deliver carries a grantor's answers to the routers.
func (p *permits) deliver(s *Sim, dc int) {
	for _, e := range p.cores[dc].Effects() {
		key := pendingKey{dc, e.AskID}
		q := p.pending[key]
		if q == nil {
			continue
		}
		delete(p.pending, key)
		hop := s.hop(q.attempt.router, dc)
		switch e.Kind {
		case admission.Granted:
			s.m.controlBytes += int64(permitSize(e))
			s.after(hop, func() { p.begin(s, q, dc, e) })
		case admission.Refused:
			s.m.controlBytes += int64(len(e.Message)+len(e.ErrorKind)) + messageOverhead + pingBytes
			s.after(hop, func() { p.refused(s, q, e) })
		}
	}
}

func permitSize(e admission.Effect) int {
	return messageOverhead + proto.Size(&grantpb.Permit{
		AskId: e.AskID, PermitId: e.Permit, Term: 1, Server: e.Server, Address: e.Address,
		ServerIncarnation: e.Incarnation, StartWithinMs: uint32(e.StartWithin.Milliseconds()), QueuedMs: uint32(e.Queued.Milliseconds()),
	})
}

// refused tries the chat's next data centre, unless the wait was used up.
func (p *permits) refused(s *Sim, q *ask, e admission.Effect) {
	if e.ErrorKind == errkind.WorkspaceLimit {
		s.refuse(q.attempt)
		return
	}
	p.ask(s, q)
}

// begin starts the granted attempt and reports what becomes of it.
func (p *permits) begin(s *Sim, q *ask, dc int, g admission.Effect) {
	a := q.attempt
	index, err := strconv.Atoi(g.Server[len("runner-"):])
	if err != nil {
		panic("measure: server named " + g.Server)
	}
	e := s.engines[index]
	began := s.now
	started := &grantpb.Started{PermitId: g.Permit}
	p.send(s, a.router, dc, started, func(c *admission.Core, id admission.SessionID) { c.Started(s.now, id, g.Permit) })
	s.start(a, e, func(now, first time.Duration, ok bool) {
		res := &grantpb.Result{
			PermitId: g.Permit, Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED,
			FirstByteMs: uint32(max(0, first-began).Milliseconds()), DurationMs: uint32((now - began).Milliseconds()),
			OutputTokens: uint32(a.req.Output),
		}
		if !ok {
			res.Outcome = grantpb.Outcome_OUTCOME_UNKNOWN
			s.m.lost++
		}
		p.send(s, a.router, dc, res, func(c *admission.Core, id admission.SessionID) { c.Result(s.now, id, res) })
		if ok {
			return
		}
		next := a.again()
		if next.tries >= maxTries {
			s.refuse(next)
			return
		}
		s.m.retries++
		p.submit(s, next, append(q.excluded, g.Server))
	})
}
