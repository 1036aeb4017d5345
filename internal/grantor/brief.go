package grantor

import (
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

// maxBriefs bounds the servers that one session refers to briefly.
const maxBriefs = 4096

// briefWriter shortens a router's announcements on one session: after a full one
// of a server, those that differ in load figures only go as briefs. A session
// delivers in order, so the grantor has the full one when a brief arrives.
type briefWriter struct {
	known map[string]*grantpb.Announcement
	next  uint32
}

func newBriefWriter() *briefWriter { return &briefWriter{known: map[string]*grantpb.Announcement{}} }

// shorten returns the message to send in place of m.
func (w *briefWriter) shorten(m *grantpb.RouterMessage) *grantpb.RouterMessage {
	a := m.GetAnnouncement()
	if a == nil {
		return m
	}
	fixed := fixedPart(a)
	if base := w.known[a.Name]; base != nil {
		fixed.BriefId = base.BriefId
		if proto.Equal(base, fixed) {
			return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Brief{Brief: &grantpb.Brief{
				Id: base.BriefId, Sequence: a.Sequence, Running: a.Running, Queued: a.Queued,
				MeasuredMsAgo: a.MeasuredMsAgo, CacheTokens: a.CacheTokens, ReadyMs: a.ReadyMs,
			}}}
		}
	}
	if fixed.BriefId == 0 && w.next < maxBriefs {
		w.next++
		fixed.BriefId = w.next
	}
	if fixed.BriefId != 0 {
		w.known[a.Name] = fixed
	}
	full := proto.CloneOf(a)
	full.BriefId = fixed.BriefId
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: full}}
}

// briefReader restores on the grantor's side what a briefWriter shortened.
type briefReader struct {
	known map[uint32]*grantpb.Announcement
}

func newBriefReader() *briefReader { return &briefReader{known: map[uint32]*grantpb.Announcement{}} }

// restore returns the full message; nil for a brief that refers to nothing known.
func (r *briefReader) restore(m *grantpb.RouterMessage) *grantpb.RouterMessage {
	if a := m.GetAnnouncement(); a != nil {
		if a.BriefId != 0 && a.BriefId <= maxBriefs {
			r.known[a.BriefId] = fixedPart(a)
		}
		return m
	}
	b := m.GetBrief()
	if b == nil {
		return m
	}
	base := r.known[b.Id]
	if base == nil {
		return nil
	}
	a := proto.CloneOf(base)
	a.Sequence, a.Running, a.Queued = b.Sequence, b.Running, b.Queued
	a.MeasuredMsAgo, a.CacheTokens, a.ReadyMs = b.MeasuredMsAgo, b.CacheTokens, b.ReadyMs
	return &grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: a}}
}

// fixedPart returns a copy without the fields that a brief carries.
func fixedPart(a *grantpb.Announcement) *grantpb.Announcement {
	f := proto.CloneOf(a)
	f.Sequence, f.Running, f.Queued, f.MeasuredMsAgo, f.CacheTokens, f.ReadyMs = 0, 0, 0, 0, 0, 0
	return f
}
