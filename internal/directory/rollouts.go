package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// settleTime is how long the versions that get no requests have had no server before they
	// are no longer told apart.
	settleTime = time.Minute
	// resendTime is how long the order of a rollout that has ended counts as the same order,
	// sent again.
	resendTime = 15 * time.Second
	// unheardTime is how long a directory process that was never heard is waited for.
	unheardTime = 10 * time.Second
	// minRolloutTime and maxRolloutTime limit the duration of a rollout.
	minRolloutTime = 3 * time.Second
	maxRolloutTime = 24 * time.Hour
)

// rolloutKeeper collects what routers count of rollouts. While this process leads, it decides
// on their steps.
type rolloutKeeper struct {
	bounds    rollout.Bounds
	collector *rollout.Collector
	// watches hold what is known of each rollout, by service.
	watches   map[string]*rolloutWatch
	proposing bool
}

// rolloutWatch is what this process knows of a rollout besides its replicated state.
type rolloutWatch struct {
	number     uint64
	controller *rollout.Controller
	// startedAt is when the order was given, by this process's clock, as far as it knows.
	startedAt time.Time
	// endedAt is when this process first saw that the rollout has ended, and servedAt when a
	// server that had started before, with a version that gets no requests, was last listed.
	endedAt, servedAt time.Time
}

func newRolloutKeeper(bounds rollout.Bounds) rolloutKeeper {
	return rolloutKeeper{bounds: bounds, collector: rollout.NewCollector(), watches: map[string]*rolloutWatch{}}
}

// recordTallies takes over what routers counted. direct is true if a router that reports here
// sent it, and not another directory process.
func (h *hub) recordTallies(tallies []*fleetpb.RolloutTally, direct bool) {
	for _, t := range tallies {
		r := h.machine.State().Rollouts[t.Service]
		if r != nil && (t.Number < r.Number || !r.Running()) || !h.rollouts.collector.Record(t) || !direct {
			continue
		}
		for _, p := range h.peers {
			p.addTally(t)
		}
	}
}

// tallyKey identifies a tally that a later one replaces.
type tallyKey struct{ service, router string }

// addTally marks a tally to be sent with the next call.
func (p *peer) addTally(t *fleetpb.RolloutTally) { p.tallies[tallyKey{t.Service, t.Router}] = t }

// addTalliesBack is addTally for tallies that may have been replaced meanwhile.
func (p *peer) addTalliesBack(tallies []*fleetpb.RolloutTally) {
	for _, t := range tallies {
		if key := (tallyKey{t.Service, t.Router}); p.tallies[key] == nil {
			p.tallies[key] = t
		}
	}
}

// watchRollouts brings the watches up to the replicated state.
func (h *hub) watchRollouts(now time.Time) map[string]*rollout.Rollout {
	k, rollouts := &h.rollouts, h.machine.State().Rollouts
	for service, r := range rollouts {
		w := k.watches[service]
		if w == nil || w.number != r.Number {
			w = &rolloutWatch{number: r.Number, controller: &rollout.Controller{Bounds: k.bounds}, startedAt: now.Add(-r.Elapsed), servedAt: now}
			// A process that has started again did not see the order. Another VM's clock may
			// differ by some seconds, which only makes the rollout end earlier or later.
			if byClock := time.UnixMilli(r.StartedAt); r.Running() && byClock.Before(w.startedAt) && now.Sub(byClock) < r.Duration {
				w.startedAt = byClock
			}
			k.watches[service] = w
		}
		if !r.Running() && w.endedAt.IsZero() {
			w.endedAt = now
		}
	}
	k.collector.Forget(func(service string, number uint64) bool {
		r := rollouts[service]
		return r == nil || number > r.Number || number == r.Number && r.Running()
	})
	return rollouts
}

// reconcileRollouts proposes the next step of a rollout, if one is due and this process leads.
func (h *hub) reconcileRollouts() {
	now := h.now()
	rollouts := h.watchRollouts(now)
	if len(rollouts) == 0 || h.places.assigner == nil || h.rollouts.proposing {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(rollouts)) {
		if next := h.nextRollout(rollouts[service], now); next != nil {
			h.proposeRollout(next)
			return
		}
	}
}

// nextRollout returns the next state of a rollout, or nil if it stays as it is.
func (h *hub) nextRollout(r *rollout.Rollout, now time.Time) *rollout.Rollout {
	w := h.rollouts.watches[r.Service]
	if r.Settled {
		return nil
	}
	if r.Running() {
		target, others := h.rolloutPools(r, now)
		return w.controller.Next(r, rollout.Input{
			Elapsed: now.Sub(w.startedAt), Target: target, Others: others,
			Totals: h.rollouts.collector.Totals(r.Service, r.Number, target.Ready),
		})
	}
	barred := []string{r.Target}
	if r.Phase == rollout.Succeeded {
		barred = r.Replaced
	}
	h.table.All(func(s *inventory.Server) {
		// Servers that started later are a release of their own.
		if s.Service == r.Service && s.State != inventory.Gone && s.Born <= w.endedAt.UnixMilli() && slices.Contains(barred, s.Version) {
			w.servedAt = now
		}
	})
	if now.Sub(w.servedAt) < settleTime {
		return nil
	}
	next := *r
	next.Settled = true
	return &next
}

// rolloutPools returns what is known of the servers of the target and of other versions.
func (h *hub) rolloutPools(r *rollout.Rollout, now time.Time) (target, others rollout.Pool) {
	load, _ := h.sumLoads()
	h.table.All(func(s *inventory.Server) {
		if s.Service != r.Service || s.State == inventory.Gone {
			return
		}
		pool := &others
		if s.Version == r.Target {
			pool = &target
		}
		if !slices.Contains(pool.Versions, s.Version) {
			pool.Versions = append(pool.Versions, s.Version)
		}
		pool.InFlight += load[uint32(routing.Hash(s.ID))]
		if s.State == inventory.Ready {
			pool.Ready++
			pool.Slots += s.Slots
			if !now.Before(s.ColdUntil) {
				pool.Warm++
			}
		}
	})
	slices.Sort(others.Versions)
	return target, others
}

func (h *hub) proposeRollout(next *rollout.Rollout) {
	h.rollouts.proposing = true
	totals := h.rollouts.collector.Totals(next.Service, next.Number, 0)
	atTarget, all := totals.Sent()
	h.propose(next.Command(), func(err error) {
		h.rollouts.proposing = false
		h.log.Warn("rollout step", "service", next.Service, "target", next.Target, "number", next.Number, "phase", next.Phase.String(), "share", next.Share,
			"elapsed", next.Elapsed.Round(time.Millisecond), "duration", next.Duration, "settled", next.Settled, "because", next.Reason, "replaced", next.Replaced,
			"attempts-at-target", atTarget, "attempts", all, "routers", totals.Routers, "revision", h.machine.State().Revision, "error", err)
	})
}

// features are those by which a process of this release differs from earlier ones in what commands do.
type features struct {
	// rollouts is set if the process, and the routers that follow it, keep to rollouts.
	rollouts bool
	// versionZero is set if they apply a first configuration of version 0.
	versionZero bool
}

// routerWithout names a router that follows this process and lacks a feature, or "".
func (h *hub) routerWithout(has func(features) bool) string {
	for s := range h.sessions {
		if !has(s.features) {
			return "router " + s.router
		}
	}
	return ""
}

// rolloutObstacle names a process of the fleet that does not keep to rollouts, or "".
func (h *hub) rolloutObstacle() string {
	return h.obstacle(func(f features) bool { return f.rollouts })
}

// obstacle names a process of the fleet that lacks a feature, or "". What a silent process said last
// counts: one that is paused goes on as it was. A process of an earlier release would not apply a
// command of the feature, and count other revisions than the rest from then on.
func (h *hub) obstacle(has func(features) bool) string {
	if r := h.routerWithout(has); r != "" {
		return r
	}
	if h.leader == "" {
		return "this directory process is out of quorum, so that the others are not known, one of which"
	}
	for _, a := range h.members {
		r := h.peerReports[a]
		switch {
		case a == h.ownAddress || r != nil && has(r.features):
		case r != nil:
			return "directory process " + a + " or a router that follows it"
		case h.now().Sub(h.quorumSince) < unheardTime:
			return "directory process " + a + " has not been heard yet, and may be one that"
		}
	}
	return ""
}

// StartRollout orders a service's requests to be moved to the servers of a version within a
// time. It returns once a majority has the order on disk. The same order again succeeds while
// the rollout is running, and for resendTime after its end. The error has kind bad-request,
// not-found, change-conflict while another rollout of the service is running, or not-ready.
func (p *Process) StartRollout(ctx context.Context, service, target string, duration time.Duration) error {
	began := time.Now()
	number, err := p.startRollout(ctx, service, target, duration)
	p.logChange("rollout received", began, err, "service", service, "target", target, "duration", duration, "number", number)
	return err
}

func (p *Process) startRollout(ctx context.Context, service, target string, duration time.Duration) (uint64, error) {
	switch {
	case service == "" || target == "":
		return 0, errkind.New(errkind.BadRequest, "the order names no service or no target version")
	case duration < minRolloutTime || duration > maxRolloutTime:
		return 0, errkind.New(errkind.BadRequest, "the duration of the rollout is %s, it must be from %s to %s", duration, minRolloutTime, maxRolloutTime)
	}
	state, err := p.latestState(ctx)
	if err != nil {
		return 0, err
	}
	next := &rollout.Rollout{Service: service, Target: target, Number: 1, Phase: rollout.Observing, Duration: duration, StartedAt: time.Now().UnixMilli(), Reason: "ordered"}
	if last := state.Rollouts[service]; last != nil {
		if again, err := p.isSameOrder(ctx, last, target); again || err != nil {
			return last.Number, err
		}
		next.Number = last.Number + 1
	}
	obstacle := ""
	if err := p.hub.do(ctx, func() { obstacle = p.hub.rolloutObstacle() }); err != nil {
		return 0, err
	}
	if obstacle != "" {
		return 0, errkind.New(errkind.NotReady, "%s runs a release that knows no rollouts", obstacle).WithRetryAfter(time.Second)
	}
	// The number was read before, so the order has no effect once another one was given.
	if err := p.checkCaller(ctx); err != nil {
		return 0, err
	}
	if _, err := p.server.propose(ctx, next.Command()); err != nil {
		return 0, err
	}
	if state, err = p.latestState(ctx); err != nil {
		return next.Number, errkind.Wrap(err, errkind.ChangeUnknown, "the order was sent, but whether it is in force is not known")
	}
	if r := state.Rollouts[service]; r == nil || r.Number < next.Number || r.Number == next.Number && r.Target != target {
		return next.Number, errkind.New(errkind.ChangeConflict, "another rollout of service %q was ordered at the same time", service)
	}
	return next.Number, nil
}

// isSameOrder reports whether an order repeats the last one of its service.
func (p *Process) isSameOrder(ctx context.Context, last *rollout.Rollout, target string) (bool, error) {
	if last.Running() {
		if last.Target == target {
			return true, nil
		}
		return false, errkind.New(errkind.ChangeConflict, "a rollout of service %q to version %q is running", last.Service, last.Target)
	}
	recent := false
	err := p.hub.do(ctx, func() {
		h := p.hub
		h.watchRollouts(h.now())
		w := h.rollouts.watches[last.Service]
		recent = w != nil && w.number == last.Number && h.now().Sub(w.endedAt) < resendTime
	})
	return recent && last.Target == target, err
}

// Rollout returns the last rollout of a service, as confirmed by a quorum after the call. The
// error has kind not-found if there was none.
func (p *Process) Rollout(ctx context.Context, service string) (*rollout.Rollout, error) {
	state, err := p.latestState(ctx)
	if err != nil {
		return nil, err
	}
	if r := state.Rollouts[service]; r != nil {
		return r, nil
	}
	return nil, errkind.New(errkind.NotFound, "no rollout of service %q was ordered", service)
}

// latestState returns the replicated state, as confirmed by a quorum after the call.
func (p *Process) latestState(ctx context.Context) (*publication.State, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	latest, err := p.server.barrier(ctx)
	if err != nil {
		return nil, err
	}
	for {
		s := p.machine.State()
		if s.Revision >= latest.Revision {
			return s, nil
		}
		select {
		case <-time.After(statePollInterval):
		case <-ctx.Done():
			return nil, errkind.New(errkind.NotReady, "this process has applied revision %d, the latest is %d", s.Revision, latest.Revision)
		}
	}
}
