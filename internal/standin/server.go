package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Server is one stand-in: an engine with its runs, streams and ledger. It is
// safe for concurrent use.
type Server struct {
	conf        ServerConfig
	ledger      *Ledger
	injector    *Injector
	incarnation string

	mu       sync.Mutex
	engine   *Engine
	state    State // as last recorded
	leaving  bool
	starts   map[string]chan Plan
	streams  map[string]*kept
	attempts map[string]*attempt
	fences   map[string]uint64
	runs     uint64
	sequence uint64
	previous *Request
	active   sync.WaitGroup
}

// kept is a buffer with the time at which it may be forgotten.
type kept struct {
	buf     *buffer
	expires time.Time
}

// attempt is what the server can say of an attempt.
type attempt struct {
	state   AttemptState
	expires time.Time
}

// AttemptState is the answer to a question about an attempt.
type AttemptState string

// The states of attempts.
const (
	AttemptUnknown   AttemptState = "unknown-attempt"
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptFailed    AttemptState = "failed"
)

// NewServer returns a server that starts cold now.
func NewServer(conf ServerConfig, ledger *Ledger) *Server {
	s := &Server{
		conf:        conf,
		ledger:      ledger,
		injector:    NewInjector(conf.Profile.Faults, conf.Seed),
		incarnation: uuid.NewString(),
		engine:      NewEngine(conf.Profile.engine(conf.Seed), time.Now()),
		starts:      map[string]chan Plan{},
		streams:     map[string]*kept{},
		attempts:    map[string]*attempt{},
		fences:      map[string]uint64{},
	}
	s.mu.Lock()
	s.noteState(time.Now())
	s.mu.Unlock()
	return s
}

// Leave makes the server announce that it is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.noteState(time.Now())
}

// TurnCold makes the engine cold again without a new incarnation.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.TurnCold(time.Now())
	s.noteState(time.Now())
}

// Wait returns when no run is active.
func (s *Server) Wait() { s.active.Wait() }

// noteState records a change of state; the lock must be held.
func (s *Server) noteState(now time.Time) State {
	st := s.engine.State(now)
	if s.leaving {
		st = Leaving
	}
	if st != s.state {
		s.state = st
		s.add(Entry{Event: EventState, State: st})
	}
	return st
}

// add fills in what every entry carries; the server's constants are safe to read.
func (s *Server) add(e Entry) {
	e.At = time.Now().UnixMicro()
	e.Server = s.conf.Name
	e.Service = s.conf.Group.Service
	e.DataCentre = s.conf.Group.DataCentre
	e.Incarnation = s.incarnation
	e.Capacity = s.conf.Profile.Capacity
	e.ColdCapacity = s.conf.Profile.ColdCapacity
	s.ledger.Add(e)
}

// call is one request as it arrived.
type call struct {
	Request
	id       string // X-Request-Id
	attempt  string
	key      string
	stream   bool
	tokens   int
	blocks   []uint64
	priority int
	deadline time.Duration
	answer   [][]byte
	fault    FaultKind
}

// begin starts a run and returns the buffer that its answer grows in.
func (s *Server) begin(c call) *buffer {
	ctx, cancel := context.WithCancel(context.Background())
	if c.deadline > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), c.deadline)
	}
	buf := newBuffer(cancel)
	now := time.Now()

	s.mu.Lock()
	s.forget(now)
	s.runs++
	run := s.runs
	id := strconv.FormatUint(run, 10)
	s.noteState(now)
	s.add(Entry{
		Event: EventBegin, Run: run, State: s.state, Attempt: c.attempt, Request: c.id, Key: c.key,
		Workspace: c.Workspace, Method: c.Method, Target: c.Target, Hash: c.Key(),
	})
	start := make(chan Plan, 1)
	if p, ok := s.engine.Begin(now, Run{ID: id, Blocks: c.blocks, Priority: c.priority}); ok {
		start <- p
	} else {
		s.starts[id] = start
	}
	at := &attempt{state: AttemptRunning}
	s.attempts[c.attempt] = at
	k := &kept{buf: buf}
	if c.stream {
		s.streams[c.id] = k
	}
	s.active.Add(1)
	s.mu.Unlock()

	go func() {
		defer s.active.Done()
		defer cancel()
		outcome, plan := s.generate(ctx, c, buf, start)
		s.end(c, run, outcome, plan, at, k)
		buf.finish(outcome == RunCompleted)
	}()
	return buf
}

// generate appends the answer at the pace of the plan.
func (s *Server) generate(ctx context.Context, c call, buf *buffer, start <-chan Plan) (Outcome, Plan) {
	var plan Plan
	select {
	case plan = <-start:
	case <-ctx.Done():
		return RunCancelled, plan
	}
	due := plan.FirstToken
	if !c.stream {
		due = due.Add(time.Duration(max(0, c.tokens-1)) * plan.Interval)
	}
	for i, chunk := range c.answer {
		if string(chunk) != DoneLine {
			if i > 0 {
				due = due.Add(plan.Interval)
			}
			if !sleepUntil(ctx, due) {
				return RunCancelled, plan
			}
		}
		if s.fallen() {
			return RunFailed, plan
		}
		buf.append(chunk)
	}
	return RunCompleted, plan
}

// end frees the slot, records the outcome and starts what waited.
func (s *Server) end(c call, run uint64, o Outcome, p Plan, at *attempt, k *kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	id := strconv.FormatUint(run, 10)
	delete(s.starts, id)
	s.add(Entry{
		Event: EventEnd, Run: run, Attempt: c.attempt, Request: c.id, Key: c.key, Workspace: c.Workspace,
		Hash: c.Key(), Outcome: o, CachedTokens: p.CachedTokens, PromptTokens: p.PromptTokens,
	})
	for _, next := range s.engine.End(now, id) {
		if ch, ok := s.starts[next.ID]; ok {
			ch <- next
			delete(s.starts, next.ID)
		}
	}
	at.state = AttemptFailed
	if o == RunCompleted {
		at.state = AttemptCompleted
	}
	at.expires = now.Add(s.conf.Profile.Retention)
	k.expires = at.expires
}

// forget drops what is past its retention; the lock must be held.
func (s *Server) forget(now time.Time) {
	for id, a := range s.attempts {
		if !a.expires.IsZero() && now.After(a.expires) {
			delete(s.attempts, id)
		}
	}
	for id, k := range s.streams {
		if !k.expires.IsZero() && now.After(k.expires) {
			delete(s.streams, id)
		}
	}
}

func (s *Server) fallen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Fallen(time.Now())
}

// swapPrevious keeps r and returns the request before it.
func (s *Server) swapPrevious(r Request) Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.previous
	s.previous = &r
	if prev == nil {
		return Request{Workspace: "another", Method: r.Method, Target: r.Target, Body: r.Body}
	}
	return *prev
}

// staleFence reports whether the fence is older than one seen for the key.
func (s *Server) staleFence(key string, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[key] {
		return true
	}
	s.fences[key] = fence
	return false
}

// sleepUntil returns false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
