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
	finished chan struct{}
	endOnce  sync.Once
	// heard is when the router last sent something. Owned by the control goroutine.
	heard admission.Instant
}

// send queues a message; a router that does not read loses its session.
func (s *serverSession) send(m *grantpb.GrantorMessage) {
	select {
	case s.outgoing <- m:
	default:
		s.end()
	}
}

// end lets the session's handler send what is queued and return.
func (s *serverSession) end() { s.endOnce.Do(func() { close(s.finished) }) }

// Session serves one router.
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
		hello: hello, id: admission.SessionID(s.nextID.Add(1)),
		outgoing: make(chan *grantpb.GrantorMessage, outgoingLimit), finished: make(chan struct{}),
	}
	if err := s.put(ctx, event{open: session}); err != nil {
		return err
	}
	go s.read(ctx, stream, session)
	return s.write(ctx, stream, session)
}

func (s *Server) put(ctx context.Context, e event) error {
	select {
	case s.events <- e:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.ShuttingDown, "grantor")
	}
}

// read passes the router's messages to the control goroutine.
func (s *Server) read(ctx context.Context, stream grantpb.DRPCGrantor_SessionStream, session *serverSession) {
	defer session.end()
	briefs := newBriefReader()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if m = briefs.restore(m); m == nil {
			return // a session that lost a message cannot be trusted
		}
		if s.put(ctx, event{session: session.id, message: m}) != nil {
			return
		}
	}
}

// write sends what is queued until the session ends, and then the rest of it.
func (s *Server) write(ctx context.Context, stream grantpb.DRPCGrantor_SessionStream, session *serverSession) error {
	defer func() {
		session.end()
		select {
		case s.events <- event{session: session.id, closed: true}:
		case <-time.After(handOverTimeout): // the control goroutine has ended
		}
	}()
	for {
		select {
		case m := <-session.outgoing:
			if err := stream.Send(m); err != nil {
				return errors.Wrap(err, "send")
			}
		case <-ctx.Done():
			return nil
		case <-session.finished:
			return sendRest(stream, session)
		}
	}
}

func sendRest(stream grantpb.DRPCGrantor_SessionStream, session *serverSession) error {
	for {
		select {
		case m := <-session.outgoing:
			if err := stream.Send(m); err != nil {
				return errors.Wrap(err, "send")
			}
		default:
			return nil
		}
	}
}

// open begins a session, or tells where the lease is.
func (s *Server) open(session *serverSession) {
	now := s.now()
	session.heard = now
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
	s.core.Open(now, session.id, session.hello)
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
		s.core.Close(id)
	}
}

// flush sends the core's effects.
func (s *Server) flush() {
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

// ping tells every router the load, and drops the silent ones.
func (s *Server) ping(now admission.Instant) {
	if now < s.nextPing {
		return
	}
	s.nextPing = now + pingEvery
	s.pings++
	p := &grantpb.Ping{Sequence: s.pings, Load: s.core.Load()}
	if s.overridden {
		p.Overrides = s.localOverrides()
	}
	for id, session := range s.sessions {
		if now-session.heard > silenceTimeout {
			session.end()
			s.closeSession(id)
			continue
		}
		session.send(&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Ping{Ping: p}})
	}
	s.overridden = false
}

func (s *Server) localOverrides() []*grantpb.LocalOverride {
	var all []*grantpb.LocalOverride
	for _, o := range s.core.Overrides() {
		all = append(all, &grantpb.LocalOverride{Target: o.Target, Out: o.Out, StampMs: o.StampMS, Reason: o.Reason})
	}
	return all
}

// Override takes a target of this data centre out, or puts it back, without
// the control group. It lasts until the opposite override: routers remember it
// for the next grantor.
func (s *Server) Override(ctx context.Context, r *grantpb.OverrideRequest) (*grantpb.OverrideResponse, error) {
	server, isServer := strings.CutPrefix(r.Target, "backendServer/")
	if r.Target != "dataCentre/"+s.options.DataCentre && (!isServer || server == "") {
		return nil, errkind.New(errkind.BadRequest, "target %q is neither dataCentre/%s nor backendServer/<name>", r.Target, s.options.DataCentre)
	}
	var err error
	stamp := uint64(time.Now().UnixMilli())
	if e := s.do(ctx, func() {
		if s.core == nil {
			err = s.errNotHolder()
			return
		}
		s.overridden = s.core.Override(s.now(), admission.Override{Target: r.Target, Out: r.Out, StampMS: stamp, Reason: r.Reason})
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

// GrantorStatus reports the grantor's view, or who is believed to hold the lease.
func (s *Server) GrantorStatus(ctx context.Context, _ *grantpb.GrantorStatusRequest) (*grantpb.GrantorStatusResponse, error) {
	r := &grantpb.GrantorStatusResponse{DataCentre: s.options.DataCentre}
	err := s.do(ctx, func() {
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
