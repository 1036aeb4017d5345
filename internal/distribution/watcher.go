package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Defaults of Options.
const (
	// DefaultIsolationBound is how old a node's news may be.
	DefaultIsolationBound = 10 * time.Second
	// DefaultStartupWait is how long a starting node waits for fresh news.
	DefaultStartupWait = 5 * time.Second
	// DefaultParallel is how many sources are watched at a time.
	DefaultParallel = 2
)

// stateInterval is how often isolation and readiness are looked at.
const stateInterval = 250 * time.Millisecond

// pauseLimit is how long the process may stand still before the age of what its
// streams hold is in doubt.
const pauseLimit = 2 * time.Second

// Options are a Watcher's parameters. Node, Dialer and one source are needed.
type Options struct {
	// Node is the name under which the node asks.
	Node string
	// Sources are the fleet addresses to watch, Fallback those to watch when
	// too few of Sources answer.
	Sources  []string
	Fallback []string
	Dialer   *rpc.Dialer
	// DataDir is the folder that keeps the last configuration; empty for none.
	DataDir string
	// IsolationBound, StartupWait, Keepalive and Parallel have defaults.
	IsolationBound time.Duration
	StartupWait    time.Duration
	Keepalive      time.Duration
	Parallel       int
	// Relay, if set, is given every configuration and confirmation.
	Relay *Relay
	Log   hclog.Logger

	// fs replaces the file system in tests.
	fs vfs.FS
}

// Watcher holds the newest configuration that the node knows of. Its methods
// are safe for concurrent use.
type Watcher struct {
	opts    Options
	sources *sources
	store   *store
	events  chan event

	// core belongs to the goroutine of Run.
	core *core
	// streams holds the open stream of each source; of Run's goroutine. Messages
	// of any other stream are dropped.
	streams map[string]*streamHandle

	current   atomic.Pointer[config.Set]
	declared  atomic.Pointer[config.Set]
	confirmed atomic.Pointer[time.Time]
	ready     atomic.Bool

	mu   sync.Mutex
	subs []func(*config.Set)
}

// event is what a stream tells the goroutine that owns the core.
type event struct {
	stream *streamHandle
	// update is nil when the stream has just been opened.
	update *controlpb.ConfigUpdate
}

// streamHandle stands for one open stream.
type streamHandle struct {
	source string
	cancel context.CancelCauseFunc
}

// NewWatcher returns a Watcher; Run starts it.
func NewWatcher(o Options) *Watcher {
	setDefault(&o.IsolationBound, DefaultIsolationBound)
	setDefault(&o.StartupWait, DefaultStartupWait)
	setDefault(&o.Keepalive, DefaultKeepalive)
	setDefault(&o.Parallel, DefaultParallel)
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.fs == nil {
		o.fs = vfs.Default
	}
	w := &Watcher{
		opts:    o,
		sources: newSources(o.Node, o.Sources, o.Fallback),
		events:  make(chan event),
		streams: map[string]*streamHandle{},
	}
	quorum := min(o.Parallel, len(o.Sources)+len(o.Fallback))
	w.core = newCore(o.IsolationBound, o.StartupWait, quorum, time.Now())
	if o.DataDir != "" {
		w.store = &store{fs: o.fs, dir: o.DataDir}
	}
	return w
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Current returns the configuration in force with all defaults filled in, or
// nil before the first.
func (w *Watcher) Current() *config.Set { return w.current.Load() }

// Declared returns the configuration in force as it was declared, or nil.
func (w *Watcher) Declared() *config.Set { return w.declared.Load() }

// Isolated reports whether the node's news is older than the isolation bound.
// New work is then restricted to the node's own data centre.
func (w *Watcher) Isolated() bool {
	at := w.confirmed.Load()
	return at == nil || isolatedAt(*at, w.opts.IsolationBound, time.Now())
}

// Ready reports whether the node has the newest configuration that it can get.
// Once true it stays true.
func (w *Watcher) Ready() bool { return w.ready.Load() }

// Subscribe calls f with the configuration in force, if there is one, and then
// with each new one, in order and one at a time. f must return soon.
func (w *Watcher) Subscribe(f func(*config.Set)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.current.Load(); s != nil {
		f(s)
	}
	w.subs = append(w.subs, f)
}

// Run restores the kept configuration and watches the sources until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.restore()
	g, ctx := errgroup.WithContext(ctx)
	for range w.opts.Parallel {
		g.Go(func() error { w.slot(ctx); return nil })
	}
	g.Go(func() error { w.own(ctx); return nil })
	return g.Wait()
}

func (w *Watcher) restore() {
	if w.store == nil {
		return
	}
	s, err := w.store.load()
	if err != nil {
		w.opts.Log.Error("kept configuration not used", "kind", errkind.Of(err), "error", err)
		return
	}
	if w.core.restore(s).publish {
		w.publish()
	}
}

// own runs the core.
func (w *Watcher) own(ctx context.Context) {
	tick := time.NewTicker(stateInterval)
	defer tick.Stop()
	isolated := true
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.events:
			if now := time.Now(); clock.Elapsed(last, now) > pauseLimit {
				e.stream.cancel(errResync)
			} else {
				w.handle(e, now)
			}
		case <-tick.C:
		}
		now := time.Now()
		if pause := clock.Elapsed(last, now); pause > pauseLimit {
			w.opts.Log.Warn("process was paused; asking all sources again", "pause", pause)
			w.core.age(pause - now.Sub(last))
			w.storeConfirmed()
			w.dropStreams()
		}
		last = now
		if !w.ready.Load() && w.core.ready(now) {
			w.ready.Store(true)
			w.opts.Log.Info("configuration ready", "epoch", w.core.revision().Epoch, "revision", w.core.revision().Number)
		}
		if i := w.core.isolated(now); i != isolated {
			isolated = i
			w.opts.Log.Warn("isolation changed", "isolated", isolated)
		}
	}
}

// storeConfirmed makes the moment of the last confirmation visible to Isolated.
func (w *Watcher) storeConfirmed() {
	if at := w.core.confirmed; !at.IsZero() {
		w.confirmed.Store(&at)
	}
}

// dropStreams ends all streams, because what they hold may have waited for long
// and its age can't be told.
func (w *Watcher) dropStreams() {
	for source, h := range w.streams {
		h.cancel(errResync)
		delete(w.streams, source)
	}
}

func (w *Watcher) handle(e event, now time.Time) {
	source := e.stream.source
	if e.update == nil {
		w.core.opened(source)
		w.streams[source] = e.stream
		return
	}
	if w.streams[source] != e.stream {
		e.stream.cancel(errResync)
		return
	}
	fx := w.core.receive(source, e.update, now)
	if fx.err != nil {
		w.opts.Log.Error("update refused", "source", source, "error", fx.err)
	}
	if fx.publish {
		w.keep()
		w.publish()
	}
	if fx.confirmed {
		w.storeConfirmed()
		if w.opts.Relay != nil {
			w.opts.Relay.Confirm(w.core.confirmed)
		}
	}
	if reason := fx.endsStream(); reason != nil {
		e.stream.cancel(reason)
		delete(w.streams, source)
	}
}

// endsStream returns why the source's stream must end, or nil.
func (e effects) endsStream() error {
	switch {
	case e.err != nil:
		return e.err
	case e.resync:
		return errResync
	case e.stale:
		return errStale
	}
	return nil
}

// keep saves the configuration before it is in force, so that a restart does
// not begin behind it.
func (w *Watcher) keep() {
	if w.store == nil {
		return
	}
	if err := w.store.save(w.core.declared); err != nil {
		w.opts.Log.Error("configuration not kept", "error", err)
	}
}

func (w *Watcher) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.declared.Store(w.core.declared)
	w.current.Store(w.core.filled)
	if w.opts.Relay != nil {
		if err := w.opts.Relay.Publish(w.core.declared); err != nil {
			w.opts.Log.Error("configuration not relayed", "error", err)
		}
	}
	for _, f := range w.subs {
		f(w.core.filled)
	}
	w.opts.Log.Info("configuration in force", "epoch", w.core.revision().Epoch, "revision", w.core.revision().Number)
}
