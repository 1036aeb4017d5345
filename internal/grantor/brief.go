package grantor

import (
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// maxBriefs is the maximum number of servers per session that are sent as briefs.
const maxBriefs = 4096

// briefEncoder delta-encodes a router's announcements on one session. Once a full
// announcement of a server has been sent, later ones that differ only in the
// sequence number and the load figures are sent as briefs. A session delivers
// messages in order, so the grantor has the full announcement when a brief
// arrives.
type briefEncoder struct {
	bases  map[string]*grantpb.Announcement
	lastID uint32
}

func newBriefEncoder() *briefEncoder { return &briefEncoder{bases: map[string]*grantpb.Announcement{}} }

// encode returns the message to send instead of m.
func (e *briefEncoder) encode(m *grantpb.RouterMessage) *grantpb.RouterMessage {
	a := m.GetAnnouncement()
	if a == nil {
		return m
	}
	fixed := withoutLoad(a)
	if base := e.bases[a.Name]; base != nil {
		fixed.BriefId = base.BriefId
		if proto.Equal(base, fixed) {
			return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Brief{Brief: &grantpb.Brief{
				Id: base.BriefId, Sequence: a.Sequence, Running: a.Running, Queued: a.Queued,
				MeasuredMsAgo: a.MeasuredMsAgo, CacheTokens: a.CacheTokens, ReadyMs: a.ReadyMs,
			}}}
		}
	}
	if fixed.BriefId == 0 && e.lastID < maxBriefs {
		e.lastID++
		fixed.BriefId = e.lastID
	}
	if fixed.BriefId != 0 {
		e.bases[a.Name] = fixed
	}
	full := proto.CloneOf(a)
	full.BriefId = fixed.BriefId
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: full}}
}

// briefDecoder reverses the encoding of a briefEncoder on the grantor.
type briefDecoder struct {
	bases map[uint32]*grantpb.Announcement
}

func newBriefDecoder() *briefDecoder { return &briefDecoder{bases: map[uint32]*grantpb.Announcement{}} }

// decode returns the full message, or nil for a brief whose full announcement
// has not been received.
func (d *briefDecoder) decode(m *grantpb.RouterMessage) *grantpb.RouterMessage {
	if a := m.GetAnnouncement(); a != nil {
		if a.BriefId != 0 && a.BriefId <= maxBriefs {
			d.bases[a.BriefId] = withoutLoad(a)
		}
		return m
	}
	b := m.GetBrief()
	if b == nil {
		return m
	}
	base := d.bases[b.Id]
	if base == nil {
		return nil
	}
	a := proto.CloneOf(base)
	a.Sequence, a.Running, a.Queued = b.Sequence, b.Running, b.Queued
	a.MeasuredMsAgo, a.CacheTokens, a.ReadyMs = b.MeasuredMsAgo, b.CacheTokens, b.ReadyMs
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: a}}
}

// withoutLoad returns a copy with the fields that a brief carries set to zero.
func withoutLoad(a *grantpb.Announcement) *grantpb.Announcement {
	f := proto.CloneOf(a)
	f.Sequence, f.Running, f.Queued, f.MeasuredMsAgo, f.CacheTokens, f.ReadyMs = 0, 0, 0, 0, 0, 0
	return f
}
