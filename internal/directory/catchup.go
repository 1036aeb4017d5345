package directory

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// stateChanged tells the routers of a new revision, and sends it to those that
// report here.
func (h *hub) stateChanged() {
	newest := h.machine.State().Revision
	if newest == h.revision {
		return
	}
	h.revision = newest
	for s := range h.sessions {
		s.behind = s.behind || s.load != nil
	}
	h.bringUp()
	h.broadcast(&fleetpb.FollowUpdate{})
}

// asked takes in what a router says of itself.
func (h *hub) asked(s *session, req *fleetpb.FollowRequest) {
	// A router that reports to another process now sends no load.
	s.load = req.Load
	if req.List || s.load != nil && !s.listed {
		s.push(h.common(&fleetpb.FollowUpdate{Announcements: h.known()}))
	}
	s.listed = s.load != nil
	if req.Fetch {
		s.have, s.behind = req.Have, true
	}
	s.have = max(s.have, req.Have)
	s.behind = s.behind || req.Load != nil && s.have < h.machine.State().Revision
	if req.Have >= s.whole {
		s.whole = 0
	}
	h.bringUp()
}

const (
	// maxWhole bounds the whole states on their way at once: more would hold up the
	// replication's heartbeats on a slow link for longer than voters wait.
	maxWhole = 2
	// wholeTimeout is how long one may take before it counts as lost.
	wholeTimeout = time.Second
)

// bringUp sends routers that are behind what they lack: the steps since what they
// hold, or the whole state.
func (h *hub) bringUp() {
	newest, whole := h.machine.State().Revision, 0
	for s := range h.sessions {
		if s.whole != 0 && h.now().Sub(s.wholeSent) < wholeTimeout {
			whole++
		}
	}
	for s := range h.sessions {
		if !s.behind {
			continue
		}
		if s.have >= newest {
			s.behind = false
			continue
		}
		u := &fleetpb.FollowUpdate{Revision: newest}
		steps, ok := h.machine.Steps(s.have)
		switch {
		case ok:
			u.Steps, u.StepsFrom, u.Revision = steps, s.have, s.have+uint64(len(steps))
		case whole >= maxWhole:
			continue
		default:
			state, err := h.machine.Encoded()
			if err != nil {
				h.log.Error("state cannot be sent", "router", s.router, "revision", newest, "error", err)
				return
			}
			u.State, u.Revision = state, state.Revision
			s.whole, s.wholeSent = state.Revision, h.now()
			whole++
		}
		s.have, s.behind = u.Revision, false
		s.push(u)
	}
}
