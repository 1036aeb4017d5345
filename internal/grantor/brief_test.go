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

// randomAnnouncement varies the fields that a brief carries each time, and the
// others rarely.
func randomAnnouncement(r *rand.Rand, seq uint64) *grantpb.Announcement {
	states := []grantpb.ServerState{grantpb.ServerState_SERVER_STATE_READY, grantpb.ServerState_SERVER_STATE_LEAVING}
	return &grantpb.Announcement{
		Name: fmt.Sprint("s", r.IntN(5)), Service: "svc", DataCentre: "dc", Address: "127.0.0.1:1",
		Incarnation: fmt.Sprint(r.IntN(20) / 19), State: states[r.IntN(20)/19], Capacity: uint32(8 + r.IntN(20)/19), ColdCapacity: 2,
		Models: []string{"m"}, Running: r.Uint32N(9), Queued: r.Uint32N(3), MeasuredMsAgo: r.Uint32N(900),
		Sequence: seq, CacheTokens: r.Uint32N(5000), ReadyMs: r.Uint64N(1 << 40),
	}
}

func TestBriefsDecodeToTheOriginalAnnouncements(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	decoder, reader := newBriefEncoder(), newBriefDecoder()
	briefs, fullBytes, sentBytes := 0, 0, 0
	const messages = 2000
	for i := range messages {
		a := randomAnnouncement(r, uint64(i))
		want := proto.CloneOf(a)
		sent := decoder.encode(announceMessage(a))
		if sent.GetBrief() != nil {
			briefs++
		}
		fullBytes += proto.Size(announceMessage(a))
		sentBytes += proto.Size(sent)
		got := reader.decode(sent).GetAnnouncement()
		got.BriefId = 0
		if !proto.Equal(got, want) {
			t.Fatalf("message %d: sent %v, decoded %v", i, want, got)
		}
	}
	if briefs < messages/2 {
		t.Errorf("%d of %d messages were sent as briefs", briefs, messages)
	}
	if sentBytes >= fullBytes {
		t.Errorf("sent %d bytes, want fewer than %d, the size of the full announcements", sentBytes, fullBytes)
	}
	t.Logf("%d B instead of %d B per announcement", sentBytes/messages, fullBytes/messages)
}

func TestBriefWithoutItsFullAnnouncementIsDropped(t *testing.T) {
	m := &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Brief{Brief: &grantpb.Brief{Id: 7}}}
	if got := newBriefDecoder().decode(m); got != nil {
		t.Errorf("decoded to %v, want nil", got)
	}
}

func TestServersBeyondTheBoundAreAnnouncedInFull(t *testing.T) {
	w := newBriefEncoder()
	for i := range maxBriefs + 2 {
		for range 2 {
			m := w.encode(announceMessage(&grantpb.Announcement{Name: fmt.Sprint(i)}))
			if i >= maxBriefs && (m.GetAnnouncement() == nil || m.GetAnnouncement().BriefId != 0) {
				t.Fatalf("server %d: sent %v, want a full announcement without brief id", i, m)
			}
		}
	}
}
