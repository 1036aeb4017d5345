package publication

import (
	"cmp"
	"maps"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// DepartCommand returns the command that records departures.
func DepartCommand(departures []inventory.Departure) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Depart{Depart: &fleetpb.Depart{Departures: encodeAll(departures)}}}
}

// ForgetCommand returns the command that drops departures which no later one has replaced.
func ForgetCommand(departures []inventory.Departure) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Depart{Depart: &fleetpb.Depart{Forgotten: encodeAll(departures)}}}
}

func encodeAll(departures []inventory.Departure) []*fleetpb.Departure {
	var out []*fleetpb.Departure
	for _, d := range departures {
		out = append(out, inventory.EncodeDeparture(d))
	}
	return out
}

// depart reports whether anything changed.
func (s *State) depart(in *fleetpb.Depart) bool {
	departures, changed := maps.Clone(s.Departures), false
	if departures == nil {
		departures = map[string]inventory.Departure{}
	}
	for _, m := range in.Forgotten {
		if d := inventory.DecodeDeparture(m); departures[d.ID] == d {
			delete(departures, d.ID)
			changed = true
		}
	}
	for _, m := range in.Departures {
		d := inventory.DecodeDeparture(m)
		if held, found := departures[d.ID]; found && !d.Supersedes(held) {
			continue
		}
		departures[d.ID], changed = d, true
	}
	s.Departures = departures
	return changed
}

// retainForgotten retains the recorded departures that a command drops. A caller that reads the state
// once for many commands would never see them.
func (m *Machine) retainForgotten(in []*fleetpb.Departure) {
	for _, message := range in {
		d := inventory.DecodeDeparture(message)
		if m.state.Departures[d.ID] != d {
			continue
		}
		if held, found := m.forgotten[d.ID]; found && !d.Supersedes(held) {
			continue
		}
		if m.forgotten == nil {
			m.forgotten = map[string]inventory.Departure{}
		}
		m.forgotten[d.ID] = d
	}
}

// TakeDepartures returns the departures that are recorded, and those that were dropped from the
// record since the last call. The caller must not modify the former.
func (m *Machine) TakeDepartures() (recorded, forgotten map[string]inventory.Departure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	forgotten, m.forgotten = m.forgotten, nil
	return m.state.Departures, forgotten
}

func encodeDepartures(departures map[string]inventory.Departure) []*fleetpb.Departure {
	byID := func(a, b inventory.Departure) int { return cmp.Compare(a.ID, b.ID) }
	return encodeAll(slices.SortedFunc(maps.Values(departures), byID))
}

func decodeDepartures(in []*fleetpb.Departure) map[string]inventory.Departure {
	out := map[string]inventory.Departure{}
	for _, d := range in {
		out[d.Id] = inventory.DecodeDeparture(d)
	}
	return out
}
