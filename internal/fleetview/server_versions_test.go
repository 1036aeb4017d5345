package fleetview

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/routing"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// announceServer makes a server known to the view, and returns a connection to it that was opened now.
func announceServer(v *View, l *link) Connection {
	v.links[l.address], v.seeds = l, []string{l.address}
	v.onUpdate(l, announcementOf(1, "v1"))
	return Connection{Server: "x", Born: 1, Software: streamorigin.Origin{Service: "chat", Version: "v1"}, OpenedAt: clock.SinceBoot()}
}

func announcementOf(born int64, version string) update {
	return update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Announcements: []*fleetpb.Announcement{
		{Id: "x", Born: born, Sequence: 1, Service: "chat", Address: "x:1", State: fleetpb.ServerState_READY, Version: version},
	}}}
}

// newReportingView returns a view that reports on its link.
func newReportingView() (*View, *link) {
	v, l := newView()
	l.report = make(chan struct{}, 1)
	l.connected, l.inQuorum = true, true
	v.reportTo.Store(l)
	return v, l
}

func synced(at time.Duration, inQuorum bool) update {
	return update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: inQuorum, Synced: uint64(at)}}
}

// heartbeat is the message that the server has announced itself again.
func heartbeat() update {
	return update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Heard: []uint32{uint32(routing.Hash("x"))}}}
}

// Guards against a router that takes a server for the version that it knows, although the server may have started
// again before the connection was opened: only an answer to what was asked after that tells, and a heartbeat since.
func TestAVersionIsConfirmedByAnAnswerToALaterQuestion(t *testing.T) {
	v, l := newReportingView()
	server := announceServer(v, l)
	after := server.OpenedAt
	ctx, cancel := context.WithCancelCause(t.Context())
	notYet := errors.New("not yet")
	cancel(notYet)
	for name, u := range map[string]update{
		"no answer":                        heartbeat(),
		"an answer to an earlier question": synced(after-1, true),
		"a process out of quorum":          synced(after, false),
	} {
		v.onUpdate(l, u)
		if err := v.ConfirmVersion(ctx, server); !errors.Is(err, notYet) {
			t.Errorf("%s: %v, want to wait", name, err)
		}
	}
	other := &link{view: v, address: "d:2", connected: true, inQuorum: true, cancel: func() {}}
	v.links["d:2"] = other
	v.onUpdate(other, synced(after, true))
	if err := v.ConfirmVersion(ctx, server); !errors.Is(err, notYet) {
		t.Errorf("confirmed by a process that does not send the router the servers that others relay: %v", err)
	}
	<-l.report // Those that gave up have asked.
	done := make(chan error, 1)
	go func() { done <- v.ConfirmVersion(t.Context(), server) }()
	<-l.report
	v.onUpdate(l, synced(after, true))
	if err := <-done; err != nil {
		t.Errorf("after the answer: %v", err)
	}
	later := Connection{Server: "x", Born: 1, Software: server.Software, OpenedAt: clock.SinceBoot()}
	v.onUpdate(l, synced(later.OpenedAt, true))
	if err := v.ConfirmVersion(ctx, later); !errors.Is(err, notYet) {
		t.Errorf("the server has not announced itself since: %v, want to wait", err)
	}
	v.onUpdate(l, heartbeat())
	if err := v.ConfirmVersion(ctx, later); err != nil {
		t.Errorf("the server has announced itself since: %v", err)
	}
	v.onUpdate(l, announcementOf(2, "v1"))
	if err := v.ConfirmVersion(t.Context(), later); err != nil {
		t.Errorf("after another incarnation of the version, which the session has brought: %v", err)
	}
	server.OpenedAt -= time.Second
	if err := v.ConfirmVersion(t.Context(), server); !errors.Is(err, ErrReplaced) {
		t.Errorf("after another incarnation of the version, before which another one may have run unseen: %v", err)
	}
	v.onUpdate(l, announcementOf(3, "v2"))
	if err := v.ConfirmVersion(t.Context(), later); !errors.Is(err, ErrReplaced) {
		t.Errorf("after another version: %v", err)
	}
	v.onUpdate(l, announcementOf(4, "v1"))
	if err := v.ConfirmVersion(t.Context(), later); !errors.Is(err, ErrReplaced) {
		t.Errorf("after another version and the former one again: %v", err)
	}
}

// Guards against a router that is lost before it has reported which incarnation began a stream: the origin does not
// wait until that is certain, and says that it is not.
func TestTheOriginOfAStreamIsReportedBeforeItIsCertain(t *testing.T) {
	v, _ := newReportingView()
	uncertain := streamorigin.Origin{Service: "chat", Version: "v1", Server: "x", Born: 1}
	for _, want := range []streamorigin.Origin{uncertain, uncertain.Certain()} {
		v.RecordOrigin(1, want, true)
		origins, _ := v.origins.Report(false, time.Now())
		var got []streamorigin.Origin
		streamorigin.Decode(origins, func(_ streamorigin.Stream, o streamorigin.Origin) { got = append(got, o) })
		if len(got) != 1 || got[0] != want {
			t.Errorf("reported %v, want %v", got, want)
		}
	}
}

// Guards against streams that no router continues while the directory has an earlier release, which answers no sync:
// its confirmations tell as much once it has sent the list of all servers.
func TestConfirmationsOfAnEarlierReleaseConfirmVersions(t *testing.T) {
	v, l := newReportingView()
	server := announceServer(v, l)
	after := server.OpenedAt
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	v.onUpdate(l, heartbeat())
	confirmation := update{FollowUpdate: &fleetpb.FollowUpdate{Routers: 1, InQuorum: true, Pong: 1, Confirmed: true}, pingSentAt: after}
	l.reportsSince = after - listTime
	v.onUpdate(l, confirmation)
	if v.ConfirmVersion(ctx, server) == nil {
		t.Error("confirmed while the list of all servers may be on its way")
	}
	l.reportsSince--
	v.onUpdate(l, confirmation)
	if err := v.ConfirmVersion(ctx, server); err != nil {
		t.Errorf("not confirmed after the list of all servers: %v", err)
	}
}
