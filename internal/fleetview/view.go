package fleetview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// Snapshot is the replicated state that the router has. It is immutable.
type Snapshot struct {
	// Configuration is nil until the first configuration is received.
	Configuration *catalog.Set
	Revision      uint64
	Evacuated     []string
	// Quarantined are the subjects whose requests the router refuses.
	Quarantined map[quarantine.Subject]*Quarantine
	// Rollouts holds the last rollout of each service.
	Rollouts map[string]*rollout.Rollout
	// former are the services that routes had before lately.
	former []formerService
}

// Options configures a View.
type Options struct {
	// RouterID identifies this run of the process; it differs after a restart.
	RouterID string
	// DataCentre is the router's data centre. One of the directory processes that the
	// router follows is of this data centre, if there is one.
	DataCentre string
	Dialer     *rpc.Dialer
	// Seeds are the addresses of directory processes to connect to first.
	Seeds []string
	// Decode parses a configuration document.
	Decode func(document []byte) (*catalog.Set, error)
	// HandoffAddress returns the address at which this router takes over requests of other
	// routers, or "" while it takes none; nil if it never does.
	HandoffAddress func() string
	Fleet          *placement.Fleet
	Log            hclog.Logger
}

// View follows the directory. Run must be called; the other exported methods are safe
// for concurrent use.
type View struct {
	opts     Options
	inbox    chan func()
	snapshot atomic.Pointer[Snapshot]
	// confirmedPingSentAt is when the ping was sent whose confirmation covers the
	// snapshot, by the boot clock; 0 before the first confirmation.
	confirmedPingSentAt atomic.Int64
	// quorumConfirmedAt is when a confirmation by the directory's quorum was last
	// received, by the boot clock.
	quorumConfirmedAt atomic.Int64
	// outOfQuorumSince is the time since which the router has had no session with a
	// directory process that is in quorum, by the boot clock; 0 while it has one.
	outOfQuorumSince atomic.Int64
	// reportTo is the link on which the router reports its requests in flight.
	reportTo atomic.Pointer[link]
	// handoffs are the routers that take over requests, as last received from each directory
	// process, by its address; handoffList holds all of them.
	handoffs    map[string][]string
	handoffList atomic.Pointer[[]string]
	// monitor collects what the router observes of servers that end under requests.
	monitor *quarantine.Monitor
	// origins holds the origins of streams that this router began or has asked for.
	origins *streamorigin.Recorder
	// syncs says until when the router knows which incarnations of servers run.
	syncs syncs
	// attempts counts the attempts at each version of services with a running rollout.
	attempts *rollout.Recorder

	// The fields below are owned by the goroutine of Run.
	state *publication.State
	table *inventory.Table
	links map[string]*link
	seeds []string
	// members are the directory's processes, as last received.
	members []member
	// membersFromQuorum is true if members came from a process in quorum.
	membersFromQuorum bool
	selector          *selector
	// reselect fires when the choice of the links is next due. linksChanged is set when
	// it is due at once.
	reselect     <-chan time.Time
	linksChanged bool
	// pendingRevision is the newest revision that was confirmed before the router had
	// it, and pendingPingSentAt is when the ping of that confirmation was sent.
	pendingRevision   uint64
	pendingPingSentAt time.Duration
	// newestRevision is the newest revision known to exist. behindSince is when the
	// router first learned of a revision that it does not have; 0 while it is up to
	// date.
	newestRevision uint64
	behindSince    time.Duration
	// initialFetch fires initialFetchDelay after a router without any state learned of
	// a revision.
	initialFetch <-chan time.Time
	// lastFetchAt is when missing revisions were last requested.
	lastFetchAt time.Duration
	// lastListAt is when the list of all backend servers was last requested.
	lastListAt time.Duration
	// lastFetchFrom is the link on which missing revisions were last requested.
	lastFetchFrom *link
	history       history
}

// New returns a View that does nothing until Run is called.
func New(opts Options) *View {
	v := &View{
		opts: opts, inbox: make(chan func(), inboxSize), table: inventory.New(), links: map[string]*link{}, seeds: opts.Seeds, state: &publication.State{},
		handoffs: map[string][]string{}, selector: newSelector(opts.RouterID, opts.DataCentre), monitor: quarantine.NewMonitor(), origins: streamorigin.NewRecorder(), attempts: rollout.NewRecorder(opts.RouterID),
	}
	v.snapshot.Store(&Snapshot{})
	v.table.SetServed(func(service string) bool { return v.Snapshot().serves(service) })
	v.handoffList.Store(&[]string{})
	return v
}

const (
	inboxSize = 256
	// initialFetchDelay is how long a router without any state waits for sessions with
	// further directory processes, so that routers that start together do not all
	// fetch from the first one.
	initialFetchDelay = 30 * time.Millisecond
	// fetchTimeout is how long the router waits for missing revisions, both before it
	// first requests them and before it requests them from another process.
	fetchTimeout = 300 * time.Millisecond
	// minListInterval is the minimum interval between requests for all backend
	// servers.
	minListInterval = time.Second
	// sweepInterval is how often expired servers are removed and overdue fetches are
	// checked.
	sweepInterval = 250 * time.Millisecond
)

// Snapshot returns the newest snapshot.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// ConfirmationAge returns an upper bound on how long ago the snapshot was confirmed
// to be the newest, and false if it was never confirmed.
func (v *View) ConfirmationAge() (time.Duration, bool) {
	at := v.ConfirmedAt()
	if at == 0 {
		return 0, false
	}
	return clock.SinceBoot() - at, true
}

// ConfirmedAt returns a time, by the boot clock, after which the snapshot was confirmed to be the newest; 0 if it
// never was.
func (v *View) ConfirmedAt() time.Duration { return time.Duration(v.confirmedPingSentAt.Load()) }

// QuorumAge returns the time since a confirmation by the directory's quorum was last
// received.
func (v *View) QuorumAge() time.Duration {
	return clock.SinceBoot() - time.Duration(v.quorumConfirmedAt.Load())
}

// OutOfQuorumDuration returns how long the router has had no session with a directory
// process that is in quorum; 0 while it has one.
func (v *View) OutOfQuorumDuration() time.Duration {
	since := v.outOfQuorumSince.Load()
	if since == 0 {
		return 0
	}
	return clock.SinceBoot() - time.Duration(since)
}

// updateOutOfQuorum updates outOfQuorumSince after a change of the links.
func (v *View) updateOutOfQuorum() {
	for _, l := range v.links {
		if l.connected && l.inQuorum {
			v.outOfQuorumSince.Store(0)
			return
		}
	}
	if v.outOfQuorumSince.Load() == 0 {
		v.outOfQuorumSince.Store(int64(clock.SinceBoot()))
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (v *View) SetSeeds(ctx context.Context, seeds []string) {
	v.enqueue(ctx, func() {
		v.seeds, v.linksChanged = seeds, true
	})
}

func (v *View) enqueue(ctx context.Context, f func()) {
	select {
	case v.inbox <- f:
	case <-ctx.Done():
	}
}

// Run follows the directory until ctx is done.
func (v *View) Run(ctx context.Context) error {
	v.reconcileLinks(ctx)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-v.inbox:
			f()
			if v.linksChanged {
				v.reconcileLinks(ctx)
			}
		case <-v.reselect:
			v.reconcileLinks(ctx)
		case <-v.initialFetch:
			v.catchUp()
		case <-tick.C:
			if v.table.Expire(time.Now()) {
				v.opts.Fleet.Update(v.table, time.Now())
			}
			v.catchUp()
		}
	}
}

// reconcileLinks opens and closes links as the selector chooses.
func (v *View) reconcileLinks(ctx context.Context) {
	now := clock.SinceBoot()
	states := make([]linkState, 0, len(v.links))
	for _, l := range v.links {
		states = append(states, linkState{address: l.address, connected: l.connected, openedAt: l.openedAt, outOfQuorumSince: l.outOfQuorumSince})
	}
	want := sessionCount
	if v.confirmedPingSentAt.Load() == 0 {
		want = 1 // Routers that start together leave the VMs of the directory to its election.
	}
	open, closed, next := v.selector.choose(v.selector.preference(v.members, v.seeds), states, want, now)
	for _, a := range open {
		lctx, cancel := context.WithCancel(ctx)
		l := &link{view: v, address: a, wake: make(chan struct{}, 1), report: make(chan struct{}, 1), cancel: cancel, openedAt: now}
		v.links[a] = l
		go l.run(lctx)
	}
	for _, a := range closed {
		v.removeLink(v.links[a])
	}
	v.chooseReportLink()
	v.linksChanged, v.reselect = false, nil
	if next != 0 {
		v.reselect = time.After(next - now)
	}
}

func (v *View) onDisconnect(l *link, err error) {
	if v.links[l.address] != l {
		return
	}
	now := clock.SinceBoot()
	lasting := l.connected && now-l.openedAt > receiveTimeout
	v.opts.Log.Warn("directory process lost", "address", l.address, "was-connected", l.connected, "after", (now - l.openedAt).Round(time.Millisecond), "error", err, "revision", v.Snapshot().Revision)
	v.selector.recordEnd(l.address, lasting, now)
	v.removeLink(l)
}

func (v *View) removeLink(l *link) {
	l.cancel()
	delete(v.links, l.address)
	v.linksChanged = true
	v.updateOutOfQuorum()
	v.chooseReportLink()
}

// chooseReportLink picks the directory process to which this router reports its load:
// the most preferred one of those that it follows. One that has been out of quorum for
// longer than an election takes comes after the others.
func (v *View) chooseReportLink() {
	var best *link
	now := clock.SinceBoot()
	isolated := func(l *link) bool {
		return l.outOfQuorumSince != 0 && now-l.outOfQuorumSince >= outOfQuorumTolerance
	}
	for _, a := range v.selector.preference(v.members, v.seeds) {
		if l := v.links[a]; l != nil && l.connected && (best == nil || isolated(best) && !isolated(l)) {
			best = l
		}
	}
	if previous := v.reportTo.Swap(best); best != nil && best != previous {
		best.reportsSince = now
		best.sendNow() // The process that receives the first report sends the list of all servers.
	}
}

// onUpdate handles one message from a directory process.
func (v *View) onUpdate(l *link, u update) {
	if v.links[l.address] != l {
		return
	}
	if !l.connected {
		l.connected = true
		v.opts.Log.Info("directory process reached", "address", l.address, "after", (clock.SinceBoot() - l.openedAt).Round(time.Millisecond), "in-quorum", u.InQuorum, "its-revision", u.Revision)
		v.updateLink(l, u.InQuorum)
	}
	if u.Routers > 0 {
		l.routers = int(u.Routers)
		v.updateRouterCount()
		if u.InQuorum != l.inQuorum {
			v.updateLink(l, u.InQuorum)
		}
	}
	// Before the first list from a process in quorum, any other one tells more than the
	// seeds, on which all routers that start together would stay.
	if len(u.Members) > 0 && (l.inQuorum || !v.membersFromQuorum) {
		v.membersFromQuorum = l.inQuorum
		v.members = make([]member, len(u.Members))
		for i, a := range u.Members {
			v.members[i].address = a
			if i < len(u.MemberDataCentres) {
				v.members[i].dataCentre = u.MemberDataCentres[i]
			}
		}
		v.linksChanged = true
		v.chooseReportLink()
	}
	if u.ReportMs > 0 {
		l.reportInterval.Store(int64(time.Duration(u.ReportMs) * time.Millisecond))
	}
	if u.Load != nil && l == v.reportTo.Load() {
		v.setLoads(u.Load)
	}
	if u.ReportMs > 0 && l == v.reportTo.Load() {
		v.monitor.SetSuspects(u.Suspects, time.Now())
	}
	if u.Handoffs != nil {
		v.setHandoffs(l.address, u.Handoffs.Addresses)
	}
	v.mergeAnnouncements(u.Announcements)
	if u.ServedVersions != nil {
		v.setServedVersions(l, inventory.DecodeServedVersions(u.ServedVersions.Services))
	}
	v.origins.ConfirmServers(u.ServersKnownStreams)
	if len(u.Origins)+len(u.UnknownStreams) > 0 {
		v.origins.Answer(u.Origins, u.UnknownStreams, u.ServersKnown, time.Now())
	}
	v.refreshServers(l, u.Heard)
	v.recordSync(l, u)
	l.revision = max(l.revision, u.Revision)
	v.newestRevision = max(v.newestRevision, u.Revision, u.Newest)
	v.applyUpdate(l, u.FollowUpdate)
	if u.Confirmed {
		v.quorumConfirmedAt.Store(int64(clock.SinceBoot()))
		if u.Newest < u.pingRevision && u.pingRevision <= v.state.Revision || v.isOtherHistory(u) {
			v.discardState(l, u.Newest)
		} else {
			v.recordConfirmation(u.Newest, u.pingSentAt)
		}
	}
	v.catchUp()
}

// updateLink records whether the process of a link is in quorum.
func (v *View) updateLink(l *link, inQuorum bool) {
	l.inQuorum = inQuorum
	switch {
	case inQuorum:
		l.outOfQuorumSince = 0
	case l.outOfQuorumSince == 0:
		l.outOfQuorumSince = clock.SinceBoot()
	}
	v.linksChanged = true
	v.updateOutOfQuorum()
	v.chooseReportLink()
}

// setLoads passes the load of all routers to the fleet.
func (v *View) setLoads(load *fleetpb.Load) {
	sum := make(map[uint32]int, len(load.Servers))
	inventory.AddLoad(sum, load)
	v.opts.Fleet.SetLoads(sum, time.Now())
}

func (v *View) updateRouterCount() {
	n := 1
	for _, l := range v.links {
		n = max(n, l.routers)
	}
	v.opts.Fleet.SetRouters(n)
}

func (v *View) mergeAnnouncements(announcements []*fleetpb.Announcement) {
	changed, now := false, time.Now()
	for _, a := range announcements {
		s := inventory.Decode(a, now)
		switch v.table.Merge(s) {
		case inventory.Changed:
			changed = true
			v.opts.Log.Info("server changed", "server", s.ID, "service", s.Service, "address", s.Address, "data-centre", s.DataCentre, "version", s.Version,
				"state", s.State.String(), "born", s.Born, "sequence", s.Sequence, "age-ms", a.AgeMs, "cold-ms", a.ColdMs)
		case inventory.Refreshed:
			v.opts.Fleet.UpdateAnnouncement(&s)
		}
	}
	if changed {
		v.opts.Fleet.Update(v.table, time.Now())
	}
}

// refreshServers records that backend servers are alive and unchanged. If one of them
// is unknown, it requests the list of all backend servers.
func (v *View) refreshServers(l *link, hashes []uint32) {
	now, unknown := time.Now(), false
	for _, hash := range hashes {
		if id := v.opts.Fleet.RefreshHeartbeat(hash, now); id != "" {
			v.table.RefreshHeartbeat(id, now)
		} else {
			unknown = true
		}
	}
	if at := clock.SinceBoot(); unknown && at-v.lastListAt >= minListInterval {
		v.lastListAt = at
		v.opts.Log.Info("heartbeat of an unknown server received; requesting the list of all servers", "address", l.address)
		l.listRequested.Store(true)
		l.sendNow()
	}
}

// catchUp requests missing revisions, from one directory process at a time. The
// process that receives the router's load reports sends new revisions without being
// asked, so catchUp first gives it time to do so.
func (v *View) catchUp() {
	now := clock.SinceBoot()
	if v.newestRevision <= v.state.Revision {
		v.behindSince = 0
		return
	}
	if v.behindSince == 0 {
		v.behindSince = now
		if v.state.Revision == 0 {
			v.initialFetch = time.After(initialFetchDelay)
		}
	}
	delay := fetchTimeout
	if v.state.Revision == 0 {
		delay = initialFetchDelay
	}
	if now-v.behindSince < delay || v.lastFetchAt != 0 && now-v.lastFetchAt < fetchTimeout {
		return
	}
	if l := v.fetchSource(); l != nil {
		v.lastFetchAt, v.lastFetchFrom = now, l
		l.requestFetch()
	}
}

// fetchSource picks the process to fetch from: the one that receives the router's load
// reports, unless it was the last one asked, else any other that has a newer revision.
func (v *View) fetchSource() *link {
	var other *link
	for _, l := range v.links {
		if !l.connected || l.revision <= v.state.Revision {
			continue
		}
		if l == v.reportTo.Load() && l != v.lastFetchFrom {
			return l
		}
		if other == nil || other == v.lastFetchFrom {
			other = l
		}
	}
	return other
}

// applyUpdate installs the newer state that a message contains, either as a whole or
// as commands that follow the current revision.
func (v *View) applyUpdate(l *link, u *fleetpb.FollowUpdate) {
	next := v.state
	var passed []*publication.Configuration
	var err error
	switch {
	case u.State != nil:
		next, err = publication.Decode(u.State)
	case u.StepsFrom <= v.state.Revision && u.StepsFrom+uint64(len(u.Steps)) > v.state.Revision:
		for _, cmd := range u.Steps[v.state.Revision-u.StepsFrom:] {
			before := next.Configuration
			if next, err = next.Apply(cmd); err != nil {
				break
			}
			if before != v.state.Configuration && before != next.Configuration {
				passed = append(passed, before)
			}
		}
	}
	if err != nil {
		v.opts.Log.Error("newer state cannot be decoded; keeping the current one", "address", l.address, "revision", u.Revision, "held-revision", v.state.Revision, "error", err)
		return
	}
	v.installState(next, passed...)
	if u.State != nil {
		// The process limits how many whole states it sends at once. Reporting the new
		// revision now lets it send the next one.
		l.sendNow()
	}
}

// installState publishes a snapshot of a newer state, unless its configuration is
// invalid. passed are the configurations that were in force between the held state and this one.
func (v *View) installState(state *publication.State, passed ...*publication.Configuration) {
	previous := v.Snapshot()
	if state.Revision <= previous.Revision {
		return
	}
	next := &Snapshot{Configuration: previous.Configuration, Revision: state.Revision, Evacuated: state.Evacuated, Quarantined: previous.nextQuarantines(state.Quarantined), Rollouts: state.Rollouts, former: previous.former}
	if c := state.Configuration; c != nil && (previous.Configuration == nil || c.Version > previous.Configuration.Version || previous.Revision == 0 && c.Version == previous.Configuration.Version) {
		config, err := v.opts.Decode(c.Document)
		if err != nil {
			v.opts.Log.Error("configuration is invalid; keeping the one in force", "version", c.Version, "revision", state.Revision, "error", err)
			return
		}
		next.Configuration = config
		next.former = v.pass(previous, passed).formerServices(config, time.Now())
	}
	v.state, v.lastFetchAt, v.lastFetchFrom = state, 0, nil
	v.history.installedAt = clock.SinceBoot()
	v.snapshot.Store(next)
	v.opts.Fleet.SetPlaces(state.Places, time.Now())
	v.opts.Fleet.SetEvacuated(next.Evacuated, next.coldTime, time.Now())
	var version uint64
	if next.Configuration != nil {
		version = next.Configuration.Version
	}
	v.logRollouts(previous.Rollouts, state.Rollouts)
	v.opts.Log.Info("configuration in force", "version", version, "revision", next.Revision, "was-revision", previous.Revision, "evacuated", next.Evacuated)
	if v.pendingRevision != 0 && next.Revision >= v.pendingRevision {
		v.recordConfirmation(v.pendingRevision, v.pendingPingSentAt)
	}
}

// serves reports whether the configuration names the service; true while there is none.
func (s *Snapshot) serves(service string) bool {
	return s.Configuration == nil || s.Configuration.Service(service) != nil
}

func (s *Snapshot) coldTime(service string) time.Duration {
	if s.Configuration == nil || s.Configuration.Service(service) == nil {
		return 0
	}
	return s.Configuration.Service(service).ColdTime
}

// recordConfirmation records that revision was the newest one at some time after
// pingSentAt. If the router does not have it yet, the confirmation takes effect once
// it does.
func (v *View) recordConfirmation(revision uint64, pingSentAt time.Duration) {
	if revision > v.Snapshot().Revision {
		if revision > v.pendingRevision {
			v.pendingRevision, v.pendingPingSentAt = revision, pingSentAt
		}
		return
	}
	if v.confirmedPingSentAt.Load() == 0 {
		v.linksChanged = true
	}
	if int64(pingSentAt) > v.confirmedPingSentAt.Load() {
		v.confirmedPingSentAt.Store(int64(pingSentAt))
	}
}
