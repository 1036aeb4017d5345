package directory

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

// stateChanged announces a new revision to all routers and sends it to those that
// report here.
func (h *hub) stateChanged() {
	// A test may end a server as soon as a router knows of it.
	state := h.machine.State()
	h.quarantine.updateRecords(state.Quarantined, h.now())
	h.mergeDepartures()
	h.updateServedVersions()
	latest := state.Revision
	if latest == h.broadcastRevision {
		return
	}
	if latest < h.broadcastRevision {
		h.log.Error("the replicated state went back", "revision", latest, "was-revision", h.broadcastRevision, "version", state.Version())
		for s := range h.sessions {
			s.revision = 0
		}
	}
	h.logEvacuations(state)
	h.broadcastRevision = latest
	for s := range h.sessions {
		s.behind = s.behind || s.load != nil
	}
	h.catchUpRouters()
	h.broadcast(&fleetpb.FollowUpdate{})
}

// logEvacuations logs the evacuated data centres where they changed.
func (h *hub) logEvacuations(state *publication.State) {
	if !slices.Equal(state.Evacuated, h.evacuated) {
		h.log.Info("evacuations changed", "evacuated", state.Evacuated, "were", h.evacuated, "revision", state.Revision, "was-revision", h.broadcastRevision)
		h.evacuated = state.Evacuated
	}
}

// handleRequest processes one message of a router's session.
func (h *hub) handleRequest(s *session, req *fleetpb.FollowRequest) {
	if !h.sessions[s] {
		return
	}
	startsReporting := s.load == nil && req.Load != nil
	h.setLoad(s, req.Load)
	if req.Ping != 0 {
		h.handoffs.set(s, req.Handoff)
		s.features = featuresOf(req)
	}
	h.recordQuarantineReports(req.Crashes, quarantine.DecodeSubjects(req.Survived, req.SurvivedRequests), true)
	h.recordOrigins(req.Origins, true)
	h.lookUpOrigins(s, req.Lookups)
	s.addSync(req, h.now())
	h.recordTallies(req.Rollouts, true)
	s.listDue = s.load != nil && (s.listDue || startsReporting) || req.List
	if s.listDue {
		h.sendLists()
	}
	h.answerUrgentSyncs()
	if req.Fetch {
		s.revision, s.behind = req.Have, true
	}
	s.revision = max(s.revision, req.Have)
	s.behind = s.behind || req.Load != nil && s.revision < h.machine.State().Revision
	received := s.bulkRevision != 0 && req.Have >= s.bulkRevision
	if received {
		s.bulkRevision = 0
	}
	if s.behind || received {
		h.catchUpRouters()
	}
}

const (
	// bulkBytesPerSecond limits the bandwidth of server lists, full states and large
	// changes to two thirds of the 6 Mbit/s link of a small VM. bulkBurstBytes may be sent
	// at once: they take that link 50 ms, which is half of a replication heartbeat interval.
	bulkBytesPerSecond = 500_000
	bulkBurstBytes     = 37_500
)

// maySendBulk reports whether a server list, a full state or a large change may be sent
// now. Without a leader none is: no router serves before its configuration is confirmed,
// and the election needs the VM and its link.
func (h *hub) maySendBulk() bool {
	return h.leader != "" && h.hasBulkBandwidth()
}

func (h *hub) hasBulkBandwidth() bool {
	now := h.now()
	h.bulkBytes = min(bulkBurstBytes, h.bulkBytes+now.Sub(h.bulkBytesAt).Seconds()*bulkBytesPerSecond)
	h.bulkBytesAt = now
	return h.bulkBytes > 0
}

// maxDeparturesBytes limits the departures that a router is sent while its list waits for
// bandwidth.
const maxDeparturesBytes = 4 << 10

// sendLists sends the list of all servers to the routers that are due to get it, as the
// bandwidth allows. While a list waits, its router is sent the servers that leave: a router that
// comes back may still use them.
func (h *hub) sendLists() {
	var list []*fleetpb.Announcement
	var versions *fleetpb.AllServedVersions
	size := 0
	departures := sync.OnceValues(h.departuresUpdate)
	for s := range h.sessions {
		if !s.listDue {
			continue
		}
		if !h.maySendBulk() {
			h.sendDepartures(s, departures)
			continue
		}
		if list == nil {
			list, versions = h.allAnnouncements(), h.servedVersions()
			size = proto.Size(&fleetpb.FollowUpdate{Announcements: list, ServedVersions: versions})
		}
		s.listDue, s.departuresSent = false, false
		s.push(h.withStatus(&fleetpb.FollowUpdate{Announcements: list, WholeList: h.knowsAllServers, ServedVersions: versions}))
		s.listSent = true
		h.bulkBytes -= float64(size)
	}
}

func (h *hub) sendDepartures(s *session, departures func() ([]*fleetpb.Announcement, int)) {
	if s.departuresSent || h.leader == "" {
		return
	}
	s.departuresSent = true
	h.pushDepartures(s, departures)
}

func (h *hub) pushDepartures(s *session, departures func() ([]*fleetpb.Announcement, int)) {
	leaving, size := departures()
	if len(leaving) == 0 {
		return
	}
	h.bulkBytes -= float64(size)
	s.push(h.withStatus(&fleetpb.FollowUpdate{Announcements: leaving}))
}

// departuresUpdate returns an announcement for each server that leaves, or for as many as fit
// maxDeparturesBytes, and the size of an update with them. The servers that were heard of last come
// first: a router that was away for a short time knows of the others.
func (h *hub) departuresUpdate() (leaving []*fleetpb.Announcement, size int) {
	var servers []*inventory.Server
	h.table.All(func(s *inventory.Server) {
		if s.State != inventory.Ready {
			servers = append(servers, s)
		}
	})
	slices.SortFunc(servers, func(a, b *inventory.Server) int { return b.LastSeen.Compare(a.LastSeen) })
	for _, s := range servers {
		a := inventory.Encode(s, h.now())
		added := proto.Size(&fleetpb.FollowUpdate{Announcements: []*fleetpb.Announcement{a}})
		if size+added > maxDeparturesBytes {
			break
		}
		leaving, size = append(leaving, a), size+added
	}
	return leaving, size
}

const (
	// maxFullStatesInFlight limits the concurrent transfers of the full state. More
	// would delay replication heartbeats on a slow link beyond the election timeout.
	maxFullStatesInFlight = 2
	// bulkTimeout is how long a transfer of a full state or a large change may take before
	// it is considered lost.
	bulkTimeout = time.Second
	// smallStepsBytes is the size up to which changes are sent at once. Most changes of a
	// configuration take 100 to 300 bytes.
	smallStepsBytes = 2 << 10
)

// catchUpRouters sends each router that is behind the commands since its revision, or
// the full state if that is smaller or those commands are no longer retained. A few
// commands are sent at once; more of them, and full states, as the bandwidth allows.
func (h *hub) catchUpRouters() {
	latest, statesInFlight := h.machine.State().Revision, 0
	for s := range h.sessions {
		if s.bulkInFlight(h.now()) && s.bulkIsState {
			statesInFlight++
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
		size := h.stepsSize(s.revision, latest, commands)
		if ok {
			u.Steps, u.StepsFrom, u.Revision = commands, s.revision, s.revision+uint64(len(commands))
		}
		if !ok || size > smallStepsBytes {
			if s.bulkInFlight(h.now()) || !h.maySendBulk() {
				continue
			}
			state, err := h.machine.Encoded()
			if err != nil {
				h.log.Error("full state not sent: encoding failed", "router", s.router, "revision", latest, "error", err)
				return
			}
			isState := !ok || proto.Size(state) < size
			if isState {
				if statesInFlight >= maxFullStatesInFlight {
					continue
				}
				u = &fleetpb.FollowUpdate{State: state, Revision: state.Revision}
				size = proto.Size(state)
				statesInFlight++
			}
			h.bulkBytes -= float64(size)
			s.bulkRevision, s.bulkSentAt, s.bulkIsState = u.Revision, h.now(), isState
		}
		s.revision, s.behind = u.Revision, false
		s.push(h.withStatus(u))
	}
}

// stepsSize returns the size of the commands that lead from one revision to the latest.
// It is called for every waiting router at each message of any router, so that sizes are
// kept until there is a newer revision.
func (h *hub) stepsSize(from, latest uint64, commands []*fleetpb.Command) int {
	if h.stepsSizesOf != latest {
		h.stepsSizes, h.stepsSizesOf = map[uint64]int{}, latest
	}
	size, known := h.stepsSizes[from]
	if !known {
		for _, c := range commands {
			size += proto.Size(c)
		}
		h.stepsSizes[from] = size
	}
	return size
}
