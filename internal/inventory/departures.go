package inventory

import (
	"math"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// lastSequence is the sequence of a server that has left. Processes of earlier releases order a
// departure by it.
const lastSequence = math.MaxUint64

// Departure is the latest that an incarnation of a server said of its leaving.
type Departure struct {
	ID   string
	Born int64
	// Sequence is that of the announcement which said so; no announcement of an incarnation
	// that is gone is later than its departure.
	Sequence uint64
	// State is Draining or Gone.
	State State
}

// Supersedes reports whether d is later than other, a departure of the same server.
func (d Departure) Supersedes(other Departure) bool {
	switch {
	case d.Born != other.Born:
		return d.Born > other.Born
	case d.State != other.State:
		return d.State > other.State
	}
	return d.State == Draining && d.Sequence > other.Sequence
}

// covers reports whether what s says of an incarnation is older than its departure.
func (d Departure) covers(s *Server) bool {
	return s.Born < d.Born || s.Born == d.Born && (d.State == Gone || s.Sequence <= d.Sequence)
}

// changes reports whether the departure tells more of a server than what is known.
func (d Departure) changes(s *Server) bool {
	return d.covers(s) && (s.Born != d.Born || s.State < d.State)
}

// Departure returns the departure that the server's state stands for, and false if it is ready.
func (s *Server) Departure() (Departure, bool) {
	return Departure{ID: s.ID, Born: s.Born, Sequence: s.Sequence, State: s.State}, s.State != Ready
}

// apply makes what s says of an incarnation agree with its departure.
func (d Departure) apply(s *Server) {
	s.Born, s.Sequence, s.State = d.Born, max(s.Sequence, d.Sequence), max(s.State, d.State)
}

// SetDepartures replaces the departures that the fleet has recorded, by server, and returns the
// servers whose state changed. The map must not be modified afterwards.
func (t *Table) SetDepartures(departures map[string]Departure, now time.Time) (changed []string) {
	previous := t.departures
	t.departures = departures
	for id, d := range departures {
		t.noteEarlier(id, d.Born)
		s := t.servers[id]
		if previous[id] == d || s != nil && !d.changes(s) {
			continue
		}
		// Routers may know a server that this process does not know.
		next := Server{ID: id, LastSeen: now}
		if s != nil {
			next = *s
		}
		d.apply(&next)
		t.servers[id] = &next
		changed = append(changed, id)
	}
	return changed
}

// ApplyDepartures applies departures that are no longer recorded to the servers that are known, and
// returns those whose state changed.
func (t *Table) ApplyDepartures(departures map[string]Departure) (changed []string) {
	for id, d := range departures {
		t.noteEarlier(id, d.Born)
		if s := t.servers[id]; s != nil && d.changes(s) {
			next := *s
			d.apply(&next)
			t.servers[id] = &next
			changed = append(changed, id)
		}
	}
	return changed
}

// EncodeDeparture returns the message for a departure.
func EncodeDeparture(d Departure) *fleetpb.Departure {
	return &fleetpb.Departure{Id: d.ID, Born: d.Born, Sequence: d.Sequence, State: fleetpb.ServerState(d.State)}
}

// DecodeDeparture returns the departure of a message.
func DecodeDeparture(d *fleetpb.Departure) Departure {
	return Departure{ID: d.Id, Born: d.Born, Sequence: d.Sequence, State: State(d.State)}
}
