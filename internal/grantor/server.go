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
	// tickEvery is the time between looks at what depends on time alone.
	tickEvery = 10 * time.Millisecond
	// eventLimit bounds the events that wait for the control goroutine.
	eventLimit = 8192
	// batchLimit bounds the events between two looks at the clock's duties.
	batchLimit = 256
	// handOverTimeout bounds the telling of voters at a graceful shutdown.
	handOverTimeout = 500 * time.Millisecond
)

// ServerOptions are what a Server needs.
type ServerOptions struct {
	// Name is the process's name in the lists of lease voters; Incarnation
	// names this run of it.
	Name        string
	Incarnation string
	// DataCentre is the process's own; it is a candidate there if declared so.
	DataCentre string
	// Address is where routers reach this Server.
	Address string
	// Config returns the set in force, or nil.
	Config func() *config.Set
	Dialer *rpc.Dialer
	Log    hclog.Logger
	Lease  lease.Options
	Limits admission.Options
}

// Server answers votes and, while it holds the lease of its data centre, grants
// places. Register it for both drpc services. Run must be running.
type Server struct {
	options ServerOptions
	start   time.Time
	events  chan event
	voters  voters
	holds   atomic.Bool
	nextID  atomic.Uint64

	// Owned by the goroutine of Run.
	candidate  *lease.Candidate
	core       *admission.Core
	sessions   map[admission.SessionID]*serverSession
	set        *config.Set
	nextPing   admission.Instant
	pings      uint64
	overridden bool
	pauses     pauseWatch

	// background counts requests to voters that are under way.
	background sync.WaitGroup
}

// NewServer returns a server that starts now.
func NewServer(o ServerOptions) *Server {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Lease == (lease.Options{}) {
		o.Lease = lease.DefaultOptions()
	}
	if o.Limits == (admission.Options{}) {
		o.Limits = admission.DefaultOptions()
	}
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Server{
		options: o, start: time.Now(),
		events:    make(chan event, eventLimit),
		voters:    voters{byDataCentre: map[string]*lease.Voter{}, maxLease: o.Lease.Lease},
		candidate: lease.NewCandidate(o.Lease, o.Name, o.Incarnation, o.Address, seed),
		sessions:  map[admission.SessionID]*serverSession{},
	}
}

// now returns the time since the start, on the monotonic clock.
func (s *Server) now() admission.Instant { return time.Since(s.start) }

// Holds reports whether this process held the lease at the last event.
func (s *Server) Holds() bool { return s.holds.Load() }

// event is one thing for the control goroutine. Exactly one of its groups is set.
type event struct {
	// session and message: a router's message.
	session admission.SessionID
	message *grantpb.RouterMessage
	// open: a new session; closed: the end of the session named.
	open   *serverSession
	closed bool
	// vote: a voter's answer.
	vote *voteAnswer
	// call: work for the control goroutine; done is closed after it.
	call func()
	done chan struct{}
}

// Run owns the control state until ctx ends. Then it hands the lease back and
// ends the sessions; end it before the listener.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.handOver()
			return nil
		case <-ticker.C:
			s.tick()
		case e := <-s.events:
			s.handle(e)
			s.drain()
		}
		s.flush()
	}
}

// drain handles what waits, up to a bound.
func (s *Server) drain() {
	for range batchLimit {
		select {
		case e := <-s.events:
			s.handle(e)
		default:
			return
		}
	}
}

func (s *Server) handle(e event) {
	s.noticePause()
	switch {
	case e.open != nil:
		s.open(e.open)
	case e.closed:
		s.closeSession(e.session)
	case e.vote != nil:
		s.answer(e.vote)
	case e.call != nil:
		e.call()
		close(e.done)
	default:
		s.message(e.session, e.message)
	}
}

// message hands a router's message to the core. The clock is read here, after
// any pause of the process, so that a lease that ran out meanwhile is seen.
func (s *Server) message(id admission.SessionID, m *grantpb.RouterMessage) {
	session := s.sessions[id]
	if s.core == nil || session == nil {
		return
	}
	now := s.now()
	session.heard = now
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
		s.core.Heard(now, id)
	}
}

// tick renews the lease, follows the configuration and does timed work.
func (s *Server) tick() {
	s.noticePause()
	now := s.now()
	s.follow(now)
	for _, send := range s.candidate.Tick(now, uint64(time.Now().UnixMilli())) {
		s.requestVote(send)
	}
	s.tenure(s.now())
	if s.core != nil {
		s.core.Tick(s.now())
		s.ping(s.now())
	}
}

// follow puts a new set in force.
func (s *Server) follow(now admission.Instant) {
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

// voterNames returns the declared voters if this process is a candidate.
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

// tenure begins or ends a tenure as the lease says.
func (s *Server) tenure(now admission.Instant) {
	holds := s.candidate.Holds(now)
	if s.core != nil && (!holds || s.core.Term() != s.candidate.Term()) {
		s.stepDown("the lease has ended")
	}
	if !holds {
		return
	}
	if s.core == nil {
		s.core = admission.New(s.options.Limits, s.options.DataCentre, s.set, s.candidate.Term(), now, s.candidate.Until(now))
		s.holds.Store(true)
		s.options.Log.Info("holds the grantor lease", "data-centre", s.options.DataCentre, "term", s.candidate.Term())
	}
	s.core.Renew(s.candidate.Until(now))
}

// stepDown ends the tenure and all sessions.
func (s *Server) stepDown(reason string) {
	s.options.Log.Warn("gives up the grantor lease", "data-centre", s.options.DataCentre, "term", s.core.Term(), "reason", reason)
	s.core.StepDown()
	s.flush() // the refusals go out before the end of the sessions
	s.core = nil
	s.holds.Store(false)
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

// handOver gives the lease back at a graceful shutdown.
func (s *Server) handOver() {
	if s.core != nil {
		s.stepDown("shutting down")
	}
	if s.candidate.Holds(s.now()) {
		s.release()
	}
	s.background.Wait()
}

// do runs f in the control goroutine.
func (s *Server) do(ctx context.Context, f func()) error {
	e := event{call: f, done: make(chan struct{})}
	select {
	case s.events <- e:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "grantor")
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "grantor")
	}
}

// errNotHolder is the answer to calls that only the holder can answer.
func (s *Server) errNotHolder() error {
	return errors.WithStack(errkind.New(errkind.NoGrantor, "%s does not hold the lease of %s", s.options.Name, s.options.DataCentre))
}
