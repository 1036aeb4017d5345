package directory

import (
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

// part7 is the subject of the prompt part that the tests report as 7.
var part7 = quarantine.Subject{Hash: 7}

// quarantineHub is a hub that leads and applies its own proposals at once.
type quarantineHub struct {
	t *testing.T
	*hub
	peer *peer
	at   time.Time
	ends int64
}

func newQuarantineHub(t *testing.T) *quarantineHub {
	h, p := newTestHub()
	q := &quarantineHub{t: t, hub: h, peer: p, at: h.now()}
	h.now = func() time.Time { return q.at }
	h.propose = func(cmd *fleetpb.Command, done func(error)) {
		data, err := proto.Marshal(cmd)
		if err != nil {
			t.Fatal(err)
		}
		h.machine.Apply(data)
		h.stateChanged()
		done(nil)
	}
	h.setLeading(true)
	return q
}

// pass lets time pass, in which the hub flushes several times.
func (q *quarantineHub) pass(d time.Duration) {
	for end := q.at.Add(d); q.at.Before(end); q.at = q.at.Add(maxFlushInterval) {
		q.flush()
		for s := range q.sessions {
			drain(s)
		}
	}
}

// report lets a router report the end of a server.
func (q *quarantineHub) report(s *session, suspects ...uint64) {
	q.ends++
	q.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Crashes: []*fleetpb.Crash{{Server: "s", Born: q.ends, Suspects: suspects}}})
}

func (q *quarantineHub) survive(s *session, parts ...uint64) {
	q.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Survived: parts})
}

func (q *quarantineHub) quarantined() []publication.Quarantined {
	return q.machine.State().Quarantined
}

// endServers reports enough ends under part 7 for a quarantine, each from another router.
func (q *quarantineHub) endServers(routers []*session) {
	for i := range 5 {
		q.report(routers[i%len(routers)], 7, uint64(100+i))
		q.at = q.at.Add(200 * time.Millisecond)
	}
	q.pass(2 * time.Second)
}

// Each router sees only some of the ends. What all of them saw decides.
func TestEndsSeenByDifferentRoutersLeadToAQuarantine(t *testing.T) {
	q := newQuarantineHub(t)
	routers := []*session{newSession(q.hub, "r1"), newSession(q.hub, "r2"), newSession(q.hub, "r3")}
	q.endServers(routers)
	if got := q.quarantined(); !slices.Equal(got, []publication.Quarantined{{Subject: part7, Strikes: 1}}) {
		t.Fatalf("quarantined %v, want part 7", got)
	}
	call := q.takeCall(q.peer)
	if len(call.req.Crashes) != 5 {
		t.Errorf("%d ends are passed on to the other process, want 5", len(call.req.Crashes))
	}
	q.finishCall(q.peer, call, nil, errors.New("not reached"))
	if again := q.takeCall(q.peer); len(again.req.Crashes) != 5 {
		t.Errorf("%d ends are passed on again after a failed call, want 5", len(again.req.Crashes))
	}
}

// A request is a subject of its own, also on its way between directory processes.
func TestARepeatedRequestIsQuarantinedAfterThreeEnds(t *testing.T) {
	q := newQuarantineHub(t)
	routers := []*session{newSession(q.hub, "r1"), newSession(q.hub, "r2")}
	for born := range int64(3) {
		crash := &fleetpb.Crash{Server: "s", Born: born, Suspects: []uint64{uint64(100 + born)}, Requests: []uint64{7}}
		if born == 1 {
			q.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Crashes: []*fleetpb.Crash{crash}})
		} else {
			q.handleRequest(routers[born%2], &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Crashes: []*fleetpb.Crash{crash}})
		}
		q.at = q.at.Add(100 * time.Millisecond)
	}
	q.flush()
	if got := drain(routers[0]); len(got) == 0 || len(got[len(got)-1].Suspects) != 1 || !got[len(got)-1].Suspects[0].Request {
		t.Fatalf("the router was sent %v, want the request as a suspect", got)
	}
	q.pass(2 * time.Second)
	want := []publication.Quarantined{{Subject: quarantine.Subject{Hash: 7, Request: true}, Strikes: 1}}
	if got := q.quarantined(); !slices.Equal(got, want) {
		t.Fatalf("quarantined %v, want %v", got, want)
	}
	q.survive(routers[0], 7)
	q.pass(time.Second)
	if got := q.quarantined(); !slices.Equal(got, want) {
		t.Fatalf("after a success with a part of the same hash: %v", got)
	}
	q.handleRequest(routers[0], &fleetpb.FollowRequest{Load: &fleetpb.Load{}, SurvivedRequests: []uint64{7}})
	q.pass(time.Second)
	call := q.takeCall(q.peer)
	if len(call.req.Crashes) != 2 || len(call.req.Crashes[0].Requests) != 1 || !slices.Equal(call.req.SurvivedRequests, []uint64{7}) {
		t.Errorf("passed on to the other process: %v", call.req)
	}
	if got := q.quarantined(); len(got) != 0 {
		t.Errorf("after a success: %v", got)
	}
}

// Ends that another directory process passes on count alike, and are not passed on again.
func TestEndsPassedOnByAnotherProcessCount(t *testing.T) {
	q := newQuarantineHub(t)
	newSession(q.hub, "r1")
	for born := range int64(5) {
		q.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Crashes: []*fleetpb.Crash{{Server: "s", Born: born, Suspects: []uint64{7}}}})
		q.at = q.at.Add(200 * time.Millisecond)
	}
	q.pass(2 * time.Second)
	if got := q.quarantined(); len(got) != 1 || got[0].Subject != part7 {
		t.Errorf("quarantined %v, want part 7", got)
	}
	if call := q.takeCall(q.peer); len(call.req.Crashes) != 0 {
		t.Errorf("%d ends are passed back", len(call.req.Crashes))
	}
}

func TestRoutersAreToldOfSuspectsAndTheirSuccessesCount(t *testing.T) {
	q := newQuarantineHub(t)
	s := newSession(q.hub, "r1")
	for range 2 {
		q.report(s, 7)
		q.at = q.at.Add(200 * time.Millisecond)
	}
	drain(s)
	q.flush()
	got := drain(s)
	if len(got) == 0 || len(got[len(got)-1].Suspects) != 1 || got[len(got)-1].Suspects[0].AgeMs != 400 {
		t.Fatalf("the router was sent %v, want part 7 as a suspect since 400 ms", got)
	}
	q.survive(s, 7)
	q.endServers([]*session{s})
	if call := q.takeCall(q.peer); !slices.Equal(call.req.Survived, []uint64{7}) {
		t.Errorf("survived parts passed on: %v", call.req.Survived)
	}
	if got := q.quarantined(); len(got) != 1 {
		t.Errorf("quarantined %v after five more ends", got)
	}
}

// One router tests a quarantine when it is due. The end of a server in the test prolongs it,
// a success lifts it.
func TestAQuarantineIsTested(t *testing.T) {
	q := newQuarantineHub(t)
	s := newSession(q.hub, "r1")
	q.endServers([]*session{s})
	q.pass(part7.TestAfter(1))
	if got := q.quarantined(); len(got) != 1 || got[0].Probe != "r1" {
		t.Fatalf("after %s: %v, want a test by r1", part7.TestAfter(1), got)
	}
	q.at = q.at.Add(time.Millisecond)
	q.report(s, 7)
	q.pass(time.Second)
	if got := q.quarantined(); !slices.Equal(got, []publication.Quarantined{{Subject: part7, Strikes: 2}}) {
		t.Fatalf("after the end of a server in the test: %v", got)
	}
	q.pass(part7.TestAfter(1))
	if got := q.quarantined(); got[0].Probe != "" {
		t.Fatalf("tested again after %s: %v", part7.TestAfter(1), got)
	}
	q.pass(part7.TestAfter(2) + probeTimeout)
	other := newSession(q.hub, "r2")
	q.handleRequest(other, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	q.pass(time.Second)
	if got := q.quarantined(); got[0].Probe != "r2" {
		t.Fatalf("the test is still due from %q, which had no request with the part", got[0].Probe)
	}
	q.survive(other, 7)
	q.pass(time.Second)
	if got := q.quarantined(); len(got) != 0 {
		t.Errorf("after a success: %v", got)
	}
}

// Guards against a quarantine that costs replicated changes for ever although nobody sends
// such a request any more: its tests are passed on ever more seldom, and it ends after a day.
func TestAQuarantineThatNobodyAsksForEnds(t *testing.T) {
	const (
		maxChangesInAnHour = 10
		maxAge             = 3 * 24 * time.Hour
	)
	q := newQuarantineHub(t)
	routers := []*session{newSession(q.hub, "r1"), newSession(q.hub, "r2")}
	for _, s := range routers {
		q.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	}
	q.endServers(routers)
	began, before := q.at, q.machine.State().Revision
	for ; len(q.quarantined()) > 0 && q.at.Sub(began) < maxAge; q.at = q.at.Add(5 * time.Second) {
		q.flush()
		for _, s := range routers {
			drain(s)
		}
		if changes := q.machine.State().Revision - before; q.at.Sub(began) <= time.Hour && changes > maxChangesInAnHour {
			t.Fatalf("%d changes within %s, want at most %d in an hour", changes, q.at.Sub(began), maxChangesInAnHour)
		}
	}
	if age := q.at.Sub(began); age < 12*time.Hour || age >= maxAge {
		t.Errorf("the quarantine ended after %s, want about a day", age)
	}
}

// Guards against a leader that has just started and counts from zero again while servers
// go on ending: routers report what they remember when they begin to report here.
func TestANewLeaderLearnsOfEarlierEnds(t *testing.T) {
	q := newQuarantineHub(t)
	q.endServers([]*session{newSession(q.hub, "r1")})
	ended := q.machine.State().Quarantined
	if len(ended) != 1 {
		t.Fatalf("quarantined %v", ended)
	}
	restarted := newQuarantineHub(t)
	var remembered []*fleetpb.Crash
	for i := range 4 {
		remembered = append(remembered, &fleetpb.Crash{Server: "s", Born: int64(i), Suspects: []uint64{7}, AgeMs: uint32(60_000 - 1000*i)})
	}
	slices.Reverse(remembered)
	s := newSession(restarted.hub, "r1")
	restarted.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Crashes: remembered})
	restarted.pass(2 * time.Second)
	if got := restarted.quarantined(); len(got) != 0 {
		t.Fatalf("quarantined %v after four ends", got)
	}
	restarted.ends = 100
	restarted.report(s, 7)
	restarted.pass(2 * time.Second)
	if got := restarted.quarantined(); len(got) != 1 || got[0].Subject != part7 {
		t.Errorf("quarantined %v after the fifth end, want part 7", got)
	}
}

func TestAProcessThatDoesNotLeadQuarantinesNothing(t *testing.T) {
	q := newQuarantineHub(t)
	q.setLeading(false)
	s := newSession(q.hub, "r1")
	q.endServers([]*session{s})
	if got := q.quarantined(); len(got) != 0 {
		t.Errorf("quarantined %v", got)
	}
	q.setLeading(true)
	q.pass(time.Second)
	if got := q.quarantined(); len(got) != 1 {
		t.Errorf("a new leader that knew of the ends quarantined %v", got)
	}
}
