package inventory

import "time"

// aliveTime is how long after its last announcement a server is taken to be alive. Announcements
// come every 1.2 s and may be seconds late.
const aliveTime = 5 * time.Second

// SetServed sets the function that reports whether the configuration names a service. It must
// return true for all services while none is known.
func (t *Table) SetServed(isServed func(service string) bool) { t.isServed = isServed }

// Overruled reports whether s is not to replace a server that is alive, since the configuration
// names that server's service and not that of s. Another writer could shut the server out with an
// announcement that names a later start.
func (t *Table) Overruled(s *Server) bool {
	holds := func(held *Server) bool {
		return held != nil && held.State != Gone && s.LastSeen.Sub(held.LastSeen) < aliveTime && t.overrules(held, s)
	}
	if holds(t.servers[s.ID]) {
		return true
	}
	owner := t.servers[t.owners[s.Address]]
	return owner != nil && owner.Address == s.Address && holds(owner)
}

// overrules reports whether the configuration names the service of s and not that of other. A
// departure of an unknown server has no service.
func (t *Table) overrules(s, other *Server) bool {
	return t.isServed != nil && s.Service != other.Service && s.Service != "" && other.Service != "" && t.isServed(s.Service) && !t.isServed(other.Service)
}
