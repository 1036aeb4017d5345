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
	// DefaultIsolationBound is the maximum age of a node's latest confirmation.
	DefaultIsolationBound = 10 * time.Second
	// DefaultStartupTimeout is how long a starting node waits for a recent
	// confirmation.
	DefaultStartupTimeout = 5 * time.Second
	// DefaultParallelSources is the number of sources watched at a time.
	DefaultParallelSources = 2
)

// stateCheckInterval is the interval at which isolation and readiness are
// evaluated.
const stateCheckInterval = 250 * time.Millisecond

// pauseThreshold is how long the process may be suspended or stalled before the age
// of messages buffered in its streams is considered unknown.
const pauseThreshold = 2 * time.Second

// Options configures a Watcher. Node, Dialer and at least one source are required.
type Options struct {
	// Node is the name that the node sends to its sources.
	Node string
	// Sources are the fleet addresses of the preferred sources. FallbackSources are
	// those watched when too few of Sources are available.
	Sources         []string
	FallbackSources []string
	Dialer          *rpc.Dialer
	// DataDir is the data folder, in which the last configuration is stored; it is
	// not stored if DataDir is empty.
	DataDir string
	// IsolationBound, StartupTimeout, KeepaliveInterval and ParallelSources have
	// defaults.
	IsolationBound    time.Duration
	StartupTimeout    time.Duration
	KeepaliveInterval time.Duration
	ParallelSources   int
	// Relay, if set, receives every configuration and confirmation.
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

	// core is owned by the goroutine of Run.
	core *core
	// persistAt is when storing the configuration is tried again, zero if it is stored, and
	// persistWait the time since the attempt before.
	persistAt   time.Time
	persistWait time.Duration
	// streams holds the open stream of each source; it is owned by the goroutine of
	// Run. Messages of any other stream are dropped.
	streams map[string]*streamHandle

	current   atomic.Pointer[config.Set]
	declared  atomic.Pointer[config.Set]
	confirmed atomic.Pointer[time.Time]
	ready     atomic.Bool

	mu          sync.Mutex
	subscribers []func(*config.Set)
}

// event is sent by a stream to the goroutine that owns the core.
type event struct {
	stream *streamHandle
	// update is nil for the event that reports the opening of the stream.
	update *controlpb.ConfigUpdate
}

// streamHandle identifies one open stream.
type streamHandle struct {
	source string
	cancel context.CancelCauseFunc
}

// NewWatcher returns a Watcher; Run starts it.
func NewWatcher(o Options) *Watcher {
	setDefault(&o.IsolationBound, DefaultIsolationBound)
	setDefault(&o.StartupTimeout, DefaultStartupTimeout)
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.ParallelSources, DefaultParallelSources)
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.fs == nil {
		o.fs = vfs.Default
	}
	w := &Watcher{
		opts:    o,
		sources: newSources(o.Node, o.Sources, o.FallbackSources),
		events:  make(chan event),
		streams: map[string]*streamHandle{},
	}
	minSources := min(o.ParallelSources, len(o.Sources)+len(o.FallbackSources))
	w.core = newCore(o.IsolationBound, o.StartupTimeout, minSources, time.Now())
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

// Current returns the configuration in force with all defaults applied, or nil
// before the first one.
func (w *Watcher) Current() *config.Set { return w.current.Load() }

// Declared returns the configuration in force as declared, without defaults, or
// nil.
func (w *Watcher) Declared() *config.Set { return w.declared.Load() }

// Isolated reports whether the node's latest confirmation is older than the
// isolation bound. New work is then restricted to the node's own data centre.
func (w *Watcher) Isolated() bool {
	at := w.confirmed.Load()
	return at == nil || isolatedAt(*at, w.opts.IsolationBound, time.Now())
}

// Ready reports whether the node has the newest configuration that it can obtain.
// Once true it stays true.
func (w *Watcher) Ready() bool { return w.ready.Load() }

// Subscribe calls f with the configuration in force, if there is one, and then with
// each new one, in order and one at a time. f must not block.
func (w *Watcher) Subscribe(f func(*config.Set)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.current.Load(); s != nil {
		f(s)
	}
	w.subscribers = append(w.subscribers, f)
}

// Run restores the stored configuration and watches the sources until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	w.restore()
	g, ctx := errgroup.WithContext(ctx)
	for range w.opts.ParallelSources {
		g.Go(func() error { w.watchSources(ctx); return nil })
	}
	g.Go(func() error { w.runCore(ctx); return nil })
	return g.Wait()
}

func (w *Watcher) restore() {
	if w.store == nil {
		return
	}
	s, err := w.store.load()
	if err != nil {
		w.opts.Log.Error("stored configuration not used", "kind", errkind.Of(err), "error", err)
		return
	}
	if w.core.restore(s).publish {
		w.publish()
	}
}

// runCore is the event loop that owns the core.
func (w *Watcher) runCore(ctx context.Context) {
	tick := time.NewTicker(stateCheckInterval)
	defer tick.Stop()
	isolated := true
	lastIteration := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.events:
			if now := time.Now(); clock.Elapsed(lastIteration, now) > pauseThreshold {
				e.stream.cancel(errResync)
			} else {
				w.handleEvent(e, now)
			}
		case <-tick.C:
			w.persistOverdue(time.Now())
		}
		now := time.Now()
		if pause := clock.Elapsed(lastIteration, now); pause > pauseThreshold {
			w.opts.Log.Warn("process was paused; reopening the streams of all sources", "pause", pause)
			w.core.addAge(pause - now.Sub(lastIteration))
			w.publishConfirmed()
			w.closeStreams()
		}
		lastIteration = now
		if !w.ready.Load() && w.core.ready(now) {
			w.ready.Store(true)
			w.opts.Log.Info("configuration ready", "epoch", w.core.revision().Epoch, "revision", w.core.revision().Number)
		}
		if nowIsolated := w.core.isolated(now); nowIsolated != isolated {
			isolated = nowIsolated
			w.opts.Log.Warn("isolation changed", "isolated", isolated)
		}
	}
}

// publishConfirmed makes the time of the latest confirmation visible to Isolated.
func (w *Watcher) publishConfirmed() {
	if at := w.core.confirmedAt; !at.IsZero() {
		w.confirmed.Store(&at)
	}
}

// closeStreams closes all streams, because their buffered messages may have waited
// for a long time and their age is unknown.
func (w *Watcher) closeStreams() {
	for source, h := range w.streams {
		h.cancel(errResync)
		delete(w.streams, source)
	}
}

func (w *Watcher) handleEvent(e event, now time.Time) {
	source := e.stream.source
	if e.update == nil {
		w.core.streamOpened(source)
		w.streams[source] = e.stream
		return
	}
	if w.streams[source] != e.stream {
		e.stream.cancel(errResync)
		return
	}
	eff := w.core.receive(source, e.update, now)
	if eff.err != nil {
		w.opts.Log.Error("update rejected", "source", source, "error", eff.err)
	}
	if eff.publish {
		w.persist(now)
		w.publish()
	}
	if eff.confirmed {
		w.publishConfirmed()
		if w.opts.Relay != nil {
			w.opts.Relay.Confirm(w.core.confirmedAt)
		}
	}
	if reason := eff.closeReason(); reason != nil {
		e.stream.cancel(reason)
		delete(w.streams, source)
	}
}

// closeReason returns why the source's stream must be closed, or nil.
func (e effects) closeReason() error {
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

const (
	// A configuration that could not be stored is stored again after minPersistInterval, then
	// after twice the time each, up to maxPersistInterval.
	minPersistInterval = time.Second
	maxPersistInterval = 30 * time.Second
)

// persist stores the configuration before it comes into force, so that a restart
// does not begin with an older revision. If that fails, the configuration comes into force
// all the same.
func (w *Watcher) persist(now time.Time) {
	if w.store == nil {
		return
	}
	failedBefore := !w.persistAt.IsZero()
	if err := w.store.save(w.core.declared); err != nil {
		w.persistWait = min(maxPersistInterval, max(minPersistInterval, 2*w.persistWait))
		w.persistAt = now.Add(w.persistWait)
		w.opts.Log.Error("configuration not stored: a restart would begin with an older one", "revision", w.core.declared.Revision, "retry-after", w.persistWait, "error", err)
		return
	}
	w.persistAt, w.persistWait = time.Time{}, 0
	if failedBefore {
		w.opts.Log.Info("configuration stored again", "revision", w.core.declared.Revision)
	}
}

// persistOverdue stores the configuration again if that failed and is due.
func (w *Watcher) persistOverdue(now time.Time) {
	if !w.persistAt.IsZero() && !now.Before(w.persistAt) {
		w.persist(now)
	}
}

func (w *Watcher) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.declared.Store(w.core.declared)
	w.current.Store(w.core.defaulted)
	if w.opts.Relay != nil {
		if err := w.opts.Relay.Publish(w.core.declared); err != nil {
			w.opts.Log.Error("configuration not relayed", "error", err)
		}
	}
	for _, f := range w.subscribers {
		f(w.core.defaulted)
	}
	w.opts.Log.Info("configuration in force", "epoch", w.core.revision().Epoch, "revision", w.core.revision().Number)
}
