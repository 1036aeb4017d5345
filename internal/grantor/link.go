package grantor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// outgoingQueueSize bounds the messages queued for sending on a session.
	outgoingQueueSize = 4096
	// announcementRetention is the age up to which a stored announcement is sent to
	// a new grantor.
	announcementRetention = 3 * time.Second
)

// link is a router's connection to the grantor of one data centre. It outlives
// sessions and changes of the lease holder.
type link struct {
	options    ClientOptions
	dataCentre string
	load       atomic.Pointer[grantpb.DataCentreLoad]

	mu            sync.Mutex
	outgoing      chan *grantpb.RouterMessage // nil without a session
	endSession    func()
	lastAskID     uint64
	pending       map[uint64]*pendingAsk
	heldPermits   map[permitKey]*Permit
	announcements map[string]*storedAnnouncement
	overrides     []*grantpb.LocalOverride
}

type permitKey struct{ term, id uint64 }

// pendingAsk is a permit request that has no response yet.
type pendingAsk struct {
	ask      *grantpb.Ask
	sent     time.Time
	response chan askResponse
}

type askResponse struct {
	permit *Permit
	err    error
}

// storedAnnouncement is the latest announcement of a server received by this router.
type storedAnnouncement struct {
	announcement *grantpb.Announcement
	received     time.Time
	// possibleDelay is how long the announcement may have been queued before it
	// was received.
	possibleDelay time.Duration
	readySince    time.Time
	// former is the incarnation that this one replaced, with its last sequence; empty if there was none.
	former         string
	formerSequence uint64
}

// isLate reports whether the announcement is older than the stored one. A replaced incarnation whose sequence
// continues is still alive.
func (s *storedAnnouncement) isLate(a *grantpb.Announcement) bool {
	if a.Incarnation == s.announcement.Incarnation {
		return a.Sequence < s.announcement.Sequence
	}
	return a.Incarnation == s.former && a.Sequence <= s.formerSequence
}

func newLink(o ClientOptions, dataCentre string) *link {
	return &link{
		options: o, dataCentre: dataCentre,
		pending:       map[uint64]*pendingAsk{},
		heldPermits:   map[permitKey]*Permit{},
		announcements: map[string]*storedAnnouncement{},
	}
}

// ask sends a permit request and waits for its response.
func (l *link) ask(ctx context.Context, a *grantpb.Ask) (*Permit, error) {
	w, err := l.sendAsk(a)
	if err != nil {
		return nil, err
	}
	timeout := time.NewTimer(time.Duration(a.WaitMs)*time.Millisecond + responseGrace)
	defer timeout.Stop()
	select {
	case r := <-w.response:
		return r.permit, r.err
	case <-ctx.Done():
		err = errkind.Wrap(ctx.Err(), errkind.ClientGone, "request cancelled while waiting for a permit")
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = errkind.Wrap(ctx.Err(), errkind.DeadlineUnmeetable, "no permit granted within the deadline").WithRetryAfter(noGrantorRetryAfter)
		}
	case <-timeout.C:
		err = errkind.New(errkind.NoGrantor, "the grantor of data centre %s did not answer the permit request in time", l.dataCentre).WithRetryAfter(noGrantorRetryAfter)
	}
	if p := l.cancelAsk(w); p != nil {
		p.Done(RunResult{Outcome: errkind.NotRun})
	}
	return nil, err
}

func (l *link) sendAsk(a *grantpb.Ask) (*pendingAsk, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outgoing == nil {
		return nil, errkind.New(errkind.NoGrantor, "no session with the grantor of data centre %s", l.dataCentre).WithRetryAfter(noGrantorRetryAfter)
	}
	l.lastAskID++
	a.AskId = l.lastAskID
	w := &pendingAsk{ask: a, sent: time.Now(), response: make(chan askResponse, 1)}
	l.pending[a.AskId] = w
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Ask{Ask: a}})
	return w, nil
}

// cancelAsk cancels a permit request. It returns the permit if one has arrived in
// the meantime.
func (l *link) cancelAsk(w *pendingAsk) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.pending[w.ask.AskId]; waiting {
		delete(l.pending, w.ask.AskId)
		l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Cancel{Cancel: &grantpb.Cancel{AskId: w.ask.AskId}}})
		return nil
	}
	return (<-w.response).permit
}

// reportStarted records the start of a permit's run and reports it to the grantor.
func (l *link) reportStarted(p *Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.startedAt = time.Now()
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Started{Started: &grantpb.Started{PermitId: p.ID}}})
}

// enqueue queues a message for sending and reports whether it did. If the queue
// is full it ends the session. The caller must hold l.mu.
func (l *link) enqueue(m *grantpb.RouterMessage) bool {
	if l.outgoing == nil {
		return false
	}
	select {
	case l.outgoing <- m:
		return true
	default:
		l.endSession()
		return false
	}
}

// reportResult reports a permit's result. If it cannot be queued now, it is sent
// when the next session opens.
func (l *link) reportResult(p *Permit, r *grantpb.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.result = r
	if l.enqueue(resultMessage(r)) {
		delete(l.heldPermits, permitKey{p.Term, p.ID})
	}
}

func resultMessage(r *grantpb.Result) *grantpb.RouterMessage {
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Result{Result: r}}
}

// announce stores an announcement, unless it is late, and forwards it to the grantor, which may know otherwise.
func (l *link) announce(a *grantpb.Announcement, possibleDelay time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := l.announcements[a.Name]
	switch {
	case stored == nil:
		stored = &storedAnnouncement{}
		l.announcements[a.Name] = stored
	case stored.isLate(a):
		late := &storedAnnouncement{announcement: a, received: now, possibleDelay: possibleDelay}
		l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: late.messageAt(now)}})
		return
	case stored.announcement.Incarnation != a.Incarnation:
		stored = &storedAnnouncement{former: stored.announcement.Incarnation, formerSequence: stored.announcement.Sequence}
		l.announcements[a.Name] = stored
	}
	switch {
	case a.State != grantpb.ServerState_SERVER_STATE_READY:
		stored.readySince = time.Time{}
	case stored.readySince.IsZero():
		stored.readySince = now
	}
	stored.announcement, stored.received, stored.possibleDelay = a, now, possibleDelay
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: stored.messageAt(now)}})
}

// messageAt returns the announcement with its relative times adjusted to now.
func (s *storedAnnouncement) messageAt(now time.Time) *grantpb.Announcement {
	a := proto.CloneOf(s.announcement)
	a.MeasuredMsAgo += milliseconds(now.Sub(s.received) + s.possibleDelay)
	if !s.readySince.IsZero() {
		a.ReadyMs = max(a.ReadyMs, uint64(now.Sub(s.readySince).Milliseconds()))
	}
	return a
}

// helloMessage returns the Hello of a new session: the permits that this router
// holds, the recent announcements and the local overrides.
func (l *link) helloMessage(now time.Time) *grantpb.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &grantpb.Hello{Router: l.options.Name, Incarnation: l.options.Incarnation, DataCentre: l.dataCentre, Overrides: l.overrides}
	if set := l.options.Config(); set != nil {
		h.Epoch, h.Revision = set.Revision.Epoch, set.Revision.Number
	}
	for _, p := range l.heldPermits {
		held := &grantpb.Held{
			PermitId: p.ID, Term: p.Term, Server: p.Server, ServerIncarnation: p.Incarnation,
			Workspace: p.workspace, Service: p.service, RemainingMs: milliseconds(p.runDeadline.Sub(now)),
		}
		if !p.startedAt.IsZero() {
			held.RunningMs = max(1, milliseconds(now.Sub(p.startedAt)))
		}
		h.Held = append(h.Held, held)
	}
	for name, stored := range l.announcements {
		if now.Sub(stored.received) > announcementRetention {
			delete(l.announcements, name)
			continue
		}
		h.Announcements = append(h.Announcements, stored.messageAt(now))
	}
	return h
}

// attachSession makes a new session available to permit requests and sends the
// results that are still unreported.
func (l *link) attachSession(w *grantpb.Welcome, outgoing chan *grantpb.RouterMessage, fail func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing, l.endSession = outgoing, fail
	l.overrides = w.Overrides
	l.load.Store(w.Load)
	for key, p := range l.heldPermits {
		if p.result != nil && l.enqueue(resultMessage(p.result)) {
			delete(l.heldPermits, key)
		}
	}
}

// detachSession removes the session and fails the pending permit requests, none
// of which ran.
func (l *link) detachSession() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = nil
	l.load.Store(nil)
	for id, w := range l.pending {
		delete(l.pending, id)
		w.response <- askResponse{err: errkind.New(errkind.NoGrantor, "lost the session with the grantor of data centre %s", l.dataCentre).WithRetryAfter(noGrantorRetryAfter)}
	}
}

// handlePermit hands a permit to the request that waits for it, or returns it
// unused if the request was cancelled.
func (l *link) handlePermit(m *grantpb.Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.pending[m.AskId]
	if w == nil {
		l.enqueue(resultMessage(&grantpb.Result{PermitId: m.PermitId, Term: m.Term, Outcome: grantpb.Outcome_OUTCOME_NOT_RUN}))
		return
	}
	delete(l.pending, m.AskId)
	p := &Permit{
		DataCentre: l.dataCentre, Server: m.Server, Address: m.Address, Incarnation: m.ServerIncarnation,
		Term: m.Term, ID: m.PermitId, Queued: time.Duration(m.QueuedMs) * time.Millisecond,
		link: l, workspace: w.ask.Workspace, service: w.ask.Service,
		startDeadline: w.sent.Add(time.Duration(m.StartWithinMs) * time.Millisecond),
		runDeadline:   time.Now().Add(time.Duration(w.ask.RunMs) * time.Millisecond),
	}
	l.heldPermits[permitKey{p.Term, p.ID}] = p
	w.response <- askResponse{permit: p}
}

// handleRefusal fails the permit request that was refused.
func (l *link) handleRefusal(m *grantpb.Refusal) {
	l.mu.Lock()
	w := l.pending[m.AskId]
	delete(l.pending, m.AskId)
	l.mu.Unlock()
	if w == nil {
		return
	}
	err := errkind.New(errkind.Kind(m.ErrorKind), "data centre %s: %s", l.dataCentre, m.Message)
	w.response <- askResponse{err: err.WithRetryAfter(time.Duration(m.RetryAfterMs) * time.Millisecond)}
}
