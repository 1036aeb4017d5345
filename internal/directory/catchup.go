package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// stateChanged announces a new revision to all routers and sends it to those that
// report here.
func (h *hub) stateChanged() {
	latest := h.machine.State().Revision
	if latest == h.broadcastRevision {
		return
	}
	h.broadcastRevision = latest
	for s := range h.sessions {
		s.behind = s.behind || s.load != nil
	}
	h.catchUpRouters()
	h.broadcast(func() *fleetpb.FollowUpdate { return &fleetpb.FollowUpdate{} })
}

// handleRequest processes one message of a router's session.
func (h *hub) handleRequest(s *session, req *fleetpb.FollowRequest) {
	if !h.sessions[s] {
		return
	}
	startsReporting := s.load == nil && req.Load != nil
	h.setLoad(s, req.Load)
	s.listDue = s.load != nil && (s.listDue || startsReporting) || req.List
	h.sendLists()
	if req.Fetch {
		s.revision, s.behind = req.Have, true
	}
	s.revision = max(s.revision, req.Have)
	s.behind = s.behind || req.Load != nil && s.revision < h.machine.State().Revision
	if req.Have >= s.fullStateRevision {
		s.fullStateRevision = 0
	}
	h.catchUpRouters()
}

const (
	// bulkBytesPerSecond limits the bandwidth of server lists and full states to two
	// thirds of the 6 Mbit/s link of a small VM. bulkBurstBytes may be sent at once: they
	// take that link 50 ms, which is half of a replication heartbeat interval.
	bulkBytesPerSecond = 500_000
	bulkBurstBytes     = 37_500
)

// maySendBulk reports whether a server list or a full state may be sent now. Without a
// leader none is: no router serves before its configuration is confirmed, and the
// election needs the VM and its link.
func (h *hub) maySendBulk() bool {
	if h.leader == "" {
		return false
	}
	now := h.now()
	h.bulkBytes = min(bulkBurstBytes, h.bulkBytes+now.Sub(h.bulkBytesAt).Seconds()*bulkBytesPerSecond)
	h.bulkBytesAt = now
	return h.bulkBytes > 0
}

// sendLists sends the list of all servers to the routers that are due to get it, as the
// bandwidth allows.
func (h *hub) sendLists() {
	var list []*fleetpb.Announcement
	size := 0
	for s := range h.sessions {
		if !s.listDue {
			continue
		}
		if !h.maySendBulk() {
			return
		}
		if list == nil {
			list = h.allAnnouncements()
			size = proto.Size(&fleetpb.FollowUpdate{Announcements: list})
		}
		s.listDue = false
		s.push(h.withStatus(&fleetpb.FollowUpdate{Announcements: list}))
		h.bulkBytes -= float64(size)
	}
}

const (
	// maxFullStatesInFlight limits the concurrent transfers of the full state. More
	// would delay replication heartbeats on a slow link beyond the election timeout.
	maxFullStatesInFlight = 2
	// fullStateTimeout is how long a transfer may take before it is considered lost.
	fullStateTimeout = time.Second
)

// catchUpRouters sends each router that is behind the commands since its revision, or
// the full state if those commands are no longer retained.
func (h *hub) catchUpRouters() {
	latest, inFlight := h.machine.State().Revision, 0
	for s := range h.sessions {
		if s.fullStateRevision != 0 && h.now().Sub(s.fullStateSentAt) < fullStateTimeout {
			inFlight++
		}
	}
	for s := range h.sessions {
		if !s.behind {
			continue
		}
		if s.revision >= latest {
			s.behind = false
			continue
		}
		u := &fleetpb.FollowUpdate{Revision: latest}
		commands, ok := h.machine.CommandsSince(s.revision)
		switch {
		case ok:
			u.Steps, u.StepsFrom, u.Revision = commands, s.revision, s.revision+uint64(len(commands))
		case s.fullStateRevision != 0 && h.now().Sub(s.fullStateSentAt) < fullStateTimeout:
			continue // It is in flight to this router.
		case inFlight >= maxFullStatesInFlight || !h.maySendBulk():
			continue
		default:
			state, err := h.machine.Encoded()
			if err != nil {
				h.log.Error("full state not sent: encoding failed", "router", s.router, "revision", latest, "error", err)
				return
			}
			u.State, u.Revision = state, state.Revision
			h.bulkBytes -= float64(proto.Size(state))
			s.fullStateRevision, s.fullStateSentAt = state.Revision, h.now()
			inFlight++
		}
		s.revision, s.behind = u.Revision, false
		s.push(h.withStatus(u))
	}
}
