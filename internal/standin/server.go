package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Server is one simulated backend server: an engine with its runs, streams and
// ledger. It is safe for concurrent use.
type Server struct {
	conf        ServerConfig
	ledger      *Ledger
	injector    *FaultInjector
	incarnation string

	mu            sync.Mutex
	engine        *Engine
	state         State // last recorded in the ledger
	leaving       bool
	pendingStarts map[string]chan Plan
	streams       map[string]*retainedStream
	attempts      map[string]*attemptRecord
	fences        map[string]uint64
	runCount      uint64
	sequence      uint64
	previous      *Request
	activeRuns    sync.WaitGroup
}

// retainedStream is a response buffer with the time after which it may be evicted.
type retainedStream struct {
	buf     *responseBuffer
	expires time.Time
}

// attemptRecord is the state of an attempt with the time after which it may be
// evicted.
type attemptRecord struct {
	state   AttemptState
	expires time.Time
}

// AttemptState is the state of an attempt as reported to routers.
type AttemptState string

// States of attempts.
const (
	AttemptUnknown   AttemptState = "unknown-attempt"
	AttemptRunning   AttemptState = "running"
	AttemptCompleted AttemptState = "completed"
	AttemptFailed    AttemptState = "failed"
)

// NewServer returns a server whose cold period starts now.
func NewServer(conf ServerConfig, ledger *Ledger) *Server {
	s := &Server{
		conf:          conf,
		ledger:        ledger,
		injector:      NewFaultInjector(conf.Profile.Faults, conf.Seed),
		incarnation:   uuid.NewString(),
		engine:        NewEngine(conf.Profile.engineConfig(conf.Seed), time.Now()),
		pendingStarts: map[string]chan Plan{},
		streams:       map[string]*retainedStream{},
		attempts:      map[string]*attemptRecord{},
		fences:        map[string]uint64{},
	}
	s.mu.Lock()
	s.recordState(time.Now())
	s.mu.Unlock()
	return s
}

// Leave sets the announced state to Leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.recordState(time.Now())
}

// TurnCold restarts the engine's cold period and clears its cache, without a new
// incarnation.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.TurnCold(time.Now())
	s.recordState(time.Now())
}

// Wait blocks until no run is active.
func (s *Server) Wait() { s.activeRuns.Wait() }

// recordState adds a ledger entry if the state has changed, and returns the state.
// The lock must be held.
func (s *Server) recordState(now time.Time) State {
	st := s.engine.State(now)
	if s.leaving {
		st = StateLeaving
	}
	if st != s.state {
		s.state = st
		s.addEntry(Entry{Event: EventState, State: st})
	}
	return st
}

// addEntry sets the fields that all entries have in common and adds the entry to
// the ledger. It reads only fields that never change, so it needs no lock.
func (s *Server) addEntry(e Entry) {
	e.At = time.Now().UnixMicro()
	e.Server = s.conf.Name
	e.Service = s.conf.Group.Service
	e.DataCentre = s.conf.Group.DataCentre
	e.Incarnation = s.incarnation
	e.Capacity = s.conf.Profile.Capacity
	e.ColdCapacity = s.conf.Profile.ColdCapacity
	s.ledger.Add(e)
}

// call is a request that the server received.
type call struct {
	Request
	requestID string // X-Request-Id
	attempt   string
	key       string
	stream    bool
	tokens    int
	blocks    []uint64
	priority  int
	deadline  time.Duration
	response  [][]byte
	fault     FaultKind
}

// beginRun starts a run and returns the buffer to which its response is appended.
func (s *Server) beginRun(c call) *responseBuffer {
	ctx, cancel := context.WithCancel(context.Background())
	if c.deadline > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), c.deadline)
	}
	buf := newResponseBuffer(cancel)
	now := time.Now()

	s.mu.Lock()
	s.evictExpired(now)
	s.runCount++
	run := s.runCount
	id := strconv.FormatUint(run, 10)
	s.recordState(now)
	s.addEntry(Entry{
		Event: EventBegin, Run: run, State: s.state, Attempt: c.attempt, Request: c.requestID, Key: c.key,
		Workspace: c.Workspace, Method: c.Method, Target: c.Target, Hash: c.Hash(),
	})
	start := make(chan Plan, 1)
	if p, ok := s.engine.Begin(now, Run{ID: id, Blocks: c.blocks, Priority: c.priority}); ok {
		start <- p
	} else {
		s.pendingStarts[id] = start
	}
	record := &attemptRecord{state: AttemptRunning}
	s.attempts[c.attempt] = record
	stream := &retainedStream{buf: buf}
	if c.stream {
		s.streams[c.requestID] = stream
	}
	s.activeRuns.Add(1)
	s.mu.Unlock()

	go func() {
		defer s.activeRuns.Done()
		defer cancel()
		outcome, plan := s.produceResponse(ctx, c, buf, start)
		s.endRun(c, run, outcome, plan, record, stream)
		buf.finish(outcome == OutcomeCompleted)
	}()
	return buf
}

// produceResponse appends the chunks of the response at the times that the plan
// sets.
func (s *Server) produceResponse(ctx context.Context, c call, buf *responseBuffer, start <-chan Plan) (Outcome, Plan) {
	var plan Plan
	select {
	case plan = <-start:
	case <-ctx.Done():
		return OutcomeCancelled, plan
	}
	due := plan.FirstToken
	if !c.stream {
		due = due.Add(time.Duration(max(0, c.tokens-1)) * plan.Interval)
	}
	for i, chunk := range c.response {
		if string(chunk) != DoneLine {
			if i > 0 {
				due = due.Add(plan.Interval)
			}
			if !sleepUntil(ctx, due) {
				return OutcomeCancelled, plan
			}
		}
		if s.overloaded() {
			return OutcomeFailed, plan
		}
		buf.append(chunk)
	}
	return OutcomeCompleted, plan
}

// endRun frees the slot of a run, records its outcome and starts the queued runs
// that got a slot.
func (s *Server) endRun(c call, run uint64, o Outcome, p Plan, record *attemptRecord, stream *retainedStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	id := strconv.FormatUint(run, 10)
	delete(s.pendingStarts, id)
	s.addEntry(Entry{
		Event: EventEnd, Run: run, Attempt: c.attempt, Request: c.requestID, Key: c.key, Workspace: c.Workspace,
		Hash: c.Hash(), Outcome: o, CachedTokens: p.CachedTokens, PromptTokens: p.PromptTokens,
	})
	for _, next := range s.engine.End(now, id) {
		if ch, ok := s.pendingStarts[next.ID]; ok {
			ch <- next
			delete(s.pendingStarts, next.ID)
		}
	}
	record.state = AttemptFailed
	if o == OutcomeCompleted {
		record.state = AttemptCompleted
	}
	record.expires = now.Add(s.conf.Profile.Retention)
	stream.expires = record.expires
}

// evictExpired removes attempts and streams whose retention has expired. The lock
// must be held.
func (s *Server) evictExpired(now time.Time) {
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

func (s *Server) overloaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Overloaded(time.Now())
}

// swapPreviousRequest stores r as the previous request and returns the one that it
// replaces. The first call returns r with another workspace.
func (s *Server) swapPreviousRequest(r Request) Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.previous
	s.previous = &r
	if prev == nil {
		return Request{Workspace: "another", Method: r.Method, Target: r.Target, Body: r.Body}
	}
	return *prev
}

// isStaleFence reports whether the fencing number is lower than one seen for the key.
// Otherwise it stores the number.
func (s *Server) isStaleFence(key string, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[key] {
		return true
	}
	s.fences[key] = fence
	return false
}

// sleepUntil sleeps until t. It returns false if ctx ended first.
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
