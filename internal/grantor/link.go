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
	// outgoingLimit bounds messages that wait to be sent on a session.
	outgoingLimit = 4096
	// keptAnnouncement is how long an announcement is replayed to a new grantor.
	keptAnnouncement = 3 * time.Second
)

// link is a router's side of the sessions with one data centre's grantors.
type link struct {
	options    ClientOptions
	dataCentre string
	load       atomic.Pointer[grantpb.DataCentreLoad]

	mu            sync.Mutex
	outgoing      chan *grantpb.RouterMessage // nil while no session is up
	fail          func()
	nextAsk       uint64
	pending       map[uint64]*pendingAsk
	held          map[permitKey]*Permit
	announcements map[string]*keptAnnounce
	overrides     []*grantpb.LocalOverride
}

type permitKey struct{ term, id uint64 }

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	ask    *grantpb.Ask
	sent   time.Time
	answer chan answer
}

type answer struct {
	permit *Permit
	err    error
}

// keptAnnounce is a server's latest announcement through this router.
type keptAnnounce struct {
	announcement *grantpb.Announcement
	received     time.Time
	// waited is how long it may have waited before it was received.
	waited     time.Duration
	readySince time.Time
}

func newLink(o ClientOptions, dataCentre string) *link {
	return &link{
		options: o, dataCentre: dataCentre,
		pending:       map[uint64]*pendingAsk{},
		held:          map[permitKey]*Permit{},
		announcements: map[string]*keptAnnounce{},
	}
}

// ask sends an ask and waits for its answer.
func (l *link) ask(ctx context.Context, a *grantpb.Ask) (*Permit, error) {
	w, err := l.begin(a)
	if err != nil {
		return nil, err
	}
	limit := time.NewTimer(time.Duration(a.WaitMs)*time.Millisecond + answerGrace)
	defer limit.Stop()
	select {
	case r := <-w.answer:
		return r.permit, r.err
	case <-ctx.Done():
		err = errkind.Wrap(ctx.Err(), errkind.ClientGone, "while waiting for a place")
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = errkind.Wrap(ctx.Err(), errkind.DeadlineUnmeetable, "no place within the deadline").WithRetryAfter(noGrantorRetry)
		}
	case <-limit.C:
		err = errkind.New(errkind.NoGrantor, "the grantor of %s gave no answer", l.dataCentre).WithRetryAfter(noGrantorRetry)
	}
	if p := l.withdraw(w); p != nil {
		p.Done(Result{Outcome: errkind.NotRun})
	}
	return nil, err
}

func (l *link) begin(a *grantpb.Ask) (*pendingAsk, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outgoing == nil {
		return nil, errkind.New(errkind.NoGrantor, "no session with the grantor of %s", l.dataCentre).WithRetryAfter(noGrantorRetry)
	}
	l.nextAsk++
	a.AskId = l.nextAsk
	w := &pendingAsk{ask: a, sent: time.Now(), answer: make(chan answer, 1)}
	l.pending[a.AskId] = w
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Ask{Ask: a}})
	return w, nil
}

// withdraw gives an ask up; it returns a permit that has come in between.
func (l *link) withdraw(w *pendingAsk) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.pending[w.ask.AskId]; waiting {
		delete(l.pending, w.ask.AskId)
		l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Cancel{Cancel: &grantpb.Cancel{AskId: w.ask.AskId}}})
		return nil
	}
	return (<-w.answer).permit
}

// started notes the start of a permit's run.
func (l *link) started(p *Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.startedAt = time.Now()
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Started{Started: &grantpb.Started{PermitId: p.ID}}})
}

// enqueue needs l.mu. A session that can't keep up is ended.
func (l *link) enqueue(m *grantpb.RouterMessage) bool {
	if l.outgoing == nil {
		return false
	}
	select {
	case l.outgoing <- m:
		return true
	default:
		l.fail()
		return false
	}
}

// finish reports a permit's result, now or on the next session.
func (l *link) finish(p *Permit, r *grantpb.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.result = r
	if l.enqueue(resultMessage(r)) {
		delete(l.held, permitKey{p.Term, p.ID})
	}
}

func resultMessage(r *grantpb.Result) *grantpb.RouterMessage {
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Result{Result: r}}
}

// announce keeps an announcement and passes it on.
func (l *link) announce(a *grantpb.Announcement, waited time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.announcements[a.Name]
	if k == nil || k.announcement.Incarnation != a.Incarnation {
		k = &keptAnnounce{}
		l.announcements[a.Name] = k
	}
	switch {
	case a.State != grantpb.ServerState_SERVER_STATE_READY:
		k.readySince = time.Time{}
	case k.readySince.IsZero():
		k.readySince = now
	}
	k.announcement, k.received, k.waited = a, now, waited
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: k.replay(now)}})
}

// replay returns the announcement as of now.
func (k *keptAnnounce) replay(now time.Time) *grantpb.Announcement {
	a := proto.CloneOf(k.announcement)
	a.MeasuredMsAgo += milliseconds(now.Sub(k.received) + k.waited)
	if !k.readySince.IsZero() {
		a.ReadyMs = max(a.ReadyMs, uint64(now.Sub(k.readySince).Milliseconds()))
	}
	return a
}

// hello says what this router holds.
func (l *link) hello(now time.Time) *grantpb.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &grantpb.Hello{Router: l.options.Name, Incarnation: l.options.Incarnation, DataCentre: l.dataCentre, Overrides: l.overrides}
	if set := l.options.Config(); set != nil {
		h.Epoch, h.Revision = set.Revision.Epoch, set.Revision.Number
	}
	for _, p := range l.held {
		held := &grantpb.Held{
			PermitId: p.ID, Term: p.Term, Server: p.Server, ServerIncarnation: p.Incarnation,
			Workspace: p.workspace, Service: p.service, RemainingMs: milliseconds(p.deadline.Sub(now)),
		}
		if !p.startedAt.IsZero() {
			held.RunningMs = max(1, milliseconds(now.Sub(p.startedAt)))
		}
		h.Held = append(h.Held, held)
	}
	for name, k := range l.announcements {
		if now.Sub(k.received) > keptAnnouncement {
			delete(l.announcements, name)
			continue
		}
		h.Announcements = append(h.Announcements, k.replay(now))
	}
	return h
}

// up opens the session to asks and sends results that had to wait.
func (l *link) up(w *grantpb.Welcome, outgoing chan *grantpb.RouterMessage, fail func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing, l.fail = outgoing, fail
	l.overrides = w.Overrides
	l.load.Store(w.Load)
	for key, p := range l.held {
		if p.result != nil && l.enqueue(resultMessage(p.result)) {
			delete(l.held, key)
		}
	}
}

// down ends the session: asks without an answer did not run.
func (l *link) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = nil
	l.load.Store(nil)
	for id, w := range l.pending {
		delete(l.pending, id)
		w.answer <- answer{err: errkind.New(errkind.NoGrantor, "lost the session with the grantor of %s", l.dataCentre).WithRetryAfter(noGrantorRetry)}
	}
}

// granted answers an ask with a permit, or gives back one that nobody waits for.
func (l *link) granted(m *grantpb.Permit) {
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
		startBy:  w.sent.Add(time.Duration(m.StartWithinMs) * time.Millisecond),
		deadline: time.Now().Add(time.Duration(w.ask.RunMs) * time.Millisecond),
	}
	l.held[permitKey{p.Term, p.ID}] = p
	w.answer <- answer{permit: p}
}

// refused answers an ask with a refusal.
func (l *link) refused(m *grantpb.Refusal) {
	l.mu.Lock()
	w := l.pending[m.AskId]
	delete(l.pending, m.AskId)
	l.mu.Unlock()
	if w == nil {
		return
	}
	err := errkind.New(errkind.Kind(m.ErrorKind), "%s: %s", l.dataCentre, m.Message)
	w.answer <- answer{err: err.WithRetryAfter(time.Duration(m.RetryAfterMs) * time.Millisecond)}
}
