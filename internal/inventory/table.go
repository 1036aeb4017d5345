package inventory

import (
	"time"
)

// State is what a server said of its part in the service.
type State int

// The states.
const (
	Ready State = iota + 1
	// Draining servers finish what they run and take nothing new.
	Draining
	// Gone servers have left, or another server has their address.
	Gone
)

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Server is one incarnation of a backend server.
type Server struct {
	ID string
	// Born is when the incarnation started, in Unix milliseconds by the server's
	// clock. It only orders incarnations.
	Born     int64
	Sequence uint64
	Service  string
	// Address is host:port.
	Address    string
	DataCentre string
	Slots      int
	State      State
	// ColdUntil is when the server stops being cold, by this process's clock.
	ColdUntil time.Time
	// Heard is when the newest announcement reached the fleet.
	Heard time.Time
}

// forgetAfter is how long a server is remembered that says nothing. It exceeds
// any delay of an announcement that is still worth refusing.
const forgetAfter = 90 * time.Second

// Table is the list of servers. It is not safe for concurrent use.
type Table struct {
	servers map[string]*Server
	// owners maps an address to the id of the last incarnation started there.
	owners map[string]string
}

// New returns an empty Table.
func New() *Table {
	return &Table{servers: map[string]*Server{}, owners: map[string]string{}}
}

// Change says what a merge did.
type Change int

// The results of Merge.
const (
	// Stale announcements tell nothing new.
	Stale Change = iota
	// Refreshed: the server lives on as it was.
	Refreshed
	// Changed: the server is new, or its state, service or address changed.
	Changed
)

// Merge takes an announcement in.
func (t *Table) Merge(s Server) Change {
	old := t.servers[s.ID]
	if old != nil && !newer(&s, old) {
		return Stale
	}
	if old != nil && old.State == Gone && s.Born == old.Born {
		return Stale
	}
	if owner := t.servers[t.owners[s.Address]]; owner != nil && owner.ID != s.ID && owner.Address == s.Address {
		if owner.Born > s.Born {
			return Stale
		}
		gone := *owner
		gone.State = Gone
		t.servers[owner.ID] = &gone
	}
	t.owners[s.Address] = s.ID
	merged := s
	if old != nil && old.Born == s.Born && old.Heard.After(s.Heard) {
		merged.Heard = old.Heard
	}
	t.servers[s.ID] = &merged
	if old == nil || old.Born != s.Born || old.State != s.State || old.Service != s.Service || old.Address != s.Address {
		return Changed
	}
	if s.ColdUntil.Sub(old.ColdUntil) > coldTolerance {
		return Changed
	}
	return Refreshed
}

// coldTolerance is how far two accounts of the end of the cold time may lie
// apart without being news: they pass through clocks and queues.
const coldTolerance = 250 * time.Millisecond

func newer(s, old *Server) bool {
	if s.Born != old.Born {
		return s.Born > old.Born
	}
	return s.Sequence > old.Sequence || s.Sequence == old.Sequence && s.State > old.State
}

// Hear notes that the server lives on as it was.
func (t *Table) Hear(id string, now time.Time) {
	if old := t.servers[id]; old != nil && now.After(old.Heard) {
		next := *old
		next.Heard = now
		t.servers[id] = &next
	}
}

// Leave marks the incarnation that is known under the id as gone. A leave that
// names an older incarnation is stale; born 0 means the known one.
func (t *Table) Leave(id string, born int64, now time.Time) (*Server, Change) {
	old := t.servers[id]
	if old == nil || born != 0 && born < old.Born || old.State == Gone && born <= old.Born {
		return old, Stale
	}
	gone := *old
	gone.State, gone.Heard = Gone, now
	gone.Born = max(gone.Born, born)
	gone.Sequence++
	t.servers[id] = &gone
	return &gone, Changed
}

// Expire forgets servers that have been silent for long, and returns whether any was.
func (t *Table) Expire(now time.Time) bool {
	any := false
	for id, s := range t.servers {
		if now.Sub(s.Heard) < forgetAfter {
			continue
		}
		delete(t.servers, id)
		if t.owners[s.Address] == id {
			delete(t.owners, s.Address)
		}
		any = true
	}
	return any
}

// Get returns the server of that id, or nil. It must not be changed.
func (t *Table) Get(id string) *Server { return t.servers[id] }

// All calls visit for each server.
func (t *Table) All(visit func(*Server)) {
	for _, s := range t.servers {
		visit(s)
	}
}

// Len returns the number of servers, those that are gone included.
func (t *Table) Len() int { return len(t.servers) }
