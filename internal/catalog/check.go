package catalog

import (
	"strings"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// New validates the set as a whole and builds its lookup tables. The error has
// kind invalid-declarations and names the first invalid object.
func New(s Set) (*Set, error) {
	ix := &index{
		routes:   map[string][]*Route{},
		services: map[string]*Service{},
		keys:     map[string]*Workspace{},
	}
	for i := range s.Services {
		sv := &s.Services[i]
		if sv.Name == "" || ix.services[sv.Name] != nil {
			return nil, invalid("service %q has no name or is declared twice", sv.Name)
		}
		ix.services[sv.Name] = sv
	}
	for i := range s.Routes {
		if err := ix.addRoute(&s.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range s.Workspaces {
		if err := ix.addWorkspace(&s.Workspaces[i]); err != nil {
			return nil, err
		}
	}
	ix.sortRoutes()
	s.index = ix
	return &s, nil
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidDeclarations, format, args...)
}

func (ix *index) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return invalid("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("route %q: the prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return invalid("route %q: the timeout must be positive", r.Name)
	}
	total := 0
	for _, share := range r.Split {
		if ix.services[share.Service] == nil {
			return invalid("route %q: service %q does not exist", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid("route %q: the weight of service %q is negative", r.Name, share.Service)
		}
		total += share.Weight
	}
	if total == 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	host := strings.ToLower(r.Host)
	for _, other := range ix.routes[host] {
		if other.Prefix == r.Prefix {
			return invalid("routes %q and %q share host %q and prefix %q", other.Name, r.Name, r.Host, r.Prefix)
		}
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	ix.routes[host] = append(ix.routes[host], r)
	return nil
}

func (ix *index) addWorkspace(w *Workspace) error {
	for _, key := range w.Keys {
		if other := ix.keys[key]; other != nil && other != w {
			return invalid("workspaces %q and %q share a key", other.Name, w.Name)
		}
		ix.keys[key] = w
	}
	return nil
}
