package grantor

import (
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// Guards against a new grantor that takes a server which has started again, or leaves, for the warm one before: the
// router has kept an announcement that arrived late, and sends it when the session opens.
func TestALateAnnouncementIsNotSentToANewGrantor(t *testing.T) {
	const (
		cold, ready, leaving = grantpb.ServerState_SERVER_STATE_COLD, grantpb.ServerState_SERVER_STATE_READY, grantpb.ServerState_SERVER_STATE_LEAVING
	)
	l := newLink(ClientOptions{Name: "r", Config: func() *config.Set { return nil }}, "dc")
	announce := func(name, incarnation string, sequence uint64, state grantpb.ServerState) {
		l.announce(&grantpb.Announcement{Name: name, Incarnation: incarnation, Sequence: sequence, State: state, ReadyMs: 1000}, 0)
	}
	announce("restarts", "1", 5, ready)
	announce("restarts", "2", 1, cold)
	announce("restarts", "1", 4, ready)
	announce("leaves", "1", 6, leaving)
	announce("leaves", "1", 5, ready)
	// One that goes on is alive: another process has the same name.
	announce("shared", "1", 5, ready)
	announce("shared", "2", 1, cold)
	announce("shared", "1", 6, ready)
	type start struct {
		incarnation string
		state       grantpb.ServerState
	}
	want := map[string]start{"restarts": {"2", cold}, "leaves": {"1", leaving}, "shared": {"1", ready}}
	for _, a := range l.helloMessage(time.Now()).Announcements {
		if got := (start{a.Incarnation, a.State}); got != want[a.Name] {
			t.Errorf("a new grantor is sent %v of %s, want %v", got, a.Name, want[a.Name])
		}
		delete(want, a.Name)
	}
	if len(want) > 0 {
		t.Errorf("a new grantor is not sent %d servers", len(want))
	}
}
