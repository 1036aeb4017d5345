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

// Names, times and message sizes of the policy permits.
const (
	permitsName   = "permits (ours)"
	region        = "measured"
	serviceName   = "chat"
	policyName    = "measured"
	tickInterval  = 100 * time.Millisecond
	waitBudget    = 10 * time.Second
	plannerBudget = 120 * time.Second
	runBudget     = 10 * time.Minute
	// configDelay is the time until a configuration change is in force.
	configDelay = 2 * time.Second
	// messageOverhead is the framing of a message in bytes.
	messageOverhead = 8
	pingBytes       = 24
	farFuture       = 1000 * time.Hour
)

// permits is the policy that runs the real cores of admission and routing: one
// grantor per data centre, from which routers request a permit for each request.
type permits struct {
	set         *config.Set
	cores       []*admission.Core
	dcIndex     map[string]int
	returnTimes routing.ReturnTimes
	pending     map[pendingKey]*permitRequest
	lastAskID   uint64
	started     bool
	sequence    uint64
}

type pendingKey struct {
	dc  int
	ask uint64
}

// permitRequest is the state of a request while it tries data centres in order.
type permitRequest struct {
	attempt  *attempt
	order    []string
	tried    int
	excluded []string
}

func newPermits() *permits {
	return &permits{pending: map[pendingKey]*permitRequest{}, dcIndex: map[string]int{}}
}

func (p *permits) Name() string { return permitsName }

// start creates the configuration, the grantors and the sessions.
func (p *permits) start(s *Sim) {
	p.started = true
	p.set = p.configSet(s)
	p.returnTimes.Observe(p.set, time.Unix(0, 0))
	for dc := range s.cfg.DataCentres {
		name := dcName(dc)
		p.dcIndex[name] = dc
		c := admission.New(admission.DefaultOptions(), name, p.set, 1, -farFuture, farFuture)
		for r := range s.cfg.Routers {
			c.OpenSession(s.now, admission.SessionID(r+1), &grantpb.Hello{Router: fmt.Sprint("router-", r), Incarnation: "1"})
		}
		p.cores = append(p.cores, c)
	}
	p.announce(s, farFuture)
	for _, c := range p.cores {
		c.Tick(s.now)
		c.Effects()
	}
	s.after(tickInterval, func() { p.tickCores(s) })
}

func dcName(dc int) string { return fmt.Sprint("dc-", dc) }

func (p *permits) configSet(s *Sim) *config.Set {
	set := &config.Set{
		DataCentres: map[string]*config.DataCentre{},
		Services:    map[string]*config.Service{serviceName: {Name: serviceName, Type: config.TypeModel, Policy: policyName}},
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

// Tick delivers the announcements of the servers to the grantors.
func (p *permits) Tick(s *Sim) {
	if !p.started {
		p.start(s)
		return
	}
	p.announce(s, 0)
	s.metrics.controlBytes += pingBytes * int64(s.cfg.Routers*s.cfg.DataCentres)
}

func (p *permits) announce(s *Sim, readyFor time.Duration) {
	p.sequence++
	for _, e := range s.engines {
		if !e.up {
			continue
		}
		state := grantpb.ServerState_SERVER_STATE_READY
		if e.cold(s.now) && !e.unannouncedCold {
			state = grantpb.ServerState_SERVER_STATE_COLD
		}
		a := &grantpb.Announcement{
			Name: e.name, Service: serviceName, DataCentre: dcName(e.dc), Address: "10.0.0.1:80",
			Incarnation: strconv.Itoa(e.incarnation), State: state, Capacity: uint32(e.slots), ColdCapacity: uint32(e.coldSlots),
			Running: uint32(e.reportedLoad(s.now - s.cfg.ReportLag)), MeasuredMsAgo: uint32(s.cfg.ReportLag.Milliseconds()), Sequence: p.sequence,
			ReadyMs: uint64(readyFor.Milliseconds()), CacheTokens: uint32(e.cache.used),
		}
		s.metrics.controlBytes += int64(proto.Size(a) + messageOverhead)
		p.cores[e.dc].Announce(s.now, a)
		p.deliver(s, e.dc)
	}
}

func (p *permits) tickCores(s *Sim) {
	for dc, c := range p.cores {
		c.Tick(s.now)
		p.deliver(s, dc)
	}
	s.after(tickInterval, func() { p.tickCores(s) })
}

// FleetChanged puts the state of the data centres in force at all grantors after
// configDelay.
func (p *permits) FleetChanged(s *Sim) {
	if !p.started {
		return
	}
	out := map[int]bool{}
	for dc := range s.evacuated {
		out[dc] = true
	}
	s.after(configDelay, func() {
		next := *p.set
		next.DataCentres = map[string]*config.DataCentre{}
		for dc := range s.cfg.DataCentres {
			d := &config.DataCentre{Name: dcName(dc), Region: region, State: config.StateActive, ReturnRamp: config.Duration(returnRamp)}
			if out[dc] {
				d.State = config.StateOut
			}
			next.DataCentres[d.Name] = d
		}
		p.set = &next
		p.returnTimes.Observe(p.set, time.Unix(0, 0).Add(s.now))
		for dc, c := range p.cores {
			c.Configure(s.now, p.set)
			p.deliver(s, dc)
		}
	})
}

// Submit requests a permit from the grantors of the chat's data centres in turn.
func (p *permits) Submit(s *Sim, a *attempt) { p.submit(s, a, nil) }

func (p *permits) submit(s *Sim, a *attempt, excluded []string) {
	if !p.started {
		p.start(s)
	}
	order := routing.DataCentres(p.set, region, serviceName, a.req.Chat, time.Unix(0, 0).Add(s.now), &p.returnTimes)
	p.requestPermit(s, &permitRequest{attempt: a, order: order, excluded: excluded})
}

func (p *permits) requestPermit(s *Sim, q *permitRequest) {
	if q.tried == len(q.order) {
		s.refuse(q.attempt)
		return
	}
	dc := p.dcIndex[q.order[q.tried]]
	q.tried++
	p.lastAskID++
	r := q.attempt.req
	msg := &grantpb.Ask{
		AskId: p.lastAskID, Service: serviceName, Workspace: fmt.Sprint("w-", r.Workspace), Chat: r.Chat,
		Priority: int32(r.Priority), WaitMs: uint32(budget(r).Milliseconds()), RunMs: uint32(runBudget.Milliseconds()),
		PromptTokens: uint32(r.PromptTokens()), Excluded: q.excluded,
	}
	p.pending[pendingKey{dc, msg.AskId}] = q
	p.send(s, q.attempt.router, dc, msg, func(c *admission.Core, id admission.SessionID) { c.Ask(s.now, id, msg) })
}

func budget(r *Request) time.Duration {
	if r.Priority == plannerPriority {
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

// send delivers a router's message to a grantor after the network delay.
func (p *permits) send(s *Sim, router, dc int, msg proto.Message, step func(*admission.Core, admission.SessionID)) {
	s.metrics.controlBytes += int64(proto.Size(msg) + messageOverhead)
	s.after(s.hop(router, dc), func() {
		step(p.cores[dc], admission.SessionID(router+1))
		p.deliver(s, dc)
	})
}

// deliver sends the grantor's responses to the routers.
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
			s.metrics.controlBytes += int64(permitSize(e))
			s.after(hop, func() { p.startAttempt(s, q, dc, e) })
		case admission.Refused:
			s.metrics.controlBytes += int64(len(e.Message)+len(e.ErrorKind)) + messageOverhead + pingBytes
			s.after(hop, func() { p.handleRefusal(s, q, e) })
		}
	}
}

func permitSize(e admission.Effect) int {
	return messageOverhead + proto.Size(&grantpb.Permit{
		AskId: e.AskID, PermitId: e.Permit, Term: 1, Server: e.Server, Address: e.Address,
		ServerIncarnation: e.Incarnation, StartWithinMs: uint32(e.StartWithin.Milliseconds()), QueuedMs: uint32(e.Queued.Milliseconds()),
	})
}

// handleRefusal tries the next data centre of the chat. At its workspace limit, the
// request is refused.
func (p *permits) handleRefusal(s *Sim, q *permitRequest, e admission.Effect) {
	if e.ErrorKind == errkind.WorkspaceLimit {
		s.refuse(q.attempt)
		return
	}
	p.requestPermit(s, q)
}

// startAttempt starts the granted attempt and reports its result to the grantor.
func (p *permits) startAttempt(s *Sim, q *permitRequest, dc int, g admission.Effect) {
	a := q.attempt
	index, err := strconv.Atoi(g.Server[len("runner-"):])
	if err != nil {
		panic("measure: server name without an index: " + g.Server)
	}
	e := s.engines[index]
	began := s.now
	started := &grantpb.Started{PermitId: g.Permit}
	p.send(s, a.router, dc, started, func(c *admission.Core, id admission.SessionID) { c.Started(s.now, id, g.Permit) })
	s.start(a, e, func(now, first time.Duration, ok bool) {
		res := &grantpb.Result{
			PermitId: g.Permit, Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED,
			FirstByteMs: uint32(max(0, first-began).Milliseconds()), DurationMs: uint32((now - began).Milliseconds()),
			OutputTokens: uint32(a.req.OutputTokens),
		}
		if !ok {
			res.Outcome = grantpb.Outcome_OUTCOME_UNKNOWN
			s.metrics.lost++
		}
		p.send(s, a.router, dc, res, func(c *admission.Core, id admission.SessionID) { c.Result(s.now, id, res) })
		if ok {
			return
		}
		next := a.retry()
		if next.tries >= maxTries {
			s.refuse(next)
			return
		}
		s.metrics.retries++
		p.submit(s, next, append(q.excluded, g.Server))
	})
}
