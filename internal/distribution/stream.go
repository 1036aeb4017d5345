package distribution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const (
	// maxMissedKeepalives is the number of keepalive intervals without a message
	// after which a stream is closed.
	maxMissedKeepalives = 3
	// fallbackDuration is how long, on average, a source that is not among the
	// preferred ones is watched before a preferred one is tried again.
	fallbackDuration = time.Minute
)

var (
	// errResync closes a stream that is to be reopened at once.
	errResync = errors.New("resync")
	// errStale closes the stream of a source that has no recent confirmation
	// itself.
	errStale = errkind.New(errkind.NotReady, "the source's last confirmation is older than the isolation bound")
)

// watchSources keeps one source watched until ctx is done.
func (w *Watcher) watchSources(ctx context.Context) {
	for ctx.Err() == nil {
		source, preferred, wait := w.sources.acquire(time.Now(), w.opts.ParallelSources)
		if source == nil {
			sleep(ctx, wait)
			continue
		}
		err := w.watchSource(ctx, source.address, preferred)
		if errors.Is(err, errResync) {
			sleep(ctx, minBackoff)
		} else if err != nil && ctx.Err() == nil {
			w.opts.Log.Debug("source lost", "source", source.address, "kind", errkind.Of(err), "error", err)
		}
		w.sources.release(source, time.Now(), backoffLimit(err))
	}
}

// backoffLimit returns the maximum backoff of a source after the error: 0 for a
// resync, a short one for a source that only has no configuration yet.
func backoffLimit(err error) time.Duration {
	switch {
	case err == nil || errors.Is(err, errResync):
		return 0
	case errkind.Is(err, errkind.NotReady) && !errors.Is(err, errStale):
		return notReadyBackoff
	}
	return maxBackoff
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watchSource forwards a source's updates to the core until its stream ends. It
// returns nil when the stream ended only to try a preferred source, and errResync
// when it is to be reopened from the revision in force.
func (w *Watcher) watchSource(ctx context.Context, address string, preferred bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !preferred {
		t := time.AfterFunc(w.sources.jitter(fallbackDuration), func() { cancel(nil) })
		defer t.Stop()
	}
	silenceTimer := time.AfterFunc(maxMissedKeepalives*w.opts.KeepaliveInterval, func() {
		cancel(errkind.New(errkind.Unreachable, "no message from %s within the keepalive time-out", address))
	})
	defer silenceTimer.Stop()

	conn := w.opts.Dialer.Conn(ctx, address)
	defer conn.Close()
	stream, err := controlpb.NewDRPCDistributionClient(conn).Watch(ctx, &controlpb.WatchRequest{Have: w.revisionInForce().ToProto(), Node: w.opts.Node})
	if err != nil {
		return closeCause(ctx, err)
	}
	defer stream.Close()
	h := &streamHandle{source: address, cancel: cancel}
	if !w.sendEvent(ctx, event{stream: h}) {
		return closeCause(ctx, ctx.Err())
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return closeCause(ctx, err)
		}
		silenceTimer.Reset(maxMissedKeepalives * w.opts.KeepaliveInterval)
		if !w.sendEvent(ctx, event{stream: h, update: u}) {
			return closeCause(ctx, ctx.Err())
		}
	}
}

// closeCause returns why the stream ended: the cause of its cancellation if there
// is one, else err.
func closeCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		return nil
	}
	if cause != nil {
		return cause
	}
	return err
}

func (w *Watcher) sendEvent(ctx context.Context, e event) bool {
	select {
	case w.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Watcher) revisionInForce() config.Revision {
	if s := w.declared.Load(); s != nil {
		return s.Revision
	}
	return config.Revision{}
}
