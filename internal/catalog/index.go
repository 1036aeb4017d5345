package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// index holds the lookup tables of a set.
type index struct {
	// routes are those of a host, the longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

func (ix *index) sortRoutes() {
	for _, rs := range ix.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Find returns the route of the host whose prefix is the longest that begins the
// path, or nil.
func (s *Set) Find(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range s.index.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (s *Set) Service(name string) *Service { return s.index.services[name] }

// KeyHolder returns the workspace that holds the key, or nil.
func (s *Set) KeyHolder(key string) *Workspace { return s.index.keys[key] }

// Choose returns the service of the route for a hash in [0, 1), by weight.
func (r *Route) Choose(at float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	mark := at * float64(total)
	for _, share := range r.Split {
		mark -= float64(share.Weight)
		if mark < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
