package directory

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

func origins(version string, streams ...uint64) []*fleetpb.StreamOrigins {
	return []*fleetpb.StreamOrigins{{Service: "chat", Version: version, Streams: streams}}
}

// answers returns the version of each stream that a router was told, "" if it is unknown.
func answers(s *session) map[streamorigin.Stream]string {
	out := map[streamorigin.Stream]string{}
	for _, u := range drain(s) {
		streamorigin.Decode(u.Origins, func(s streamorigin.Stream, o streamorigin.Origin) { out[s] = o.Version })
		for _, hash := range u.UnknownStreams {
			out[streamorigin.Stream(hash)] = ""
		}
	}
	return out
}

func spreadStreams(req *fleetpb.SpreadRequest) (out []uint64) {
	for _, o := range req.Origins {
		out = append(out, o.Streams...)
	}
	slices.Sort(out)
	return out
}

// Guards against an origin that only the router which began the stream can tell: it may be
// gone, and report to another process.
func TestARouterLearnsTheOriginOfAnotherRoutersStream(t *testing.T) {
	h, _ := newTestHub()
	first, second := newSession(h, "r1"), newSession(h, "r2")
	h.handleRequest(first, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Origins: origins("v1", 1)})
	h.closeSession(first)
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Origins: origins("v2", 2)})
	drain(second)
	h.handleRequest(second, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Lookups: []uint64{1, 2}})
	if got := answers(second); len(got) != 2 || got[1] != "v1" || got[2] != "v2" {
		t.Errorf("the router was told %v", got)
	}
}

// A report may still be on its way through another process when the client comes back.
func TestALookupWaitsForReportsOnTheirWay(t *testing.T) {
	h, _ := newTestHub()
	at := h.now()
	h.now = func() time.Time { return at }
	s := newSession(h, "r1")
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Lookups: []uint64{1, 2}})
	if got := answers(s); len(got) != 0 {
		t.Fatalf("told at once: %v", got)
	}
	at = at.Add(lookupTimeout - 1)
	h.flush()
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Origins: origins("v1", 1)})
	if got := answers(s); len(got) != 1 || got[1] != "v1" {
		t.Errorf("told %v once stream 1 was known", got)
	}
	at = at.Add(1)
	h.flush()
	if got := answers(s); len(got) != 1 || got[2] != "" {
		t.Errorf("told %v after %s", got, lookupTimeout)
	}
	if len(h.origins.lookups) != 0 {
		t.Errorf("%d lookups are left", len(h.origins.lookups))
	}
}

func TestLookupsAreLimited(t *testing.T) {
	h, _ := newTestHub()
	s := newSession(h, "r1")
	var streams []uint64
	for i := range uint64(maxLookups + 1) {
		streams = append(streams, i)
	}
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Lookups: streams})
	if got := answers(s); len(got) != 1 || len(h.origins.lookups) != maxLookups {
		t.Errorf("%d lookups wait, told %v", len(h.origins.lookups), got)
	}
}

// Origins reach the other processes once, again after a call that failed, and the recent ones
// once more after a restart of the other process.
func TestOriginsReachTheOtherProcesses(t *testing.T) {
	h, p := newTestHub()
	s := newSession(h, "r1")
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Origins: origins("v1", 1)})
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Origins: origins("v1", 9)})
	call := h.takeCall(p)
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Origins: origins("v2", 1)})
	h.finishCall(p, call, nil, errors.New("not reached"))
	call = h.takeCall(p)
	if got := call.req.Origins; len(got) != 1 || got[0].Version != "v2" || !slices.Equal(got[0].Streams, []uint64{1}) {
		t.Errorf("sent after a failed call: %v, want the newest origin of stream 1", got)
	}
	h.finishCall(p, call, &fleetpb.SpreadResponse{Process: "run 1"}, nil)
	if call = h.takeCall(p); len(call.req.Origins) != 0 {
		t.Errorf("sent again: %v", call.req.Origins)
	}
	h.finishCall(p, call, &fleetpb.SpreadResponse{Process: "run 2"}, nil)
	if got := spreadStreams(h.takeCall(p).req); !slices.Equal(got, []uint64{1, 9}) {
		t.Errorf("sent to a process that has started again: %v", got)
	}
}

// Guards against routers that take the list of a process which has just started for the whole
// one: a server that has left is then known to other processes alone.
func TestTheListOfAProcessThatHasJustStartedIsNotWhole(t *testing.T) {
	h, _ := newTestHub()
	now := time.Unix(1_700_000_000, 0)
	h.now = func() time.Time { return now }
	s := newSession(h, "r1")
	whole := func() (whole bool) {
		for _, u := range drain(s) {
			whole = whole || u.WholeList
		}
		return whole
	}
	h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
	h.flush()
	if whole() {
		t.Error("the first list counts as whole")
	}
	now = now.Add(learnTime)
	h.flush()
	if !whole() {
		t.Error("the router is not told that it knows all servers")
	}
}

// Guards against routers that resume a stream of unknown origin at the one version they know,
// although servers of another one joined elsewhere: only a process that has heard all others since
// it was asked, and has sent this router what it knows, may say that the router knows all servers. A
// call of another process that comes after the question may have been begun before; the next one
// was not.
func TestServersCountAsKnownOnlyIfAllProcessesWereHeardSince(t *testing.T) {
	newer := []*fleetpb.Announcement{{Id: "new", Born: 1, Sequence: 1, Service: "chat", Address: "h:1", State: fleetpb.ServerState_READY, Version: "v2"}}
	heard := func(h *hub, calls int, announcements ...*fleetpb.Announcement) {
		for range calls {
			h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Announcements: announcements})
		}
	}
	for _, tc := range []struct {
		name string
		// before and after happen before and after the lookup.
		before, after func(*hub, *session)
		want          bool
	}{
		{"the other process was heard twice since", nil, func(h *hub, _ *session) { heard(h, 2) }, true},
		{"the other process told of a server", nil, func(h *hub, _ *session) { heard(h, 2, newer...) }, true},
		{"the other process was heard once since", nil, func(h *hub, _ *session) { heard(h, 1) }, false},
		{"the other process was heard before, and once since", func(h *hub, _ *session) { heard(h, 2) }, func(h *hub, _ *session) { heard(h, 1) }, false},
		{"the other process was heard before alone", func(h *hub, _ *session) { heard(h, 2) }, nil, false},
		{"the other process was never heard", nil, nil, false},
		{"this process has lost the quorum", func(h *hub, _ *session) { h.groupChanged(h.members, "") }, func(h *hub, _ *session) { heard(h, 2) }, false},
		{"this process has just started", func(h *hub, _ *session) { h.knowsAllServers, h.quorumSince = false, h.now().Add(time.Hour) }, func(h *hub, _ *session) { heard(h, 2) }, false},
		{"this process has yet to apply a revision, and the versions recorded with it", nil, func(h *hub, s *session) {
			h.confirmRouters(map[*session]uint64{s: 1}, publication.Mark{Revision: 1}, nil)
			heard(h, 2)
		}, false},
		{"this process has applied all revisions", func(h *hub, s *session) {
			h.confirmRouters(map[*session]uint64{s: 1}, publication.Mark{Revision: 1}, nil)
		}, func(h *hub, s *session) {
			h.confirmRouters(map[*session]uint64{s: 2}, publication.Mark{}, nil)
			heard(h, 2)
		}, true},
		{"the router reports elsewhere", nil, func(h *hub, s *session) {
			h.handleRequest(s, &fleetpb.FollowRequest{})
			heard(h, 2)
		}, false},
		{"the router was not sent the list", func(_ *hub, s *session) { s.listSent = false }, func(h *hub, _ *session) { heard(h, 2) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, _ := newTestHub()
			at := h.now()
			h.now = func() time.Time {
				at = at.Add(time.Microsecond)
				return at
			}
			h.flush()
			at = at.Add(learnTime)
			h.flush()
			s := newSession(h, "r1")
			h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}})
			if tc.before != nil {
				tc.before(h, s)
			}
			drain(s)
			h.handleRequest(s, &fleetpb.FollowRequest{Load: &fleetpb.Load{}, Lookups: []uint64{1}})
			if tc.after != nil {
				tc.after(h, s)
			}
			told, confirmed, answered := 0, false, false
			read := func() {
				for _, u := range drain(s) {
					told += len(u.Announcements)
					confirmed = confirmed || len(u.ServersKnownStreams) == 1
					if len(u.UnknownStreams) > 0 {
						if answered = true; u.ServersKnown != tc.want {
							t.Errorf("servers known in the answer: %t, want %t", u.ServersKnown, tc.want)
						}
					}
					if (confirmed || u.ServersKnown) && h.table.Get("new") != nil && told == 0 {
						t.Error("the router was told that it knows all servers before it was told of the newest one")
					}
				}
			}
			if read(); confirmed != tc.want || answered {
				t.Errorf("before the wait is over: servers known %t, answered %t, want %t and no answer", confirmed, answered, tc.want)
			}
			at = at.Add(lookupTimeout)
			h.expireLookups()
			if read(); !answered {
				t.Error("the router was not answered")
			}
		})
	}
}
