package directory

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
)

// apply applies a command to the replicated state at once.
func apply(t *testing.T, m *publication.Machine, cmd *fleetpb.Command) publication.Result {
	t.Helper()
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(data).(publication.Result)
}

func order(target string, number uint64) *rollout.Rollout {
	return &rollout.Rollout{Service: "chat", Target: target, Number: number, Phase: rollout.Observing, Duration: 10 * time.Second}
}

func tallyOf(router string, sent, failed uint32) *fleetpb.RolloutTally {
	return &fleetpb.RolloutTally{Router: router, Service: "chat", Number: 1, Outcomes: []*fleetpb.RolloutOutcomes{
		{Route: 1, Sent: 10 * sent, Completed: 10 * sent},
		{Route: 1, Target: true, Sent: sent, Completed: sent - failed, Failed: failed, FailedServers: []uint32{1, 2, 3}, FailedCounts: []uint32{failed / 3, failed / 3, failed / 3}},
	}}
}

// leadingHub returns a hub that leads, whose proposals are applied at once.
func leadingHub(t *testing.T) (*hub, *peer, *time.Time) {
	h, p := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	h.propose = func(cmd *fleetpb.Command, done func(error)) {
		apply(t, h.machine, cmd)
		done(nil)
	}
	h.setLeading(true)
	for id, version := range map[string]string{"old": "v1", "new1": "v2", "new2": "v2", "new3": "v2"} {
		s := serverAnnouncement(id, 1, inventory.Ready)
		s.Version, s.LastSeen = version, now
		h.merge(s, true)
	}
	return h, p, &now
}

// Guards against a verdict that a new leader cannot reach because it did not hear the routers
// itself, and against counts that a repeated or overtaken report changes.
func TestALeaderRollsBackByWhatOtherProcessesHeard(t *testing.T) {
	h, _, now := leadingHub(t)
	apply(t, h.machine, order("v2", 1).Command())
	for range 80 {
		*now = now.Add(50 * time.Millisecond)
		h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Rollouts: []*fleetpb.RolloutTally{tallyOf("r1", 30, 0)}})
		h.reconcileRollouts()
	}
	if r := h.machine.State().Rollouts["chat"]; r.Phase != rollout.Observing || r.Share == 0 {
		t.Fatalf("a sound version is in phase %s with share %d, want observing with a share", r.Phase, r.Share)
	}
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Rollouts: []*fleetpb.RolloutTally{tallyOf("r2", 60, 30), tallyOf("r2", 60, 30), tallyOf("r2", 10, 0)}})
	if totals := h.rollouts.collector.Totals("chat", 1, 3); totals.Target[1].Failed != 30 || totals.Target[1].Sent != 90 {
		t.Errorf("counted %d failed of %d attempts, want 30 of 90", totals.Target[1].Failed, totals.Target[1].Sent)
	}
	h.reconcileRollouts()
	if r := h.machine.State().Rollouts["chat"]; r.Phase != rollout.RolledBack {
		t.Errorf("a version that fails is in phase %s, want rolled back", r.Phase)
	}
}

// Guards against counts that are lost with the process that routers reported them to.
func TestTalliesReachAProcessThatStartsAgain(t *testing.T) {
	h, p, _ := leadingHub(t)
	apply(t, h.machine, order("v2", 1).Command())
	s := newSession(h, "r1")
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Rollouts: []*fleetpb.RolloutTally{tallyOf("r1", 3, 0)}})
	send := func(process string, err error) int {
		call := h.takeCall(p)
		h.finishCall(p, call, &fleetpb.SpreadResponse{Process: process}, err)
		return len(call.req.Rollouts)
	}
	if n := send("run 1", errors.New("no connection")); n != 1 {
		t.Fatalf("%d tallies sent, want 1", n)
	}
	if n := send("run 1", nil); n != 1 {
		t.Errorf("%d tallies sent after a failed call, want 1", n)
	}
	if n := send("run 2", nil); n != 0 {
		t.Errorf("%d tallies sent again, want none", n)
	}
	if n := send("run 2", nil); n != 1 {
		t.Errorf("%d tallies sent to a process that has started again, want 1", n)
	}
}

// Guards against an order that processes of an earlier release do not keep to: routers would send
// the new version its full part, and a paused directory process would count other revisions than
// the rest and answer reads with an older configuration (soak with both releases, seed 605).
func TestAnOrderWaitsForRoutersThatKeepToIt(t *testing.T) {
	h, _, now := leadingHub(t)
	h.updateKnowsAllServers()
	if h.rolloutObstacle() == "" {
		t.Error("a directory process that was not heard yet is no obstacle")
	}
	s := newSession(h, "r1")
	if h.rolloutObstacle() == "" {
		t.Error("a router that does not say that it keeps to rollouts is no obstacle")
	}
	h.handleRequest(s, &fleetpb.FollowRequest{Ping: 1, FollowsRollouts: true})
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2"})
	if h.rolloutObstacle() == "" {
		t.Error("a directory process that does not say that it keeps to rollouts is no obstacle")
	}
	*now = now.Add(time.Minute)
	if h.rolloutObstacle() == "" {
		t.Error("a directory process of an earlier release that is silent is no obstacle, although it may be paused")
	}
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", FollowsRollouts: true})
	if o := h.rolloutObstacle(); o != "" {
		t.Errorf("%s is an obstacle, although all keep to rollouts", o)
	}
}

// Guards against an order or its end that a restart of all processes loses, and against one that
// a second order or a late step replaces.
func TestRolloutsAreReplicatedAndGoForward(t *testing.T) {
	m := publication.New()
	step := func(r *rollout.Rollout, phase rollout.Phase, share uint32) *rollout.Rollout {
		next := *r
		next.Phase, next.Share = phase, share
		return &next
	}
	first := order("v2", 1)
	for _, tc := range []struct {
		name      string
		next      *rollout.Rollout
		effective bool
	}{
		{"the order", first, true},
		{"the order again", first, false},
		{"another order at the same time", order("v3", 1), false},
		{"a second order while the first is running", order("v3", 2), false},
		{"a share", step(first, rollout.Observing, 100), true},
		{"all requests", step(first, rollout.Shifting, rollout.WholeShare), true},
		{"a late step", step(first, rollout.Observing, 200), false},
		{"the end", step(first, rollout.RolledBack, 0), true},
		{"a late step after the end", step(first, rollout.Succeeded, rollout.WholeShare), false},
		{"the next order", order("v3", 2), true},
		{"a step of the first order", step(first, rollout.Shifting, rollout.WholeShare), false},
	} {
		before := m.State().Revision
		if got := apply(t, m, tc.next.Command()); got.Effective != tc.effective || (m.State().Revision != before) != tc.effective {
			t.Errorf("%s: effective %t, want %t", tc.name, got.Effective, tc.effective)
		}
	}
	encoded, err := m.Encoded()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := publication.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if r := restored.Rollouts["chat"]; r == nil || r.Target != "v3" || r.Number != 2 || r.Duration != 10*time.Second {
		t.Errorf("restored %+v, want the second order", r)
	}
}

// Guards against versions that stay barred for ever: a later release may bring them back.
func TestABarredVersionIsAllowedOnceItHasHadNoServerForAWhile(t *testing.T) {
	h, _, now := leadingHub(t)
	apply(t, h.machine, order("v2", 1).Command())
	rolledBack := *order("v2", 1)
	rolledBack.Phase = rollout.RolledBack
	apply(t, h.machine, rolledBack.Command())
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); *now = now.Add(time.Second) {
			h.reconcileRollouts()
		}
	}
	pass(2 * settleTime)
	if h.machine.State().Rollouts["chat"].Settled {
		t.Error("a version with servers is no longer barred")
	}
	for _, id := range []string{"new1", "new2", "new3"} {
		h.leave(id, 1)
	}
	pass(settleTime / 2)
	if h.machine.State().Rollouts["chat"].Settled {
		t.Error("a version that has just left is no longer barred")
	}
	pass(settleTime)
	if !h.machine.State().Rollouts["chat"].Settled {
		t.Error("a version without servers is barred for ever")
	}
}

// Guards against an order that is acknowledged and then lost or started anew: with the leader
// killed right after it, with all processes stopped and started on their disks, and with another
// order at the same time through another process.
func TestAnOrderedRolloutSurvivesTheLeaderAndRestartsOfAll(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	ctx := context.Background()
	c.eventually("accept the order", func() bool {
		return c.nodes[hosts[0]].p.StartRollout(ctx, "chat", "v2", time.Minute) == nil
	})
	c.eventually("refuse another order", func() bool {
		return errkind.Is(c.nodes[hosts[1]].p.StartRollout(ctx, "chat", "v3", time.Minute), errkind.ChangeConflict)
	})
	ordered := func(h string) bool {
		r, err := c.nodes[h].p.Rollout(ctx, "chat")
		return err == nil && r.Target == "v2" && r.Number == 1 && r.Running()
	}
	leader := c.leader()
	disk := c.nodes[leader].fs
	c.stop(leader)
	for h := range c.nodes {
		c.eventually("read the order without its leader", func() bool { return ordered(h) })
	}
	c.start(leader, disk)
	disks := map[string]vfs.FS{}
	for h, n := range c.nodes {
		disks[h] = n.fs
	}
	for h := range disks {
		c.stop(h)
	}
	for h, fs := range disks {
		c.start(h, fs)
	}
	for h := range disks {
		c.eventually("read the order after a restart of all", func() bool { return ordered(h) })
		c.eventually("acknowledge the same order again", func() bool {
			return c.nodes[h].p.StartRollout(ctx, "chat", "v2", time.Minute) == nil
		})
	}
}

// Guards against a rollout that a paused process starts after its caller has gone, when the
// rollout that the caller had acknowledged elsewhere, and a later one, have ended.
func TestARolloutWhoseCallerHasGoneIsNotStarted(t *testing.T) {
	var h *pausedHandler
	c := startPrepared(t, func(p *Process) http.Handler {
		if p.conf.Name != hosts[0] {
			return http.NotFoundHandler()
		}
		h = newPausedHandler(func(ctx context.Context) error { return p.StartRollout(ctx, "chat", "v2", time.Minute) })
		return h
	})
	p := c.nodes[hosts[1]].p
	rollOut := func(target string) {
		t.Helper()
		c.eventually("start and end the rollout", func() bool {
			if p.StartRollout(context.Background(), "chat", target, time.Minute) != nil {
				return false
			}
			r, err := p.Rollout(context.Background(), "chat")
			if err != nil {
				return false
			}
			ended := *r
			ended.Phase = rollout.RolledBack
			_, err = p.server.propose(context.Background(), ended.Command())
			return err == nil
		})
	}
	c.eventually("know that all processes keep to rollouts", func() bool {
		obstacle := "not asked"
		return c.nodes[hosts[0]].p.hub.do(context.Background(), func() { obstacle = c.nodes[hosts[0]].p.hub.rolloutObstacle() }) == nil && obstacle == ""
	})
	h.send(t, c.nodes[hosts[0]].p.OperationsAddress())
	rollOut("v2")
	rollOut("v3")
	close(h.wake)
	if err := <-h.outcome; err == nil {
		t.Error("the order was acknowledged, although its caller has gone")
	}
	c.eventually("read the rollout", func() bool {
		r, err := p.Rollout(context.Background(), "chat")
		if err == nil && (r.Target != "v3" || r.Running()) {
			t.Errorf("rollout %d to %s runs, want the ended one to v3", r.Number, r.Target)
		}
		return err == nil
	})
}
