package directory

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

const (
	// servedVersionTTL is how long a version is recorded after the last server with it was heard. The table is looked
	// at every expireInterval, and lists a server for departureTTL after that.
	servedVersionTTL = departureTTL + 2*expireInterval
	// maxServedVersions and maxVersionsPerService limit the versions that are recorded: any writer may announce some.
	// Streams of a service with more are not resumed by routers that do not know their origin.
	maxServedVersions     = 512
	maxVersionsPerService = 16
)

// versionKeeper has the fleet record which software versions servers have or had lately. Routers and directory
// processes that start later learn from the list of servers of those alone that are still in it.
type versionKeeper struct {
	// recorded are the versions in the replicated state as last seen.
	recorded []inventory.ServedVersion
	// heardAt is when a server with each of them was last heard, as far as this process was in touch as the leader,
	// and checkedAt is when that was last updated.
	heardAt   map[inventory.ServedVersion]time.Time
	checkedAt time.Time
	// waiting are to be recorded; they are proposed together once no proposal is in flight.
	waiting   map[inventory.ServedVersion]bool
	proposing bool
}

func newVersionKeeper() versionKeeper {
	return versionKeeper{waiting: map[inventory.ServedVersion]bool{}}
}

// updateServedVersions takes over the versions that the replicated state holds, and tells the routers.
func (h *hub) updateServedVersions() {
	k, recorded := &h.versions, h.machine.State().ServedVersions
	if slices.Equal(recorded, k.recorded) {
		return
	}
	for _, v := range recorded {
		delete(k.waiting, v)
	}
	k.recorded = recorded
	for s := range h.sessions {
		if s.listSent {
			s.push(h.withStatus(&fleetpb.FollowUpdate{ServedVersions: h.servedVersions()}))
		}
	}
	// A server of one that was just forgotten may have announced itself before.
	h.table.All(h.addServedVersion)
	h.proposeServedVersions()
}

func (h *hub) servedVersions() *fleetpb.AllServedVersions {
	return &fleetpb.AllServedVersions{Services: inventory.EncodeServedVersions(h.versions.recorded)}
}

// addServedVersion has the version of a server recorded, if it is not. All processes do that, since the one to which
// the server announced itself may run an earlier release; the command has an effect once.
func (h *hub) addServedVersion(s *inventory.Server) {
	k := &h.versions
	v, known := s.ServedVersion()
	if !known || k.waiting[v] {
		return
	}
	if _, found := slices.BinarySearchFunc(k.recorded, v, inventory.ServedVersion.Compare); found || h.isOverVersionLimit(v) {
		return
	}
	k.waiting[v] = true
}

// isOverVersionLimit reports whether a version is one too many. Services that the configuration does not name
// have half of the record.
func (h *hub) isOverVersionLimit(v inventory.ServedVersion) bool {
	k := &h.versions
	total, ofService := len(k.recorded)+len(k.waiting), 0
	for _, r := range k.recorded {
		if r.Service == v.Service {
			ofService++
		}
	}
	for w := range k.waiting {
		if w.Service == v.Service {
			ofService++
		}
	}
	return total >= maxServedVersions || ofService >= maxVersionsPerService || total >= maxServedVersions/2 && !h.isServed(v.Service)
}

// proposeServedVersions proposes the versions that wait. It is called again with each flush, for those whose
// proposal failed.
func (h *hub) proposeServedVersions() {
	k := &h.versions
	if k.proposing || len(k.waiting) == 0 || h.leader == "" {
		return
	}
	var served []inventory.ServedVersion
	for v := range k.waiting {
		served = append(served, v)
	}
	slices.SortFunc(served, inventory.ServedVersion.Compare)
	k.proposing = true
	h.submit(publication.RecordVersionsCommand(served, nil), func(err error) {
		k.proposing = false
		if err != nil {
			h.log.Warn("software versions not recorded", "versions", len(served), "first", served[0].Version, "service", served[0].Service, "error", err)
			return
		}
		h.log.Info("software versions recorded", "versions", len(served), "first", served[0].Version, "service", served[0].Service)
		for _, v := range served {
			delete(k.waiting, v)
		}
		h.proposeServedVersions()
	})
}

// forgetServedVersions drops the recorded versions of which no server was heard for servedVersionTTL, while this
// process leads. One that did not lead or stood still may not have heard of servers that were replaced meanwhile.
func (h *hub) forgetServedVersions() {
	k, now := &h.versions, h.now()
	if h.places.assigner == nil {
		return
	}
	wasInTouch := now.Sub(k.checkedAt) < 2*expireInterval
	lastSeen := map[inventory.ServedVersion]time.Time{}
	h.table.All(func(s *inventory.Server) {
		if v, known := s.ServedVersion(); known && s.LastSeen.After(lastSeen[v]) {
			lastSeen[v] = s.LastSeen
		}
	})
	heardAt := make(map[inventory.ServedVersion]time.Time, len(k.recorded))
	var forgotten []inventory.ServedVersion
	for _, v := range k.recorded {
		seen, listed := lastSeen[v]
		at, known := k.heardAt[v]
		switch {
		case !wasInTouch || !known:
			at = now
		case seen.After(at):
			at = seen
		}
		heardAt[v] = at
		if !listed && now.Sub(at) >= servedVersionTTL {
			forgotten = append(forgotten, v)
		}
	}
	k.heardAt, k.checkedAt = heardAt, now
	if len(forgotten) == 0 {
		return
	}
	h.propose(publication.RecordVersionsCommand(nil, forgotten), func(err error) {
		h.log.Info("software versions forgotten", "versions", len(forgotten), "first", forgotten[0].Version, "service", forgotten[0].Service, "error", err)
	})
}
