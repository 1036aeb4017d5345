package fleetview

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/routing"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Snapshot is what the router holds. It is immutable.
type Snapshot struct {
	// Set is nil before the first configuration.
	Set       *catalog.Set
	Revision  uint64
	Evacuated []string
}

// Options configure a View.
type Options struct {
	// Router names this process; a restart has another name.
	Router string
	Dialer *rpc.Dialer
	// Seeds are the first addresses of directory processes.
	Seeds []string
	// Decode reads a configuration document.
	Decode func(document []byte) (*catalog.Set, error)
	Fleet  *placement.Fleet
	Log    hclog.Logger
}

// View follows the directory.
type View struct {
	opts     Options
	inbox    chan func()
	snapshot atomic.Pointer[Snapshot]
	// confirmedAt is when the confirmation of the newest state was asked for, by
	// the boot clock; 0 before the first.
	confirmedAt atomic.Int64
	// quorumAt is when a process that hears a leader was last heard.
	quorumAt atomic.Int64
	// minoritySince is since when no majority of the directory's processes is
	// reached; 0 while one is.
	minoritySince atomic.Int64
	// reportTo is the link on which the router tells what it has in flight.
	reportTo atomic.Pointer[link]

	// Owned by the goroutine of Run.
	state *publication.State
	table *inventory.Table
	links map[string]*link
	seeds []string
	// members are the directory's processes as last told.
	members []string
	// awaited is the newest revision that a confirmation named, and when that
	// confirmation was asked for.
	awaited   uint64
	awaitedAt time.Duration
	// newest is the newest revision heard of, and heardAt when the first one was
	// heard of that is not held; 0 while none is.
	newest  uint64
	heardAt time.Duration
	// gather fires gatherTime after a router without any state heard of one.
	gather <-chan time.Time
	// fetchedAt is when a process was last asked for what is missing.
	fetchedAt time.Duration
	// listedAt is when all servers were last asked for.
	listedAt time.Duration
	// asked is that process.
	asked *link
}

// New returns a View; Run runs it.
func New(opts Options) *View {
	v := &View{opts: opts, inbox: make(chan func(), inboxSize), table: inventory.New(), links: map[string]*link{}, seeds: opts.Seeds, state: &publication.State{}}
	v.snapshot.Store(&Snapshot{})
	return v
}

const (
	inboxSize = 256
	// gatherTime is how long a router without any state waits for processes to
	// connect, so that routers that start together do not all ask the first one.
	gatherTime = 30 * time.Millisecond
	// fetchTimeout is how long a process has to send what is missing, unasked or
	// asked, before another is asked.
	fetchTimeout = 300 * time.Millisecond
	// listPause is the time between two requests for all servers.
	listPause = time.Second
	// sweepInterval is how often lapses are looked for.
	sweepInterval = 250 * time.Millisecond
)

// Snapshot returns the newest snapshot.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Age returns how long ago the snapshot surely was the newest, and false if it
// was never confirmed.
func (v *View) Age() (time.Duration, bool) {
	at := v.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return clock.Boot() - time.Duration(at), true
}

// QuorumAge returns how long ago a directory process that hears a leader was heard.
func (v *View) QuorumAge() time.Duration {
	return clock.Boot() - time.Duration(v.quorumAt.Load())
}

// MinorityAge returns for how long no majority of the directory's processes has
// been reached; 0 while one is.
func (v *View) MinorityAge() time.Duration {
	since := v.minoritySince.Load()
	if since == 0 {
		return 0
	}
	return clock.Boot() - time.Duration(since)
}

// countReached follows whether a majority is reached.
func (v *View) countReached() {
	reached, members := 0, v.members
	if len(members) == 0 {
		members = v.seeds
	}
	for _, a := range members {
		if l := v.links[a]; l != nil && l.connected {
			reached++
		}
	}
	switch {
	case 2*reached > len(members):
		v.minoritySince.Store(0)
	case v.minoritySince.Load() == 0:
		v.minoritySince.Store(int64(clock.Boot()))
	}
}

// SetSeeds replaces the seeds, as the settings change.
func (v *View) SetSeeds(ctx context.Context, seeds []string) {
	v.post(ctx, func() {
		v.seeds = seeds
		v.reconcile(ctx)
	})
}

func (v *View) post(ctx context.Context, f func()) {
	select {
	case v.inbox <- f:
	case <-ctx.Done():
	}
}

// Run follows the directory until ctx ends.
func (v *View) Run(ctx context.Context) error {
	v.reconcile(ctx)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-v.inbox:
			f()
			v.reconcile(ctx)
		case <-v.gather:
			v.catchUp()
		case <-tick.C:
			if v.table.Expire(time.Now()) {
				v.opts.Fleet.Update(v.table, time.Now())
			}
			v.catchUp()
		}
	}
}

// reconcile opens links to new members and ends those to processes that are
// neither members nor seeds.
func (v *View) reconcile(ctx context.Context) {
	wanted := slices.Concat(v.seeds, v.members)
	for _, a := range wanted {
		if v.links[a] == nil {
			lctx, cancel := context.WithCancel(ctx)
			l := &link{v: v, address: a, wake: make(chan struct{}, 1), stop: cancel}
			v.links[a] = l
			go l.run(lctx)
		}
	}
	for a, l := range v.links {
		if !slices.Contains(wanted, a) {
			l.stop()
			delete(v.links, a)
		}
	}
}

func (v *View) lost(l *link, err error) {
	if l.connected {
		v.opts.Log.Warn("directory process lost", "address", l.address, "error", err, "revision", v.Snapshot().Revision)
	}
	l.connected, l.inQuorum, l.routers, l.load, l.revision = false, false, 0, nil, 0
	v.countReached()
	v.chooseReport()
}

// chooseReport picks the process that the router reports its load to: routers
// spread over the processes, and one is enough for each.
func (v *View) chooseReport() {
	var best *link
	var least uint64
	own := routing.Hash(v.opts.Router)
	for a, l := range v.links {
		if cost := routing.Mix(own, routing.Hash(a)); l.connected && (best == nil || cost < least) {
			best, least = l, cost
		}
	}
	if was := v.reportTo.Swap(best); best != nil && best != was {
		best.nudge() // What it reports to tells it of all servers.
	}
}

// loads sums what the directory's processes know of the routers' load.
func (v *View) loads() {
	sum := map[uint32]int{}
	for _, l := range v.links {
		for server, n := range l.load {
			sum[server] += n
		}
	}
	v.opts.Fleet.SetLoads(sum, time.Now())
}

// took takes one message in.
func (v *View) took(l *link, u update) {
	if v.links[l.address] != l {
		return
	}
	if !l.connected {
		l.connected = true
		v.countReached()
		v.chooseReport()
		v.opts.Log.Info("directory process reached", "address", l.address, "servers", len(u.Announcements), "its-revision", u.Revision)
	}
	if u.Routers > 0 {
		l.inQuorum, l.routers = u.InQuorum, int(u.Routers)
		v.countRouters()
	}
	if len(u.Members) > 0 && l.inQuorum {
		v.members = u.Members
		v.countReached()
	}
	if u.Load != nil {
		l.load = make(map[uint32]int, len(u.Load.Servers))
		for i, server := range u.Load.Servers {
			if i < len(u.Load.InFlight) {
				l.load[server] = int(u.Load.InFlight[i])
			}
		}
		v.loads()
	}
	v.announced(u.Announcements)
	v.heard(l, u.Heard)
	l.revision = max(l.revision, u.Revision)
	v.newest = max(v.newest, u.Revision, u.Newest)
	v.received(l, u.FollowUpdate)
	if u.Confirmed {
		v.quorumAt.Store(int64(clock.Boot()))
		v.confirmed(u.Newest, u.askedAt)
	}
	v.catchUp()
}

func (v *View) countRouters() {
	n := 1
	for _, l := range v.links {
		n = max(n, l.routers)
	}
	v.opts.Fleet.SetRouters(n)
}

func (v *View) announced(as []*fleetpb.Announcement) {
	changed, now := false, time.Now()
	for _, a := range as {
		s := inventory.Decode(a, now)
		switch v.table.Merge(s) {
		case inventory.Changed:
			changed = true
			v.opts.Log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address, "data-centre", s.DataCentre,
				"state", s.State.String(), "born", s.Born, "sequence", s.Sequence, "age-ms", a.AgeMs, "cold-ms", a.ColdMs)
		case inventory.Refreshed:
			v.opts.Fleet.Hear(&s)
		}
	}
	if changed {
		v.opts.Fleet.Update(v.table, time.Now())
	}
}

// heard takes in servers that live on as they were. If one is not known, all are
// asked for.
func (v *View) heard(l *link, hashes []uint32) {
	now, unknown := time.Now(), false
	for _, hash := range hashes {
		if id := v.opts.Fleet.HearAgain(hash, now); id != "" {
			v.table.Hear(id, now)
		} else {
			unknown = true
		}
	}
	if at := clock.Boot(); unknown && at-v.listedAt >= listPause {
		v.listedAt = at
		v.opts.Log.Info("unknown server heard of; all are asked for", "address", l.address)
		l.list.Store(true)
		l.nudge()
	}
}

// catchUp asks for what is missing, one process at a time. The process that the
// router reports to sends new revisions unasked, and is waited for.
func (v *View) catchUp() {
	now := clock.Boot()
	if v.newest <= v.state.Revision {
		v.heardAt = 0
		return
	}
	if v.heardAt == 0 {
		v.heardAt = now
		if v.state.Revision == 0 {
			v.gather = time.After(gatherTime)
		}
	}
	patience := fetchTimeout
	if v.state.Revision == 0 {
		patience = gatherTime
	}
	if now-v.heardAt < patience || v.fetchedAt != 0 && now-v.fetchedAt < fetchTimeout {
		return
	}
	if l := v.source(); l != nil {
		v.fetchedAt, v.asked = now, l
		l.request()
	}
}

// source picks the process to ask: the one that the router reports to, unless it
// was asked last, then any other that holds more.
func (v *View) source() *link {
	var other *link
	for _, l := range v.links {
		if !l.connected || l.revision <= v.state.Revision {
			continue
		}
		if l == v.reportTo.Load() && l != v.asked {
			return l
		}
		if other == nil || other == v.asked {
			other = l
		}
	}
	return other
}

// received takes in what leads to a newer revision.
func (v *View) received(l *link, u *fleetpb.FollowUpdate) {
	next := v.state
	var err error
	switch {
	case u.State != nil:
		next, err = publication.Decode(u.State)
	case u.StepsFrom <= v.state.Revision && u.StepsFrom+uint64(len(u.Steps)) > v.state.Revision:
		for _, cmd := range u.Steps[v.state.Revision-u.StepsFrom:] {
			if next, err = next.After(cmd); err != nil {
				break
			}
		}
	}
	if err != nil {
		v.opts.Log.Error("newer state cannot be read", "address", l.address, "revision", u.Revision, "held-revision", v.state.Revision, "error", err)
		return
	}
	v.adopt(next)
	if u.State != nil {
		// The process sends others the whole state once this one has it.
		l.nudge()
	}
}

// adopt publishes a newer state.
func (v *View) adopt(st *publication.State) {
	was := v.Snapshot()
	if st.Revision <= was.Revision {
		return
	}
	next := &Snapshot{Set: was.Set, Revision: st.Revision, Evacuated: st.Evacuated}
	if c := st.Configuration; c != nil && (was.Set == nil || c.Version > was.Set.Version) {
		set, err := v.opts.Decode(c.Document)
		if err != nil {
			v.opts.Log.Error("configuration cannot be used", "version", c.Version, "revision", st.Revision, "error", err)
			return
		}
		next.Set = set
	}
	v.state, v.fetchedAt, v.asked = st, 0, nil
	v.snapshot.Store(next)
	v.opts.Fleet.SetPlaces(st.Places, time.Now())
	v.opts.Fleet.SetOut(next.Evacuated, next.coldTime, time.Now())
	var version uint64
	if next.Set != nil {
		version = next.Set.Version
	}
	v.opts.Log.Info("configuration in force", "version", version, "revision", next.Revision, "was-revision", was.Revision, "evacuated", next.Evacuated)
	if v.awaited != 0 && next.Revision >= v.awaited {
		v.confirmed(v.awaited, v.awaitedAt)
	}
}

func (s *Snapshot) coldTime(service string) time.Duration {
	if s.Set == nil || s.Set.Service(service) == nil {
		return 0
	}
	return s.Set.Service(service).ColdTime
}

// confirmed takes in that newest was the newest revision at some time after
// askedAt.
func (v *View) confirmed(newest uint64, askedAt time.Duration) {
	if newest > v.Snapshot().Revision {
		if newest > v.awaited {
			v.awaited, v.awaitedAt = newest, askedAt
		}
		return
	}
	if int64(askedAt) > v.confirmedAt.Load() {
		v.confirmedAt.Store(int64(askedAt))
	}
}
