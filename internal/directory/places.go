package directory

import (
	"maps"
	"slices"

	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// placeUpdater keeps the servers' places up to date while this process leads.
type placeUpdater struct {
	// assigner decides on the places; nil unless this process leads.
	assigner *assignment.Assigner
	// proposing is true while a change of places is not yet committed. Changes that
	// arrive meanwhile are batched into the next one.
	proposing bool
}

// setLeading starts or stops the assignment of places as leadership changes.
func (h *hub) setLeading(leading bool) {
	switch {
	case !leading:
		h.places.assigner = nil
	case h.places.assigner == nil:
		h.places.assigner = assignment.NewAssigner()
		h.reconcilePlaces()
	}
}

// reconcilePlaces proposes the changes of places that the current servers require.
func (h *hub) reconcilePlaces() {
	if h.places.assigner == nil || h.places.proposing {
		return
	}
	state := h.machine.State()
	members := map[string][]assignment.Member{}
	h.table.All(func(s *inventory.Server) {
		members[s.Service] = append(members[s.Service], assignment.Member{ID: s.ID, Born: s.Born, Ready: s.State == inventory.Ready})
	})
	services := maps.Clone(state.Places)
	if services == nil {
		services = map[string][]assignment.Place{}
	}
	for service := range members {
		services[service] = state.Places[service]
	}
	changes := map[string][]assignment.Place{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		if next := h.places.assigner.Changes(service, services[service], members[service], h.now()); len(next) > 0 {
			changes[service] = next
		}
	}
	if len(changes) == 0 {
		return
	}
	h.places.proposing = true
	h.propose(publication.AssignCommand(changes), func(err error) {
		h.places.proposing = false
		n := 0
		for _, next := range changes {
			n += len(next)
		}
		h.log.Info("places changed", "places", n, "services", len(changes), "revision", h.machine.State().Revision, "error", err)
		if err == nil {
			h.reconcilePlaces()
		}
	})
}
