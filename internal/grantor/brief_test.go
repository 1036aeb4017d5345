package grantor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

func announceMessage(a *grantpb.Announcement) *grantpb.RouterMessage {
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: a}}
}

// randomAnnouncement varies every field, the fixed ones seldom.
func randomAnnouncement(r *rand.Rand, seq uint64) *grantpb.Announcement {
	states := []grantpb.ServerState{grantpb.ServerState_SERVER_STATE_READY, grantpb.ServerState_SERVER_STATE_LEAVING}
	return &grantpb.Announcement{
		Name: fmt.Sprint("s", r.IntN(5)), Service: "svc", DataCentre: "dc", Address: "127.0.0.1:1",
		Incarnation: fmt.Sprint(r.IntN(20) / 19), State: states[r.IntN(20)/19], Capacity: uint32(8 + r.IntN(20)/19), ColdCapacity: 2,
		Models: []string{"m"}, Running: r.Uint32N(9), Queued: r.Uint32N(3), MeasuredMsAgo: r.Uint32N(900),
		Sequence: seq, CacheTokens: r.Uint32N(5000), ReadyMs: r.Uint64N(1 << 40),
	}
}

func TestBriefsRestoreToWhatWasAnnounced(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	w, reader := newBriefWriter(), newBriefReader()
	briefs, fullBytes, sentBytes := 0, 0, 0
	const messages = 2000
	for i := range messages {
		a := randomAnnouncement(r, uint64(i))
		want := proto.CloneOf(a)
		sent := w.shorten(announceMessage(a))
		if sent.GetBrief() != nil {
			briefs++
		}
		fullBytes += proto.Size(announceMessage(a))
		sentBytes += proto.Size(sent)
		got := reader.restore(sent).GetAnnouncement()
		got.BriefId = 0
		if !proto.Equal(got, want) {
			t.Fatalf("message %d: %v became %v", i, want, got)
		}
	}
	if briefs < messages/2 {
		t.Errorf("%d of %d messages were shortened", briefs, messages)
	}
	if sentBytes >= fullBytes {
		t.Errorf("%d bytes sent for %d", sentBytes, fullBytes)
	}
	t.Logf("%d B in place of %d B per announcement", sentBytes/messages, fullBytes/messages)
}

func TestBriefWithoutItsFullAnnouncementIsDropped(t *testing.T) {
	m := &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Brief{Brief: &grantpb.Brief{Id: 7}}}
	if got := newBriefReader().restore(m); got != nil {
		t.Errorf("restored to %v", got)
	}
}

func TestServersBeyondTheBoundAreAnnouncedInFull(t *testing.T) {
	w := newBriefWriter()
	for i := range maxBriefs + 2 {
		for range 2 {
			m := w.shorten(announceMessage(&grantpb.Announcement{Name: fmt.Sprint(i)}))
			if i >= maxBriefs && (m.GetAnnouncement() == nil || m.GetAnnouncement().BriefId != 0) {
				t.Fatalf("server %d got %v", i, m)
			}
		}
	}
}
