package grantor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

const (
	// helloTimeout bounds opening a session, up to the response to the Hello.
	helloTimeout = time.Second
	// idleTimeout ends a session on which nothing was received. The grantor sends a
	// ping every pingInterval.
	idleTimeout  = 3 * time.Second
	pingInterval = time.Second
	// maxReconnectDelay is the maximum delay between two rounds of connection
	// attempts to the candidates.
	maxReconnectDelay = 200 * time.Millisecond
)

// errNotLeaseHolder means that the contacted process does not hold the lease.
var errNotLeaseHolder = errors.New("the process does not hold the grantor lease")

// run keeps a session with the current lease holder until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.detachSession()
	hint := ""
	for ctx.Err() == nil {
		addresses := l.candidateAddresses(hint)
		hint = ""
		for _, address := range addresses {
			holder, err := l.runSession(ctx, address)
			l.detachSession()
			if ctx.Err() != nil {
				return
			}
			l.options.Log.Debug("session with grantor ended", "data-centre", l.dataCentre, "address", address, "error", err)
			if holder != "" && holder != address {
				hint = holder
				break
			}
		}
		if hint == "" || len(addresses) == 0 {
			sleep(ctx, time.Duration(rand.Int64N(int64(maxReconnectDelay))))
		} else {
			sleep(ctx, maxReconnectDelay/10)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// candidateAddresses returns the addresses at which the lease holder may be: only
// the hint if there is one, or else all declared candidates in random order.
func (l *link) candidateAddresses(hint string) []string {
	if hint != "" {
		return []string{hint}
	}
	set := l.options.Config()
	if set == nil || set.DataCentres[l.dataCentre] == nil {
		return nil
	}
	var all []string
	for _, v := range set.DataCentres[l.dataCentre].LeaseVoters {
		if v.Candidate {
			all = append(all, v.Address)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// runSession runs one session with the process at the address until it ends. If
// that process does not hold the lease, runSession returns the address of the
// holder that it named, if any.
func (l *link) runSession(ctx context.Context, address string) (holder string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := l.options.Dialer.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	watchdog := time.AfterFunc(helloTimeout, cancel)
	defer watchdog.Stop()
	stream, err := grantpb.NewDRPCGrantorClient(conn).Session(ctx)
	if err != nil {
		return "", errors.Wrap(err, "open session")
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Hello{Hello: l.helloMessage(time.Now())}}); err != nil {
		return "", errors.Wrap(err, "send hello")
	}
	first, err := stream.Recv()
	if err != nil {
		return "", errors.Wrap(err, "receive welcome")
	}
	if s := first.GetStepDown(); s != nil {
		return s.Holder, errNotLeaseHolder
	}
	welcome := first.GetWelcome()
	if welcome == nil {
		return "", errors.New("the first message from the grantor is not a welcome")
	}
	watchdog.Reset(idleTimeout)
	outgoing := make(chan *grantpb.RouterMessage, outgoingQueueSize)
	l.attachSession(welcome, outgoing, cancel)
	l.options.Log.Info("session with grantor opened", "data-centre", l.dataCentre, "address", address, "term", welcome.Term)
	go l.sendLoop(ctx, cancel, stream, outgoing)
	return l.receiveLoop(stream, watchdog)
}

// sendLoop sends queued messages until the session ends.
func (l *link) sendLoop(ctx context.Context, cancel func(), stream grantpb.DRPCGrantor_SessionClient, outgoing <-chan *grantpb.RouterMessage) {
	defer cancel()
	briefs := newBriefEncoder()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-outgoing:
			if stream.Send(briefs.encode(m)) != nil {
				return
			}
		}
	}
}

// receiveLoop handles the grantor's messages until the session ends.
func (l *link) receiveLoop(stream grantpb.DRPCGrantor_SessionClient, watchdog *time.Timer) (holder string, err error) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return "", errors.Wrap(err, "receive from grantor")
		}
		watchdog.Reset(idleTimeout)
		switch k := m.Kind.(type) {
		case *grantpb.GrantorMessage_Permit:
			l.handlePermit(k.Permit)
		case *grantpb.GrantorMessage_Refusal:
			l.handleRefusal(k.Refusal)
		case *grantpb.GrantorMessage_Ping:
			l.handlePing(k.Ping)
		case *grantpb.GrantorMessage_StepDown:
			return k.StepDown.Holder, errNotLeaseHolder
		}
	}
}

// handlePing stores the load and the overrides from the grantor, and replies.
func (l *link) handlePing(p *grantpb.Ping) {
	if p.Load != nil {
		l.load.Store(p.Load)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(p.Overrides) > 0 {
		l.overrides = p.Overrides
	}
	l.enqueue(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Ping{Ping: &grantpb.Ping{Sequence: p.Sequence}}})
}
