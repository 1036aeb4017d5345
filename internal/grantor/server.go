package grantor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/admission"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/lease"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// tickInterval is how often the control goroutine renews the lease and handles
	// time-outs.
	tickInterval = 10 * time.Millisecond
	// eventQueueSize bounds the events queued for the control goroutine.
	eventQueueSize = 8192
	// maxEventBatch bounds the queued events handled in a row, so that ticks are not
	// delayed under load.
	maxEventBatch = 256
	// releaseTimeout bounds releasing the lease at the voters on a graceful shutdown,
	// and queueing the end of a session for the control goroutine.
	releaseTimeout = 500 * time.Millisecond
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Name is the process's name in the lists of lease voters; Incarnation
	// identifies this run of the process.
	Name        string
	Incarnation string
	// DataCentre is the process's own data centre. The process is a candidate for
	// its lease if the configuration declares it as one.
	DataCentre string
	// Address is the address at which routers reach this Server.
	Address string
	// Config returns the configuration in force, or nil if there is none yet.
	Config    func() *config.Set
	Dialer    *rpc.Dialer
	Log       hclog.Logger
	Lease     lease.Options
	Admission admission.Options
}

// Server answers vote requests and, while it holds the lease of its data centre,
// grants permits. Register it for both drpc services, Grantor and LeaseVoter. It
// handles sessions only while Run is running.
type Server struct {
	options       ServerOptions
	start         time.Time
	events        chan event
	voters        localVoters
	holdsLease    atomic.Bool
	lastSessionID atomic.Uint64

	// Owned by the control goroutine, which executes Run.
	candidate        *lease.Candidate
	core             *admission.Core
	sessions         map[admission.SessionID]*serverSession
	set              *config.Set
	nextPing         admission.Instant
	pingSequence     uint64
	overridesChanged bool
	suspension       suspensionDetector

	// voterRequests tracks the vote requests in flight.
	voterRequests sync.WaitGroup
}

// NewServer returns a server whose clock starts now: its votes are withheld for
// one maximum lease from here on.
func NewServer(o ServerOptions) *Server {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Lease == (lease.Options{}) {
		o.Lease = lease.DefaultOptions()
	}
	if o.Admission == (admission.Options{}) {
		o.Admission = admission.DefaultOptions()
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Server{
		options: o, start: time.Now(),
		events:    make(chan event, eventQueueSize),
		voters:    localVoters{byDataCentre: map[string]*lease.Voter{}, maxLease: o.Lease.Duration},
		candidate: lease.NewCandidate(o.Lease, o.Name, o.Incarnation, o.Address, rng),
		sessions:  map[admission.SessionID]*serverSession{},
	}
}

// now returns the monotonic time since NewServer.
func (s *Server) now() admission.Instant { return time.Since(s.start) }

// HoldsLease reports whether this process held the lease when the control
// goroutine last checked.
func (s *Server) HoldsLease() bool { return s.holdsLease.Load() }

// event is a unit of work for the control goroutine. Exactly one group of fields is set.
type event struct {
	// session and message: a message received from a router.
	session admission.SessionID
	message *grantpb.RouterMessage
	// open: a new session; session and closed: the end of a session.
	open   *serverSession
	closed bool
	// vote: a voter's response.
	vote *voteResponse
	// run: a function to call; done is closed after it returns.
	run  func()
	done chan struct{}
}

// Run is the control goroutine: it handles events and ticks until ctx ends. Then
// it ends the sessions and releases the lease. End it before the listener.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shutDown()
			return nil
		case <-ticker.C:
			s.tick()
		case e := <-s.events:
			s.handle(e)
			s.handleQueuedEvents()
		}
		s.sendEffects()
	}
}

// handleQueuedEvents handles up to maxEventBatch queued events without blocking.
func (s *Server) handleQueuedEvents() {
	for range maxEventBatch {
		select {
		case e := <-s.events:
			s.handle(e)
		default:
			return
		}
	}
}

func (s *Server) handle(e event) {
	s.checkSuspension()
	switch {
	case e.open != nil:
		s.openSession(e.open)
	case e.closed:
		s.closeSession(e.session)
	case e.vote != nil:
		s.handleVoteResponse(e.vote)
	case e.run != nil:
		e.run()
		close(e.done)
	default:
		s.handleMessage(e.session, e.message)
	}
}

// handleMessage passes a router's message to the core. The clock is read here
// rather than on receipt, so that a lease that expired during a pause of the
// process counts as expired.
func (s *Server) handleMessage(id admission.SessionID, m *grantpb.RouterMessage) {
	session := s.sessions[id]
	if s.core == nil || session == nil {
		return
	}
	now := s.now()
	session.lastSeen = now
	switch k := m.Kind.(type) {
	case *grantpb.RouterMessage_Ask:
		s.core.Ask(now, id, k.Ask)
	case *grantpb.RouterMessage_Result:
		s.core.Result(now, id, k.Result)
	case *grantpb.RouterMessage_Started:
		s.core.Started(now, id, k.Started.PermitId)
	case *grantpb.RouterMessage_Cancel:
		s.core.Cancel(id, k.Cancel.AskId)
	case *grantpb.RouterMessage_Announcement:
		s.core.Announce(now, k.Announcement)
	case *grantpb.RouterMessage_Ping:
		s.core.KeepAlive(now, id)
	}
}

// tick applies a new configuration, renews the lease and handles time-outs.
func (s *Server) tick() {
	s.checkSuspension()
	now := s.now()
	s.applyConfig(now)
	for _, outgoing := range s.candidate.Tick(now, uint64(time.Now().UnixMilli())) {
		s.requestVote(outgoing)
	}
	s.updateTerm(s.now())
	if s.core != nil {
		s.core.Tick(s.now())
		s.pingRouters(s.now())
	}
}

// applyConfig applies the configuration in force if it has changed.
func (s *Server) applyConfig(now admission.Instant) {
	set := s.options.Config()
	if set == s.set || set == nil {
		return
	}
	s.set = set
	s.candidate.SetVoters(now, s.voterNames(set))
	if s.core != nil {
		s.core.Configure(now, set)
	}
}

// voterNames returns the data centre's voters if this process is a candidate, or nil.
func (s *Server) voterNames(set *config.Set) []string {
	dc := set.DataCentres[s.options.DataCentre]
	if dc == nil {
		return nil
	}
	var names []string
	candidate := false
	for _, v := range dc.LeaseVoters {
		names = append(names, v.Name)
		candidate = candidate || (v.Name == s.options.Name && v.Candidate)
	}
	if !candidate {
		return nil
	}
	return names
}

// updateTerm starts an admission.Core when this process acquires the lease,
// extends it when the lease is renewed, and ends it when the lease is lost.
func (s *Server) updateTerm(now admission.Instant) {
	holds := s.candidate.Holds(now)
	if s.core != nil && (!holds || s.core.Term() != s.candidate.Term()) {
		s.stepDown("the lease was lost")
	}
	if !holds {
		return
	}
	if s.core == nil {
		s.core = admission.New(s.options.Admission, s.options.DataCentre, s.set, s.candidate.Term(), now, s.candidate.Expiry(now))
		s.holdsLease.Store(true)
		s.options.Log.Info("acquired the grantor lease", "data-centre", s.options.DataCentre, "term", s.candidate.Term())
	}
	s.core.Renew(s.candidate.Expiry(now))
}

// stepDown ends the term: it refuses the queued permit requests and ends all
// sessions, naming the new lease holder if it is known.
func (s *Server) stepDown(reason string) {
	s.options.Log.Warn("stepping down as grantor", "data-centre", s.options.DataCentre, "term", s.core.Term(), "reason", reason)
	s.core.StepDown()
	s.sendEffects() // queue the refusals before the sessions end
	s.core = nil
	s.holdsLease.Store(false)
	_, address := s.candidate.Holder()
	if address == s.options.Address {
		address = ""
	}
	for id, session := range s.sessions {
		session.send(&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_StepDown{StepDown: &grantpb.StepDown{Holder: address}}})
		session.end()
		delete(s.sessions, id)
	}
}

// shutDown steps down and releases the lease on a graceful shutdown.
func (s *Server) shutDown() {
	if s.core != nil {
		s.stepDown("shutting down")
	}
	if s.candidate.Holds(s.now()) {
		s.releaseLease()
	}
	s.voterRequests.Wait()
}

// runInControlGoroutine runs f in the control goroutine and waits for it to return.
func (s *Server) runInControlGoroutine(ctx context.Context, f func()) error {
	e := event{run: f, done: make(chan struct{})}
	select {
	case s.events <- e:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "grantor: call ended before the control goroutine handled it")
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "grantor: call ended before the control goroutine handled it")
	}
}

// errNotHolder is returned by calls that only the lease holder can serve.
func (s *Server) errNotHolder() error {
	return errors.WithStack(errkind.New(errkind.NoGrantor, "%s does not hold the grantor lease of data centre %s", s.options.Name, s.options.DataCentre))
}
