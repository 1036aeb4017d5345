package directory

import (
	"cmp"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// relaysPerRouter is how many routers that take over requests each router is sent: enough
	// to spread the requests of one that reaches no server, also when some of them fail.
	relaysPerRouter = 8
	// maxSpreadRelays limits those that a process sends the other processes, which name each
	// of their routers some of them.
	maxSpreadRelays = 64
)

// relayKeeper keeps track of the routers that take over requests of others.
type relayKeeper struct {
	// version counts the changes of those that follow this process.
	version uint64
	// list holds all that are known, and listVersion counts its changes.
	list        []string
	listVersion uint64
}

// set records the address at which the router of a session takes over requests.
func (k *relayKeeper) set(s *session, address string) {
	if s.relay != address {
		s.relay = address
		k.version++
	}
}

// ownRelays returns up to most routers that follow this process and take over requests. Two
// processes that limit the list leave out different ones.
func (h *hub) ownRelays(most int) []string {
	var out []string
	for s := range h.sessions {
		if s.relay != "" {
			out = append(out, s.relay)
		}
	}
	return nearest(routing.Hash(h.ownAddress), out, most)
}

// updateRelays brings the list of all routers that take over requests up to date.
func (h *hub) updateRelays() {
	all := h.ownRelays(len(h.sessions))
	for _, r := range h.peerReports {
		if h.now().Sub(r.receivedAt) < routerCountTTL {
			all = append(all, r.relays...)
		}
	}
	slices.Sort(all)
	if all = slices.Compact(all); !slices.Equal(all, h.relays.list) {
		h.relays.list = all
		h.relays.listVersion++
	}
}

// relaysFor returns the routers to which the router of a session can pass on requests, or
// nil if it has been sent them.
func (h *hub) relaysFor(s *session) *fleetpb.Relays {
	if s.relaysVersion == h.relays.listVersion {
		return nil
	}
	s.relaysVersion = h.relays.listVersion
	others := slices.DeleteFunc(slices.Clone(h.relays.list), func(a string) bool { return a == s.relay })
	chosen := nearest(routing.Hash(s.router), others, relaysPerRouter)
	if slices.Equal(chosen, s.relaysSent) {
		return nil
	}
	s.relaysSent = chosen
	return &fleetpb.Relays{Addresses: chosen}
}

// nearest returns the most preferred addresses by rendezvous hash, so that different keys
// choose evenly among all of them.
func nearest(key uint64, addresses []string, most int) []string {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(routing.Mix(key, routing.Hash(a)), routing.Mix(key, routing.Hash(b)))
	})
	return addresses[:min(len(addresses), most)]
}
