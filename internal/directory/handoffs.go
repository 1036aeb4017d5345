package directory

import (
	"cmp"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// handoffsPerRouter is how many routers that take over requests each router is sent: enough
	// to spread the requests of one that reaches no server, also when some of them fail.
	handoffsPerRouter = 8
	// maxSpreadHandoffs limits those that a process sends the other processes, which name each
	// of their routers some of them.
	maxSpreadHandoffs = 64
)

// handoffKeeper keeps track of the routers that take over requests of others.
type handoffKeeper struct {
	// version counts the changes of those that follow this process.
	version uint64
	// list holds all that are known, and listVersion counts its changes.
	list        []string
	listVersion uint64
}

// set records the address at which the router of a session takes over requests.
func (k *handoffKeeper) set(s *session, address string) {
	if s.handoff != address {
		s.handoff = address
		k.version++
	}
}

// ownHandoffs returns up to most routers that follow this process and take over requests. Two
// processes that limit the list leave out different ones.
func (h *hub) ownHandoffs(most int) []string {
	var out []string
	for s := range h.sessions {
		if s.handoff != "" {
			out = append(out, s.handoff)
		}
	}
	return nearest(routing.Hash(h.ownAddress), out, most)
}

// updateHandoffs brings the list of all routers that take over requests up to date.
func (h *hub) updateHandoffs() {
	all := h.ownHandoffs(len(h.sessions))
	for _, r := range h.peerReports {
		if h.now().Sub(r.receivedAt) < routerCountTTL {
			all = append(all, r.handoffs...)
		}
	}
	slices.Sort(all)
	if all = slices.Compact(all); !slices.Equal(all, h.handoffs.list) {
		h.handoffs.list = all
		h.handoffs.listVersion++
	}
}

// handoffsFor returns the routers to which the router of a session can pass on requests, or
// nil if it has been sent them.
func (h *hub) handoffsFor(s *session) *fleetpb.Handoffs {
	if s.handoffsVersion == h.handoffs.listVersion {
		return nil
	}
	s.handoffsVersion = h.handoffs.listVersion
	others := slices.DeleteFunc(slices.Clone(h.handoffs.list), func(a string) bool { return a == s.handoff })
	chosen := nearest(routing.Hash(s.router), others, handoffsPerRouter)
	if slices.Equal(chosen, s.handoffsSent) {
		return nil
	}
	s.handoffsSent = chosen
	return &fleetpb.Handoffs{Addresses: chosen}
}

// nearest returns the most preferred addresses by rendezvous hash, so that different keys
// choose evenly among all of them.
func nearest(key uint64, addresses []string, most int) []string {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(routing.Mix(key, routing.Hash(a)), routing.Mix(key, routing.Hash(b)))
	})
	return addresses[:min(len(addresses), most)]
}
