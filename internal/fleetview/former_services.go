package fleetview

import (
	"slices"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// formerService is a service that a route of resumable streams had before a change of the
// configuration. Streams that began there may still be resumed until the route's time-out has passed.
type formerService struct {
	host, prefix, service string
	until                 time.Time
}

// formerServices returns the services that the snapshot's routes have, or had, and those of next do not.
func (s *Snapshot) formerServices(next *catalog.Set, now time.Time) []formerService {
	var former []formerService
	for _, f := range s.former {
		if now.Before(f.until) {
			former = append(former, f)
		}
	}
	if s.Configuration == nil {
		return former
	}
	for i := range s.Configuration.Routes {
		r := &s.Configuration.Routes[i]
		if !r.Resumable {
			continue
		}
		for prefix, successor := range s.successors(r, next) {
			for _, share := range r.Split {
				if successor == nil || !hasService(successor, share.Service) {
					former = append(former, formerService{host: strings.ToLower(r.Host), prefix: prefix, service: share.Service, until: now.Add(r.Timeout)})
				}
			}
		}
	}
	return former
}

// maxPassed limits how many passed configurations are decoded, since that delays the newest one. At the
// target, with a change every 17 s, it is those of two minutes.
const maxPassed = 8

// pass returns a snapshot of the last of the configurations that came after the held one, with the services
// that routes had in any of them. They were never in force at this router, but at others.
func (v *View) pass(held *Snapshot, passed []*publication.Configuration) *Snapshot {
	for _, c := range passed[max(0, len(passed)-maxPassed):] {
		config, err := v.opts.Decode(c.Document)
		if err != nil {
			v.opts.Log.Error("configuration is invalid; its services are not known", "version", c.Version, "error", err)
			continue
		}
		held = &Snapshot{Configuration: config, former: held.formerServices(config, time.Now())}
	}
	return held
}

// successors returns the routes of next that have the paths of a route, by prefix: the one in its place, nil
// if there is none, and those that have a part of its paths.
func (s *Snapshot) successors(r *catalog.Route, next *catalog.Set) map[string]*catalog.Route {
	routes := map[string]*catalog.Route{r.Prefix: next.FindRoute(r.Host, r.Prefix)}
	for i := range next.Routes {
		n := &next.Routes[i]
		if !strings.EqualFold(n.Host, r.Host) || !strings.HasPrefix(n.Prefix, r.Prefix) {
			continue
		}
		if before := s.Configuration.FindRoute(n.Host, n.Prefix); before != nil && before.Prefix == r.Prefix {
			routes[n.Prefix] = n
		}
	}
	return routes
}

func hasService(r *catalog.Route, service string) bool {
	return slices.ContainsFunc(r.Split, func(share catalog.Share) bool { return share.Service == service })
}

// StreamServices returns the services at which a stream may have begun that a request resumes now: those of
// its route, and those that the path had before lately.
func (s *Snapshot) StreamServices(route *catalog.Route, path string, now time.Time) []string {
	var services []string
	for _, share := range route.Split {
		services = append(services, share.Service)
	}
	for _, f := range s.former {
		if now.Before(f.until) && f.host == strings.ToLower(route.Host) && strings.HasPrefix(path, f.prefix) && !slices.Contains(services, f.service) {
			services = append(services, f.service)
		}
	}
	return services
}
