package grantor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

const (
	// helloTimeout bounds the wait for the answer to a Hello.
	helloTimeout = time.Second
	// silenceTimeout ends a session on which nothing came; the grantor pings every pingEvery.
	silenceTimeout = 3 * time.Second
	pingEvery      = time.Second
	// reconnectPause is the greatest pause between rounds over all candidates.
	reconnectPause = 200 * time.Millisecond
)

// errStepDown says that the process asked does not hold the lease.
var errStepDown = errors.New("the process does not hold the lease")

// run keeps a session with whoever holds the lease.
func (l *link) run(ctx context.Context) {
	defer l.down()
	hint := ""
	for ctx.Err() == nil {
		addresses := l.addresses(hint)
		hint = ""
		for _, address := range addresses {
			holder, err := l.session(ctx, address)
			l.down()
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
			pause(ctx, time.Duration(rand.Int64N(int64(reconnectPause))))
		} else {
			pause(ctx, reconnectPause/10)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// addresses returns where a holder may be: the hint first, then all candidates
// from a random one on.
func (l *link) addresses(hint string) []string {
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

// session runs one session with the process at the address until it ends. It
// returns the holder that a process without the lease has named.
func (l *link) session(ctx context.Context, address string) (holder string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := l.options.Dialer.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	watch := time.AfterFunc(helloTimeout, cancel)
	defer watch.Stop()
	stream, err := grantpb.NewDRPCGrantorClient(conn).Session(ctx)
	if err != nil {
		return "", errors.Wrap(err, "open session")
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Hello{Hello: l.hello(time.Now())}}); err != nil {
		return "", errors.Wrap(err, "send hello")
	}
	first, err := stream.Recv()
	if err != nil {
		return "", errors.Wrap(err, "receive welcome")
	}
	if s := first.GetStepDown(); s != nil {
		return s.Holder, errStepDown
	}
	welcome := first.GetWelcome()
	if welcome == nil {
		return "", errors.New("the first message was no welcome")
	}
	watch.Reset(silenceTimeout)
	outgoing := make(chan *grantpb.RouterMessage, outgoingLimit)
	l.up(welcome, outgoing, cancel)
	l.options.Log.Info("session with grantor", "data-centre", l.dataCentre, "address", address, "term", welcome.Term)
	go l.write(ctx, cancel, stream, outgoing)
	return l.read(stream, watch)
}

// write sends what is queued until the session ends.
func (l *link) write(ctx context.Context, cancel func(), stream grantpb.DRPCGrantor_SessionClient, outgoing <-chan *grantpb.RouterMessage) {
	defer cancel()
	briefs := newBriefWriter()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-outgoing:
			if stream.Send(briefs.shorten(m)) != nil {
				return
			}
		}
	}
}

// read handles the grantor's messages until the session ends.
func (l *link) read(stream grantpb.DRPCGrantor_SessionClient, watch *time.Timer) (holder string, err error) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return "", errors.Wrap(err, "receive")
		}
		watch.Reset(silenceTimeout)
		switch k := m.Kind.(type) {
		case *grantpb.GrantorMessage_Permit:
			l.granted(k.Permit)
		case *grantpb.GrantorMessage_Refusal:
			l.refused(k.Refusal)
		case *grantpb.GrantorMessage_Ping:
			l.pinged(k.Ping)
		case *grantpb.GrantorMessage_StepDown:
			return k.StepDown.Holder, errStepDown
		}
	}
}

// pinged takes over the load and the overrides, and answers.
func (l *link) pinged(p *grantpb.Ping) {
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
