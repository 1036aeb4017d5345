package inventory

// maxServers limits the servers in the table, those that are gone included: several times the
// target of 2,400 servers with all that end within expireAfter, and few enough that a list of them
// fits in one message, whatever their names.
const maxServers = 16 << 10

// Full reports whether the table takes no server that it does not know, unless it can drop another.
func (t *Table) Full() bool { return len(t.servers) >= maxServers }

// makeRoom reports whether the table takes a server that it does not know. If it is full, one of a
// service that the configuration names takes the place of one of another service: other writers
// could announce any number of them.
func (t *Table) makeRoom(s *Server) bool {
	if !t.Full() || s.Service == "" {
		return true // A departure must reach all that know the server.
	}
	if t.isServed == nil || !t.isServed(s.Service) {
		return false
	}
	for id, other := range t.servers {
		if t.overrules(s, other) {
			t.remove(id)
			return true
		}
	}
	return false
}

func (t *Table) remove(id string) {
	s := t.servers[id]
	delete(t.servers, id)
	delete(t.lastReady, id)
	delete(t.starts, id)
	if t.owners[s.Address] == id {
		delete(t.owners, s.Address)
	}
}
