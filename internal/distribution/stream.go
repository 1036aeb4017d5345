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
	// silentKeepalives is how many keepalives may fail to come.
	silentKeepalives = 3
	// fallbackTime is about how long a source that is not among the preferred
	// ones is watched before a better one is tried again.
	fallbackTime = time.Minute
)

var (
	// errResync ends a stream that is to be opened again at once.
	errResync = errors.New("resync")
	// errStale ends the stream of a source that has no news itself.
	errStale = errkind.New(errkind.NotReady, "the source's news is older than the isolation bound")
)

// slot keeps one source watched until ctx ends.
func (w *Watcher) slot(ctx context.Context) {
	for ctx.Err() == nil {
		c, preferred, wait := w.sources.acquire(time.Now(), w.opts.Parallel)
		if c == nil {
			pause(ctx, wait)
			continue
		}
		err := w.watch(ctx, c.address, preferred)
		if errors.Is(err, errResync) {
			pause(ctx, minBackoff)
		} else if err != nil && ctx.Err() == nil {
			w.opts.Log.Debug("source lost", "source", c.address, "kind", errkind.Of(err), "error", err)
		}
		w.sources.release(c, time.Now(), restAfter(err))
	}
}

// restAfter returns the longest rest that an error earns its source: none for a
// resync, a short one for a source that only has no news yet.
func restAfter(err error) time.Duration {
	switch {
	case err == nil || errors.Is(err, errResync):
		return 0
	case errkind.Is(err, errkind.NotReady) && !errors.Is(err, errStale):
		return emptyBackoff
	}
	return maxBackoff
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watch passes a source's updates on until its stream ends. It returns nil when
// the stream ended only to try a better source, and errResync when it is to be
// opened again from the revision in force.
func (w *Watcher) watch(ctx context.Context, address string, preferred bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !preferred {
		t := time.AfterFunc(w.sources.jitter(fallbackTime), func() { cancel(nil) })
		defer t.Stop()
	}
	silence := time.AfterFunc(silentKeepalives*w.opts.Keepalive, func() {
		cancel(errkind.New(errkind.Unreachable, "%s is silent", address))
	})
	defer silence.Stop()

	conn := w.opts.Dialer.Conn(ctx, address)
	defer conn.Close()
	stream, err := controlpb.NewDRPCDistributionClient(conn).Watch(ctx, &controlpb.WatchRequest{Have: w.have().PB(), Node: w.opts.Node})
	if err != nil {
		return endOf(ctx, err)
	}
	defer stream.Close()
	h := &streamHandle{source: address, cancel: cancel}
	if !w.send(ctx, event{stream: h}) {
		return endOf(ctx, ctx.Err())
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return endOf(ctx, err)
		}
		silence.Reset(silentKeepalives * w.opts.Keepalive)
		if !w.send(ctx, event{stream: h, update: u}) {
			return endOf(ctx, ctx.Err())
		}
	}
}

// endOf returns why the stream ended: the reason for which it was cancelled, if
// it was, else err.
func endOf(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		return nil
	}
	if cause != nil {
		return cause
	}
	return err
}

func (w *Watcher) send(ctx context.Context, e event) bool {
	select {
	case w.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// have returns the revision in force.
func (w *Watcher) have() config.Revision {
	if s := w.declared.Load(); s != nil {
		return s.Revision
	}
	return config.Revision{}
}
