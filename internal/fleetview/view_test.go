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

// newView returns a view whose documents are versions in decimal.
func newView() (*View, *link) {
	v := New(Options{
		Router: "r", Fleet: placement.NewFleet("r", "a", placement.Bounds{}), Log: hclog.NewNullLogger(),
		Decode: func(document []byte) (*catalog.Set, error) {
			n, err := strconv.ParseUint(string(document), 10, 64)
			if err != nil {
				return nil, errors.New("not a version")
			}
			return catalog.New(catalog.Set{Version: n})
		},
	})
	l := &link{v: v, address: "d:1", wake: make(chan struct{}, 1), stop: func() {}}
	v.links["d:1"] = l
	return v, l
}

func state(t *testing.T, revision, version uint64, document string) *fleetpb.State {
	t.Helper()
	st, err := held(revision, version, document).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func held(revision, version uint64, document string) *publication.State {
	return &publication.State{Revision: revision, Configuration: &publication.Configuration{Version: version, Document: []byte(document)}}
}

func (v *View) version() uint64 {
	if set := v.Snapshot().Set; set != nil {
		return set.Version
	}
	return 0
}

func TestAViewNeverStepsBack(t *testing.T) {
	v, l := newView()
	for _, c := range []struct{ revision, version, want uint64 }{{3, 30, 30}, {2, 20, 30}, {3, 99, 30}, {5, 50, 50}, {4, 40, 50}, {6, 50, 50}} {
		v.took(l, update{FollowUpdate: &fleetpb.FollowUpdate{State: state(t, c.revision, c.version, strconv.FormatUint(c.version, 10))}})
		if got := v.version(); got != c.want {
			t.Errorf("after revision %d: version %d, want %d", c.revision, got, c.want)
		}
	}
}

// A configuration that this process cannot use does not replace the one in force.
func TestAnUnusableConfigurationIsNotAdopted(t *testing.T) {
	v, _ := newView()
	v.adopt(held(1, 10, "10"))
	v.adopt(held(2, 20, "damaged"))
	if s := v.Snapshot(); s.Revision != 1 || s.Set.Version != 10 {
		t.Errorf("revision %d, version %d", s.Revision, s.Set.Version)
	}
}

// A confirmation counts from when it was asked for, and only for a revision that
// the router holds.
func TestConfirmationsCountFromTheQuestion(t *testing.T) {
	v, l := newView()
	if _, ok := v.Age(); ok {
		t.Error("confirmed before the first confirmation")
	}
	asked := clock.Boot() - 700*time.Millisecond
	pong := func(newest uint64, at time.Duration) {
		v.took(l, update{FollowUpdate: &fleetpb.FollowUpdate{Pong: 1, Confirmed: true, Newest: newest}, askedAt: at})
	}
	pong(1, asked)
	if _, ok := v.Age(); ok {
		t.Error("confirmed without holding the newest revision")
	}
	v.adopt(held(1, 10, "10"))
	if age, ok := v.Age(); !ok || age < 700*time.Millisecond {
		t.Errorf("age %s, %v after the revision came", age, ok)
	}
	// The newest is ahead: the age grows until it is held.
	pong(2, clock.Boot())
	if age, _ := v.Age(); age < 700*time.Millisecond {
		t.Errorf("age %s though revision 2 is not held", age)
	}
	v.adopt(held(2, 20, "20"))
	if age, _ := v.Age(); age > 600*time.Millisecond {
		t.Errorf("age %s once revision 2 is held", age)
	}
	// A late confirmation does not replace a newer one.
	pong(2, asked)
	if age, _ := v.Age(); age > 600*time.Millisecond {
		t.Errorf("age %s after a late confirmation", age)
	}
}

// A router that reaches a minority of the directory's processes knows at once
// that it may be cut off.
func TestAMinorityShows(t *testing.T) {
	v, l := newView()
	v.seeds = []string{"d:1", "d:2", "d:3"}
	hear := func(l *link) {
		v.took(l, update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Members: v.seeds}})
	}
	l2 := &link{v: v, address: "d:2", wake: make(chan struct{}, 1), stop: func() {}}
	v.links["d:2"] = l2
	hear(l)
	if v.MinorityAge() <= 0 {
		t.Error("one of three is no majority")
	}
	hear(l2)
	if v.MinorityAge() != 0 {
		t.Error("two of three are a majority")
	}
	v.lost(l, errors.New("cut"))
	time.Sleep(time.Millisecond)
	if v.MinorityAge() <= 0 {
		t.Error("the loss of one of two does not show")
	}
}

// fetches reports whether the link was asked for what is missing since the last call.
func (l *link) fetches() bool {
	select {
	case <-l.wake:
	default:
	}
	return l.fetch.Swap(false)
}

// A revision that is heard of is waited for: the process that the router reports
// to sends it unasked. All routers would ask the same process otherwise, the
// leader, which knows of it first.
func TestANewRevisionIsNotFetchedFromWhoTellsOfIt(t *testing.T) {
	v, leader := newView()
	source := &link{v: v, address: "d:2", wake: make(chan struct{}, 1), stop: func() {}}
	v.links["d:2"] = source
	for _, l := range []*link{leader, source} {
		v.took(l, update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Revision: 1}})
	}
	v.adopt(held(1, 10, "10"))
	v.reportTo.Store(source)
	leader.fetches()
	source.fetches()
	v.took(leader, update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Revision: 2}})
	if leader.fetches() || source.fetches() {
		t.Error("the revision was fetched at once")
	}
	cmd, err := v.state.Publication(20, []byte("20"), false)
	if err != nil {
		t.Fatal(err)
	}
	v.took(source, update{FollowUpdate: &fleetpb.FollowUpdate{Revision: 2, Steps: []*fleetpb.Command{cmd}, StepsFrom: 1}})
	if v.version() != 20 || v.Snapshot().Revision != 2 {
		t.Errorf("version %d, revision %d after the steps", v.version(), v.Snapshot().Revision)
	}
	// Steps that come again, or that start beyond what is held, change nothing.
	v.took(leader, update{FollowUpdate: &fleetpb.FollowUpdate{Revision: 2, Steps: []*fleetpb.Command{cmd}, StepsFrom: 1}})
	v.took(leader, update{FollowUpdate: &fleetpb.FollowUpdate{Revision: 9, Steps: []*fleetpb.Command{cmd}, StepsFrom: 8}})
	if v.version() != 20 || v.Snapshot().Revision != 2 {
		t.Errorf("version %d, revision %d after steps that do not fit", v.version(), v.Snapshot().Revision)
	}
	// What does not come in time is asked for, first of the source, then of others.
	v.heardAt -= fetchTimeout
	v.links["d:2"].revision = 9
	v.catchUp()
	if !source.fetches() || leader.fetches() {
		t.Error("the source was not asked first")
	}
	v.catchUp()
	if source.fetches() || leader.fetches() {
		t.Error("two were asked at once")
	}
	v.fetchedAt -= fetchTimeout
	v.catchUp()
	if source.fetches() || !leader.fetches() {
		t.Error("no other was asked after the source sent nothing")
	}
}

// Heartbeats come as hashes. One of a server that is not known makes the router ask
// for all servers, once in a while.
func TestHeartbeatsComeAsHashes(t *testing.T) {
	v, l := newView()
	old := time.Now().Add(-4 * time.Second)
	v.took(l, update{FollowUpdate: &fleetpb.FollowUpdate{Announcements: []*fleetpb.Announcement{
		{Id: "x", Born: 1, Sequence: 1, Service: "chat", Address: "x:1", State: fleetpb.ServerState_READY, AgeMs: 4000},
	}}})
	heard := func(ids ...string) {
		u := &fleetpb.FollowUpdate{}
		for _, id := range ids {
			u.Heard = append(u.Heard, uint32(routing.Hash(id)))
		}
		v.took(l, update{FollowUpdate: u})
	}
	heard("x")
	if at := v.table.Get("x").Heard; at.Sub(old) < 3*time.Second {
		t.Errorf("x was heard %s ago", time.Since(at))
	}
	if l.list.Load() {
		t.Error("all servers are asked for without need")
	}
	v.listedAt = clock.Boot() - listPause
	heard("x", "new")
	if !l.list.Swap(false) {
		t.Error("an unknown server does not make the router ask")
	}
	heard("new")
	if l.list.Load() {
		t.Error("asked again at once")
	}
}
