package grantor

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/admission"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// serverSession is the grantor's side of one router's session.
type serverSession struct {
	hello    *grantpb.Hello
	id       admission.SessionID
	outgoing chan *grantpb.GrantorMessage
	ended    chan struct{}
	endOnce  sync.Once
	// lastSeen is when the last message from the router was handled. Owned by the
	// control goroutine.
	lastSeen admission.Instant
}

// send queues a message. It ends the session if the queue is full, because the
// router does not read.
func (s *serverSession) send(m *grantpb.GrantorMessage) {
	select {
	case s.outgoing <- m:
	default:
		s.end()
	}
}

// end makes the session's handler send the queued messages and return.
func (s *serverSession) end() { s.endOnce.Do(func() { close(s.ended) }) }

// Session serves the session of one router. It implements grantpb.DRPCGrantorServer.
func (s *Server) Session(stream grantpb.DRPCGrantor_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	hello := first.GetHello()
	if hello == nil {
		return errkind.New(errkind.BadRequest, "the first message of a session must be a hello")
	}
	ctx := stream.Context()
	session := &serverSession{
		hello: hello, id: admission.SessionID(s.lastSessionID.Add(1)),
		outgoing: make(chan *grantpb.GrantorMessage, outgoingQueueSize), ended: make(chan struct{}),
	}
	if err := s.enqueueEvent(ctx, event{open: session}); err != nil {
		return err
	}
	go s.receiveLoop(ctx, stream, session)
	return s.sendLoop(ctx, stream, session)
}

func (s *Server) enqueueEvent(ctx context.Context, e event) error {
	select {
	case s.events <- e:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "grantor: call ended before the control goroutine accepted the event")
	}
}

// receiveLoop passes the router's messages to the control goroutine until the session ends.
func (s *Server) receiveLoop(ctx context.Context, stream grantpb.DRPCGrantor_SessionStream, session *serverSession) {
	defer session.end()
	briefs := newBriefDecoder()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if m = briefs.decode(m); m == nil {
			return // a message was lost: end the session, so that the router opens a new one
		}
		if s.enqueueEvent(ctx, event{session: session.id, message: m}) != nil {
			return
		}
	}
}

// sendLoop sends queued messages until the session ends, and then those that are
// still queued.
func (s *Server) sendLoop(ctx context.Context, stream grantpb.DRPCGrantor_SessionStream, session *serverSession) error {
	defer func() {
		session.end()
		select {
		case s.events <- event{session: session.id, closed: true}:
		case <-time.After(releaseTimeout): // the control goroutine has ended
		}
	}()
	for {
		select {
		case m := <-session.outgoing:
			if err := stream.Send(m); err != nil {
				return errors.Wrap(err, "send to router")
			}
		case <-ctx.Done():
			return nil
		case <-session.ended:
			return sendQueued(stream, session)
		}
	}
}

func sendQueued(stream grantpb.DRPCGrantor_SessionStream, session *serverSession) error {
	for {
		select {
		case m := <-session.outgoing:
			if err := stream.Send(m); err != nil {
				return errors.Wrap(err, "send to router")
			}
		default:
			return nil
		}
	}
}

// openSession opens a session. If this process does not hold the lease of the
// requested data centre, it names the holder and ends the session.
func (s *Server) openSession(session *serverSession) {
	now := s.now()
	session.lastSeen = now
	if s.core == nil || session.hello.DataCentre != s.options.DataCentre {
		_, address := s.candidate.Holder()
		if address == s.options.Address {
			address = ""
		}
		session.send(&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_StepDown{StepDown: &grantpb.StepDown{Holder: address}}})
		session.end()
		return
	}
	s.sessions[session.id] = session
	s.core.OpenSession(now, session.id, session.hello)
	w := &grantpb.Welcome{Term: s.core.Term(), Load: s.core.Load(), Overrides: s.localOverrides()}
	if s.set != nil {
		w.Epoch, w.Revision = s.set.Revision.Epoch, s.set.Revision.Number
	}
	session.send(&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Welcome{Welcome: w}})
}

func (s *Server) closeSession(id admission.SessionID) {
	if s.sessions[id] == nil {
		return
	}
	delete(s.sessions, id)
	if s.core != nil {
		s.core.CloseSession(id)
	}
}

// sendEffects sends the core's permits and refusals, and ends superseded sessions.
func (s *Server) sendEffects() {
	if s.core == nil {
		return
	}
	for _, e := range s.core.Effects() {
		session := s.sessions[e.Session]
		if session == nil {
			continue
		}
		switch e.Kind {
		case admission.Granted:
			session.send(permitMessage(s.core.Term(), &e))
		case admission.Refused:
			session.send(refusalMessage(&e))
		case admission.Superseded:
			session.end()
			delete(s.sessions, e.Session)
		}
	}
}

func permitMessage(term uint64, e *admission.Effect) *grantpb.GrantorMessage {
	return &grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Permit{Permit: &grantpb.Permit{
		AskId: e.AskID, PermitId: e.Permit, Term: term, Server: e.Server, Address: e.Address, ServerIncarnation: e.Incarnation,
		StartWithinMs: uint32(e.StartWithin / time.Millisecond), QueuedMs: uint32(e.Queued / time.Millisecond),
	}}}
}

func refusalMessage(e *admission.Effect) *grantpb.GrantorMessage {
	return &grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Refusal{Refusal: &grantpb.Refusal{
		AskId: e.AskID, ErrorKind: string(e.ErrorKind), RetryAfterMs: milliseconds(e.RetryAfter), Message: e.Message,
	}}}
}

// pingRouters sends the load, and overrides that have changed, to every router, and
// ends sessions without a message within idleTimeout.
func (s *Server) pingRouters(now admission.Instant) {
	if now < s.nextPing {
		return
	}
	s.nextPing = now + pingInterval
	s.pingSequence++
	p := &grantpb.Ping{Sequence: s.pingSequence, Load: s.core.Load()}
	if s.overridesChanged {
		p.Overrides = s.localOverrides()
	}
	for id, session := range s.sessions {
		if now-session.lastSeen > idleTimeout {
			session.end()
			s.closeSession(id)
			continue
		}
		session.send(&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Ping{Ping: p}})
	}
	s.overridesChanged = false
}

func (s *Server) localOverrides() []*grantpb.LocalOverride {
	var all []*grantpb.LocalOverride
	for _, o := range s.core.Overrides() {
		all = append(all, &grantpb.LocalOverride{Target: o.Target, Out: o.Out, StampMs: o.StampMS, Reason: o.Reason})
	}
	return all
}

// Override takes a target in this data centre out of service, or returns it to
// service, without the control group. It stays in force until a later override
// of the target: the routers keep it and report it to the next grantor.
func (s *Server) Override(ctx context.Context, r *grantpb.OverrideRequest) (*grantpb.OverrideResponse, error) {
	server, isServer := strings.CutPrefix(r.Target, "backendServer/")
	if r.Target != "dataCentre/"+s.options.DataCentre && (!isServer || server == "") {
		return nil, errkind.New(errkind.BadRequest, "target %q is neither dataCentre/%s nor backendServer/<name>", r.Target, s.options.DataCentre)
	}
	var err error
	stamp := uint64(time.Now().UnixMilli())
	if e := s.runInControlGoroutine(ctx, func() {
		if s.core == nil {
			err = s.errNotHolder()
			return
		}
		s.overridesChanged = s.core.Override(s.now(), admission.Override{Target: r.Target, Out: r.Out, StampMS: stamp, Reason: r.Reason})
		s.nextPing = 0
		s.options.Log.Warn("local override", "target", r.Target, "out", r.Out, "reason", r.Reason)
	}); e != nil {
		return nil, e
	}
	if err != nil {
		return nil, err
	}
	return &grantpb.OverrideResponse{}, nil
}

// GrantorStatus returns the grantor's state. If this process does not hold the
// lease, it returns only the presumed holder.
func (s *Server) GrantorStatus(ctx context.Context, _ *grantpb.GrantorStatusRequest) (*grantpb.GrantorStatusResponse, error) {
	r := &grantpb.GrantorStatusResponse{DataCentre: s.options.DataCentre}
	err := s.runInControlGoroutine(ctx, func() {
		r.Holder, r.HolderAddress = s.candidate.Holder()
		if s.core == nil {
			return
		}
		r.HoldsLease, r.Term = true, s.core.Term()
		r.Servers, r.Load = s.core.Status(s.now()), s.core.Load()
		for _, o := range s.core.Overrides() {
			if o.Out {
				r.Overrides = append(r.Overrides, o.Target)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}
