package directory

import (
	"context"
	"maps"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/homes"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// places is what the leader's hub does for the servers' places.
type places struct {
	// keeper is set while this process leads.
	keeper *homes.Keeper
	// proposing is true while a change of places waits for its commit; the next one
	// gathers what comes meanwhile.
	proposing bool
	// propose replicates a command and calls done on the hub's goroutine.
	propose func(cmd *fleetpb.Command, done func(error))
}

// lead is told whether this process leads the group.
func (h *hub) lead(leading bool) {
	switch {
	case !leading:
		h.places.keeper = nil
	case h.places.keeper == nil:
		h.places.keeper = homes.NewKeeper()
		h.keepPlaces()
	}
}

// keepPlaces changes the places as the servers change.
func (h *hub) keepPlaces() {
	if h.places.keeper == nil || h.places.proposing {
		return
	}
	state := h.machine.State()
	members := map[string][]homes.Member{}
	h.table.All(func(s *inventory.Server) {
		members[s.Service] = append(members[s.Service], homes.Member{ID: s.ID, Born: s.Born, Ready: s.State == inventory.Ready})
	})
	services := maps.Clone(state.Places)
	if services == nil {
		services = map[string][]homes.Place{}
	}
	for service := range members {
		services[service] = state.Places[service]
	}
	changes := map[string][]homes.Place{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		if next := h.places.keeper.Next(service, services[service], members[service], h.now()); len(next) > 0 {
			changes[service] = next
		}
	}
	if len(changes) == 0 {
		return
	}
	h.places.proposing = true
	h.places.propose(publication.Assignment(changes), func(err error) {
		h.places.proposing = false
		n := 0
		for _, next := range changes {
			n += len(next)
		}
		h.log.Info("places changed", "places", n, "services", len(changes), "revision", h.machine.State().Revision, "error", err)
		if err == nil {
			h.keepPlaces()
		}
	})
}

// assign replicates a change of places.
func (p *Process) assign(cmd *fleetpb.Command, done func(error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		_, err := p.server.changeHere(ctx, cmd)
		p.hub.post(context.Background(), func() { done(err) })
	}()
}
