package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// index holds the lookup tables of a set.
type index struct {
	// routes holds the routes of each host in lower case, the longest prefix
	// first.
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

func (ix *index) sortRoutes() {
	for _, rs := range ix.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// FindRoute returns the host's route with the longest prefix of path, or nil. A
// port in host is ignored.
func (s *Set) FindRoute(host, path string) *Route {
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

// Service returns the service with the given name, or nil.
func (s *Set) Service(name string) *Service { return s.index.services[name] }

// WorkspaceByKey returns the workspace that the key belongs to, or nil.
func (s *Set) WorkspaceByKey(key string) *Workspace { return s.index.keys[key] }

// ChooseService returns one of the route's services by weight, for a point in
// [0, 1).
func (r *Route) ChooseService(point float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	remaining := point * float64(total)
	for _, share := range r.Split {
		remaining -= float64(share.Weight)
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
