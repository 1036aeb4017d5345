package inventory

import (
	"time"
)

// State is whether a server takes requests.
type State int

// States of a server.
const (
	Ready State = iota + 1
	// Draining servers complete their requests in flight and take no new ones.
	Draining
	// Gone servers have left, or another server has taken their address.
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
	// clock. It is only used to order incarnations.
	Born     int64
	Sequence uint64
	Service  string
	// Address is host:port.
	Address    string
	DataCentre string
	// Version is the version of the server's software; empty if it is unknown.
	Version string
	Slots   int
	State   State
	// ColdUntil is the end of the server's cold start, by this process's clock.
	ColdUntil time.Time
	// LastSeen is when the newest announcement reached any process of the fleet,
	// by this process's clock.
	LastSeen time.Time
}

// expireAfter is how long a silent server is kept in the table. It exceeds the
// delay of any announcement that must still be rejected as stale.
const expireAfter = 90 * time.Second

// Table is the list of servers. It is not safe for concurrent use.
type Table struct {
	servers map[string]*Server
	// owners maps an address to the id of the server whose incarnation started
	// there last.
	owners map[string]string
	// lastReady holds the latest announcement of each server in which it was ready, late ones
	// included.
	lastReady map[string]position
	// starts holds what is known of the latest start of each server.
	starts map[string]incarnationStart
	// departures are those that the fleet has recorded, by server.
	departures map[string]Departure
	// isServed reports whether the configuration names a service; nil if that is not known.
	isServed func(service string) bool
}

// New returns an empty Table.
func New() *Table {
	return &Table{servers: map[string]*Server{}, owners: map[string]string{}, lastReady: map[string]position{}, starts: map[string]incarnationStart{}}
}

// Change is the effect of an announcement or a leave on the table.
type Change int

// Results of Merge and Leave.
const (
	// Stale: older than what is known, or a repetition of it. The table is
	// unchanged.
	Stale Change = iota
	// Refreshed: the server is alive and unchanged.
	Refreshed
	// Changed: the server is new, or its state, service, address, data centre or version
	// changed.
	Changed
)

// String returns the change's name in logs.
func (c Change) String() string {
	switch c {
	case Stale:
		return "stale"
	case Refreshed:
		return "refreshed"
	case Changed:
		return "changed"
	}
	return "unknown"
}

// position is the place of an announcement among those of its server.
type position struct {
	born     int64
	sequence uint64
}

func (p position) before(o position) bool {
	return p.born < o.born || p.born == o.born && p.sequence < o.sequence
}

// ReadySince reports whether the server of a departure was ready after it, as far as is known here.
func (t *Table) ReadySince(d Departure) bool {
	return position{d.Born, d.Sequence}.before(t.lastReady[d.ID])
}

// incarnationStart is the latest start of a server.
type incarnationStart struct {
	born int64
	// heardAt is when the incarnation was first heard of.
	heardAt time.Time
	// again is set if an earlier incarnation is known of, from before or since.
	again bool
}

// StartedAgainWithin reports whether the latest incarnation of a server was first heard of less than d
// before now, and an earlier one is known of.
func (t *Table) StartedAgainWithin(id string, d time.Duration, now time.Time) bool {
	s := t.starts[id]
	return s.again && now.Sub(s.heardAt) < d
}

// noteEarlier records that a server had an incarnation that started at born.
func (t *Table) noteEarlier(id string, born int64) {
	if s, found := t.starts[id]; found && born < s.born {
		s.again = true
		t.starts[id] = s
	}
}

// Merge applies an announcement to the table.
func (t *Table) Merge(s Server) Change {
	d, departed := t.departures[s.ID]
	old := t.servers[s.ID]
	startedAgain := s.State != Gone && (old != nil && old.Born < s.Born || old == nil && departed && d.Born < s.Born)
	t.noteEarlier(s.ID, s.Born)
	change := t.merge(s)
	if change == Changed && s.State != Gone && (startedAgain || t.starts[s.ID].born < s.Born) {
		t.starts[s.ID] = incarnationStart{born: s.Born, heardAt: s.LastSeen, again: startedAgain}
	}
	if at := (position{s.Born, s.Sequence}); s.State == Ready && t.servers[s.ID] != nil && t.lastReady[s.ID].before(at) {
		t.lastReady[s.ID] = at
	}
	return change
}

func (t *Table) merge(s Server) Change {
	if d, departed := t.departures[s.ID]; departed && d.covers(&s) {
		if s.Born < d.Born {
			return Stale
		}
		d.apply(&s)
	}
	old := t.servers[s.ID]
	if old != nil && s.Born == old.Born && s.State == Gone && old.State == Gone && old.Service == "" && s.Service != "" {
		// The departure was known without the server, whose service and version still matter.
		t.servers[s.ID] = &s
		return Changed
	}
	if old != nil && s.State == Gone && s.Service == "" && s.Born >= old.Born {
		described := *old
		described.Born, described.Sequence, described.State, described.LastSeen = s.Born, s.Sequence, Gone, s.LastSeen
		s = described
	}
	if t.Overruled(&s) || old != nil && !newer(&s, old) && !(old.State != Gone && t.overrules(&s, old)) {
		return Stale
	}
	if old == nil && !t.makeRoom(&s) {
		return Stale
	}
	if s.Address != "" {
		if owner := t.servers[t.owners[s.Address]]; owner != nil && owner.ID != s.ID && owner.Address == s.Address {
			if owner.Born > s.Born && !t.overrules(&s, owner) {
				return Stale
			}
			gone := *owner
			gone.State = Gone
			t.servers[owner.ID] = &gone
		}
		t.owners[s.Address] = s.ID
	}
	merged := s
	if old != nil && old.Born == s.Born && old.LastSeen.After(s.LastSeen) {
		merged.LastSeen = old.LastSeen
	}
	t.servers[s.ID] = &merged
	if old == nil || old.Born != s.Born || old.State != s.State || old.Service != s.Service || old.Address != s.Address || old.DataCentre != s.DataCentre || old.Version != s.Version {
		return Changed
	}
	if s.ColdUntil.Sub(old.ColdUntil) > coldTolerance {
		return Changed
	}
	return Refreshed
}

// coldTolerance is how much later the announced end of a cold start may become
// without counting as a change. Announcements carry the remaining time, which
// clocks and queuing delays distort.
const coldTolerance = 250 * time.Millisecond

// newer reports whether s is later than old. The end of an incarnation is later than all of its
// announcements: processes know different sequences, since not all announcements are relayed.
func newer(s, old *Server) bool {
	switch {
	case s.Born != old.Born:
		return s.Born > old.Born
	case s.State == Gone || old.State == Gone:
		return old.State != Gone
	}
	return s.Sequence > old.Sequence || s.Sequence == old.Sequence && s.State > old.State
}

// RefreshHeartbeat records that the server is alive and unchanged.
func (t *Table) RefreshHeartbeat(id string, now time.Time) {
	if old := t.servers[id]; old != nil && now.After(old.LastSeen) {
		next := *old
		next.LastSeen = now
		t.servers[id] = &next
	}
}

// Leave marks the known incarnation of a server as gone. A leave for an older
// incarnation is stale; born 0 stands for the known one. A server that is not known may be
// known to other processes: all incarnations that started before now are gone.
func (t *Table) Leave(id string, born int64, now time.Time) (*Server, Change) {
	gone := Server{ID: id, Born: now.UnixMilli()}
	if old := t.servers[id]; old != nil {
		if born != 0 && born < old.Born || old.State == Gone && born <= old.Born {
			return old, Stale
		}
		gone = *old
	}
	if born != 0 {
		gone.Born = born
	}
	gone.State, gone.LastSeen, gone.Sequence = Gone, now, lastSequence
	t.servers[id] = &gone
	return &gone, Changed
}

// Expire removes servers that have been silent for expireAfter, and reports
// whether there were any.
func (t *Table) Expire(now time.Time) bool {
	expired := false
	for id, s := range t.servers {
		if now.Sub(s.LastSeen) < expireAfter {
			continue
		}
		t.remove(id)
		expired = true
	}
	return expired
}

// Get returns the server with the given id, or nil. It must not be modified.
func (t *Table) Get(id string) *Server { return t.servers[id] }

// All calls visit for each server.
func (t *Table) All(visit func(*Server)) {
	for _, s := range t.servers {
		visit(s)
	}
}

// Len returns the number of servers, including those that are gone.
func (t *Table) Len() int { return len(t.servers) }
