package fleetview

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// newView returns a view with one link. Its configuration documents consist of their
// version in decimal.
func newView() (*View, *link) {
	v := New(Options{
		RouterID: "r", Fleet: placement.NewFleet("r", "a", placement.Bounds{}), Log: hclog.NewNullLogger(),
		Decode: func(document []byte) (*catalog.Set, error) {
			n, err := strconv.ParseUint(string(document), 10, 64)
			if err != nil {
				return nil, errors.New("not a version")
			}
			return catalog.New(catalog.Set{Version: n})
		},
	})
	l := &link{view: v, address: "d:1", wake: make(chan struct{}, 1), cancel: func() {}}
	v.links["d:1"] = l
	return v, l
}

func encodedState(t *testing.T, revision, version uint64, document string) *fleetpb.State {
	t.Helper()
	st, err := stateAt(revision, version, document).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func stateAt(revision, version uint64, document string) *publication.State {
	return &publication.State{Revision: revision, Configuration: &publication.Configuration{Version: version, Document: []byte(document)}}
}

func (v *View) version() uint64 {
	if config := v.Snapshot().Configuration; config != nil {
		return config.Version
	}
	return 0
}

func TestRevisionNeverDecreases(t *testing.T) {
	v, l := newView()
	for _, c := range []struct{ revision, version, want uint64 }{{3, 30, 30}, {2, 20, 30}, {3, 99, 30}, {5, 50, 50}, {4, 40, 50}, {6, 50, 50}} {
		v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{State: encodedState(t, c.revision, c.version, strconv.FormatUint(c.version, 10))}})
		if got := v.version(); got != c.want {
			t.Errorf("after revision %d: version %d, want %d", c.revision, got, c.want)
		}
	}
}

// Guards against a router that goes on with a state which the directory does not have, since its
// revision is higher, and misses an evacuation.
func TestAStateThatTheDirectoryDoesNotHaveIsReplaced(t *testing.T) {
	v, l := newView()
	v.installState(stateAt(9, 10, "10"))
	confirm := func(newest, held uint64) {
		v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Pong: 1, Confirmed: true, Newest: newest, Revision: newest}, pingSentAt: clock.SinceBoot(), pingRevision: held})
	}
	confirm(5, 9)
	if _, confirmed := v.ConfirmationAge(); confirmed || !l.takeFetchRequest() || v.Snapshot().Revision != 0 || v.version() != 10 {
		t.Errorf("confirmed %t, revision %d, version %d, want the state fetched from revision 0 and version 10 in force", confirmed, v.Snapshot().Revision, v.version())
	}
	confirm(5, 9) // The answer to a ping of before.
	if l.takeFetchRequest() {
		t.Error("the state was fetched again before it arrived")
	}
	state := encodedState(t, 5, 10, "10")
	state.Evacuated = []string{"b"}
	v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{State: state, Revision: 5}})
	confirm(5, 5)
	if _, confirmed := v.ConfirmationAge(); !confirmed || v.Snapshot().Revision != 5 || len(v.Snapshot().Evacuated) != 1 {
		t.Errorf("confirmed %t, revision %d, evacuated %v", confirmed, v.Snapshot().Revision, v.Snapshot().Evacuated)
	}
}

// Guards against a router that goes on with a state of another history, since its revision is that of the
// directory's, and misses an evacuation and a configuration.
func TestAStateOfAnotherHistoryIsReplaced(t *testing.T) {
	v, l := newView()
	confirm := func(state *publication.State, sum uint64) {
		v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Pong: 1, Confirmed: true, Newest: state.Revision, NewestSum: sum, Revision: state.Revision}, pingSentAt: clock.SinceBoot(), pingRevision: v.Snapshot().Revision})
	}
	held, theirs := stateAt(5, 10, "10"), stateAt(5, 10, "11")
	theirs.Evacuated = []string{"b"}
	v.installState(held)
	for _, sum := range []uint64{0, held.Sum()} { // 0 comes from processes of earlier releases.
		if confirm(held, sum); l.takeFetchRequest() || v.Snapshot().Revision != 5 {
			t.Errorf("sum %d: a state that the directory has is fetched again", sum)
		}
	}
	confirmedAt := v.confirmedPingSentAt.Load()
	confirm(theirs, theirs.Sum())
	if !l.takeFetchRequest() || v.Snapshot().Revision != 0 || v.version() != 10 || v.confirmedPingSentAt.Load() != confirmedAt {
		t.Errorf("revision %d, version %d, want the state fetched from revision 0, version 10 in force, and no confirmation", v.Snapshot().Revision, v.version())
	}
	before := clock.SinceBoot()
	encoded, err := theirs.Encode()
	if err != nil {
		t.Fatal(err)
	}
	v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{State: encoded, Revision: 5}})
	if s := v.Snapshot(); s.Revision != 5 || len(s.Evacuated) != 1 || v.version() != 11 {
		t.Errorf("revision %d, evacuated %v, document %d, want those of the directory", s.Revision, s.Evacuated, v.version())
	}
	// The answer to a ping of before the state was replaced tells nothing of it.
	v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Pong: 1, Confirmed: true, Newest: 5, NewestSum: held.Sum(), Revision: 5}, pingSentAt: before, pingRevision: 5})
	if confirm(theirs, theirs.Sum()); l.takeFetchRequest() || v.confirmedPingSentAt.Load() <= confirmedAt {
		t.Error("the state is fetched again, or not confirmed, although it is that of the directory")
	}
}

// Guards against routers that fetch the state again and again, and serve without a confirmation, since
// a leader of another release computes other sums.
func TestSumsThatNeverAgreeAreNotCompared(t *testing.T) {
	v, l := newView()
	fetched := 0
	for revision := uint64(1); revision <= 20; revision++ {
		state := stateAt(revision, 10, "10")
		v.installState(state)
		for range 3 {
			v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Pong: 1, Confirmed: true, Newest: revision, NewestSum: state.Sum() + 1, Revision: revision}, pingSentAt: clock.SinceBoot(), pingRevision: v.Snapshot().Revision})
			if l.takeFetchRequest() {
				fetched++
				v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{State: encodedState(t, revision, 10, "10"), Revision: revision}})
			}
		}
		if age, confirmed := v.ConfirmationAge(); !confirmed || age > time.Second {
			t.Fatalf("revision %d is not confirmed", revision)
		}
	}
	if fetched != 1 {
		t.Errorf("the state was fetched %d times, want once", fetched)
	}
}

// A configuration that cannot be decoded must not replace the one in force.
func TestUnusableConfigurationIsNotInstalled(t *testing.T) {
	v, _ := newView()
	v.installState(stateAt(1, 10, "10"))
	v.installState(stateAt(2, 20, "damaged"))
	if s := v.Snapshot(); s.Revision != 1 || s.Configuration.Version != 10 {
		t.Errorf("revision %d, version %d", s.Revision, s.Configuration.Version)
	}
}

// The age of a confirmation counts from its ping, not from its arrival, and a
// confirmation takes effect only once the router has the confirmed revision.
func TestConfirmationAgeCountsFromThePing(t *testing.T) {
	v, l := newView()
	if _, ok := v.ConfirmationAge(); ok {
		t.Error("confirmed before the first confirmation")
	}
	pingSentAt := clock.SinceBoot() - 700*time.Millisecond
	pong := func(newest uint64, at time.Duration) {
		v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Pong: 1, Confirmed: true, Newest: newest}, pingSentAt: at})
	}
	pong(1, pingSentAt)
	if _, ok := v.ConfirmationAge(); ok {
		t.Error("confirmed without holding the newest revision")
	}
	v.installState(stateAt(1, 10, "10"))
	if age, ok := v.ConfirmationAge(); !ok || age < 700*time.Millisecond {
		t.Errorf("age %s, %v after the revision was installed", age, ok)
	}
	// A newer revision is confirmed: the age grows until the router has it.
	pong(2, clock.SinceBoot())
	if age, _ := v.ConfirmationAge(); age < 700*time.Millisecond {
		t.Errorf("age %s although revision 2 is not installed", age)
	}
	v.installState(stateAt(2, 20, "20"))
	if age, _ := v.ConfirmationAge(); age > 600*time.Millisecond {
		t.Errorf("age %s after revision 2 was installed", age)
	}
	// A delayed confirmation does not replace a newer one.
	pong(2, pingSentAt)
	if age, _ := v.ConfirmationAge(); age > 600*time.Millisecond {
		t.Errorf("age %s after a delayed confirmation", age)
	}
}

// A router that follows no directory process in quorum must detect at once that it may
// be cut off: its own data centre's process may answer, but cannot confirm anything.
func TestLossOfTheQuorumIsDetected(t *testing.T) {
	v, l := newView()
	v.seeds = []string{"d:1", "d:2", "d:3"}
	receiveUpdate := func(l *link, inQuorum bool) {
		v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: inQuorum, Members: v.seeds}})
	}
	l2 := &link{view: v, address: "d:2", wake: make(chan struct{}, 1), cancel: func() {}}
	v.links["d:2"] = l2
	receiveUpdate(l, false)
	time.Sleep(time.Millisecond)
	if v.OutOfQuorumDuration() <= 0 {
		t.Error("a process out of quorum counts")
	}
	receiveUpdate(l2, true)
	if v.OutOfQuorumDuration() != 0 {
		t.Error("the process in quorum does not count")
	}
	v.onDisconnect(l2, errors.New("cut"))
	time.Sleep(time.Millisecond)
	if v.OutOfQuorumDuration() <= 0 {
		t.Error("the loss of the process in quorum was not detected")
	}
	receiveUpdate(l, true)
	receiveUpdate(l, false)
	time.Sleep(time.Millisecond)
	if v.OutOfQuorumDuration() <= 0 {
		t.Error("the loss of the quorum by the process was not detected")
	}
}

// takeFetchRequest reports whether missing revisions were requested on the link since
// the last call.
func (l *link) takeFetchRequest() bool {
	select {
	case <-l.wake:
	default:
	}
	return l.fetchRequested.Swap(false)
}

// A router that learns of a new revision must first wait for the process that receives
// its load reports to send it. Otherwise all routers would fetch it from the same
// process at once: the leader, which announces the revision first.
func TestNewRevisionIsFetchedFromTheReportLink(t *testing.T) {
	v, leader := newView()
	reportLink := &link{view: v, address: "d:2", wake: make(chan struct{}, 1), cancel: func() {}}
	v.links["d:2"] = reportLink
	for _, l := range []*link{leader, reportLink} {
		v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Revision: 1}})
	}
	v.installState(stateAt(1, 10, "10"))
	v.reportTo.Store(reportLink)
	leader.takeFetchRequest()
	reportLink.takeFetchRequest()
	v.onUpdate(leader, update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Revision: 2}})
	if leader.takeFetchRequest() || reportLink.takeFetchRequest() {
		t.Error("the revision was requested without waiting")
	}
	cmd, err := v.state.PublishCommand(20, []byte("20"), false)
	if err != nil {
		t.Fatal(err)
	}
	v.onUpdate(reportLink, update{FollowUpdate: &fleetpb.FollowUpdate{Revision: 2, Steps: []*fleetpb.Command{cmd}, StepsFrom: 1}})
	if v.version() != 20 || v.Snapshot().Revision != 2 {
		t.Errorf("version %d, revision %d after the commands", v.version(), v.Snapshot().Revision)
	}
	// Commands that are repeated, or that start after the current revision, have no
	// effect.
	v.onUpdate(leader, update{FollowUpdate: &fleetpb.FollowUpdate{Revision: 2, Steps: []*fleetpb.Command{cmd}, StepsFrom: 1}})
	v.onUpdate(leader, update{FollowUpdate: &fleetpb.FollowUpdate{Revision: 9, Steps: []*fleetpb.Command{cmd}, StepsFrom: 8}})
	if v.version() != 20 || v.Snapshot().Revision != 2 {
		t.Errorf("version %d, revision %d after commands that do not apply", v.version(), v.Snapshot().Revision)
	}
	// A revision that does not arrive in time is requested, first on the link that
	// receives the load reports, then on others.
	v.behindSince -= fetchTimeout
	v.links["d:2"].revision = 9
	v.catchUp()
	if !reportLink.takeFetchRequest() || leader.takeFetchRequest() {
		t.Error("the revision was not requested on the report link first")
	}
	v.catchUp()
	if reportLink.takeFetchRequest() || leader.takeFetchRequest() {
		t.Error("the revision was requested on two links at once")
	}
	v.lastFetchAt -= fetchTimeout
	v.catchUp()
	if reportLink.takeFetchRequest() || !leader.takeFetchRequest() {
		t.Error("the revision was not requested on another link after the report link sent nothing")
	}
}

// Heartbeats arrive as hashes of server ids. A hash of an unknown server makes the
// router request the list of all servers, at most once per minListInterval.
func TestHeartbeatsByHash(t *testing.T) {
	v, l := newView()
	announcedAt := time.Now().Add(-4 * time.Second)
	v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{Announcements: []*fleetpb.Announcement{
		{Id: "x", Born: 1, Sequence: 1, Service: "chat", Address: "x:1", State: fleetpb.ServerState_READY, AgeMs: 4000},
	}}})
	receiveHeartbeats := func(ids ...string) {
		u := &fleetpb.FollowUpdate{}
		for _, id := range ids {
			u.Heard = append(u.Heard, uint32(routing.Hash(id)))
		}
		v.onUpdate(l, update{FollowUpdate: u})
	}
	receiveHeartbeats("x")
	if at := v.table.Get("x").LastSeen; at.Sub(announcedAt) < 3*time.Second {
		t.Errorf("the last heartbeat of x was %s ago", time.Since(at))
	}
	if l.listRequested.Load() {
		t.Error("the list was requested although the server is known")
	}
	v.lastListAt = clock.SinceBoot() - minListInterval
	receiveHeartbeats("x", "new")
	if !l.listRequested.Swap(false) {
		t.Error("the list was not requested for an unknown server")
	}
	receiveHeartbeats("new")
	if l.listRequested.Load() {
		t.Error("the list was requested again within minListInterval")
	}
}
