package directory

import (
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// servedServices knows which services the configuration names. It is used on the hub's goroutine.
type servedServices struct {
	decode func(document []byte) (*catalog.Set, error)
	// set is decoded from configuration; nil if that failed.
	set           *catalog.Set
	configuration *publication.Configuration
}

// SetDecoder sets the function that parses a configuration document. It must be called before Run.
func (p *Process) SetDecoder(decode func(document []byte) (*catalog.Set, error)) {
	p.hub.served.decode = decode
	p.hub.table.SetServed(p.hub.isServed)
}

// isServed reports whether the configuration names the service; true while there is none. The
// configuration is decoded only where a server would replace one of another service.
func (h *hub) isServed(service string) bool {
	c := h.machine.State().Configuration
	if c == nil {
		return true
	}
	if s := &h.served; s.configuration != c {
		set, err := s.decode(c.Document)
		if err != nil {
			h.log.Error("configuration cannot be decoded; all services count as named", "version", c.Version, "error", err)
		}
		s.set, s.configuration = set, c
	}
	return h.served.set == nil || h.served.set.Service(service) != nil
}
