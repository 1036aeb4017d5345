package forward

import (
	"context"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/placement"
)

const (
	// silenceTimeout is how long a request waits, with nothing received from any server
	// meanwhile, before connections to the servers are probed. Busy servers send events of
	// other streams in that time.
	silenceTimeout = 300 * time.Millisecond
	// proberInterval is how often the prober looks for probes that are due.
	proberInterval = 50 * time.Millisecond
	// probeTimeout limits opening a connection.
	probeTimeout = time.Second
)

// prober opens connections to servers that may be unreachable, so that no request has to
// wait in order to find that out.
type prober struct {
	fleet *placement.Fleet
	pool  *backend.Pool
	wake  chan struct{}
}

func newProber(fleet *placement.Fleet, pool *backend.Pool) *prober {
	return &prober{fleet: fleet, pool: pool, wake: make(chan struct{}, 1)}
}

// start has the probes that are due made at once.
func (p *prober) start() { signal(p.wake) }

// signal wakes the receiver of a channel with capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // It is about to look anyway.
	}
}

// watchSilence calls checkSilence once a request that was sent at a time has waited long enough.
func (p *prober) watchSilence(sentAt time.Time) *time.Timer {
	return time.AfterFunc(silenceTimeout, func() { p.checkSilence(sentAt) })
}

// checkSilence has all data centres probed if nothing was received from any server since at.
func (p *prober) checkSilence(at time.Time) {
	if p.pool.SilentSince(at) {
		p.fleet.SuspectPartition(time.Now())
		p.start()
	}
}

func (p *prober) run(ctx context.Context) error {
	tick := time.NewTicker(proberInterval)
	defer tick.Stop()
	for {
		for _, s := range p.fleet.Probes(time.Now()) {
			go p.probe(ctx, s)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		case <-tick.C:
		}
	}
}

func (p *prober) probe(ctx context.Context, s *placement.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := p.pool.Probe(ctx, serverTarget(s))
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled || errkind.Is(err, errkind.QueueFull) {
		return // It tells nothing of the server.
	}
	p.fleet.RecordProbe(s, err == nil, time.Now())
}

// serverTarget returns the target for connections to a server, without a limit of their number.
func serverTarget(s *placement.Server) backend.Target {
	return backend.Target{ID: s.ID, Born: s.Born, Address: s.Address}
}
