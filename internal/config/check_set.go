package config

import (
	"fmt"
	"slices"
)

// checkRouteConflicts finds routes, of one service or of several, with the same
// method and path. A longer prefix, or an exact path under a prefix, is not a
// conflict: the most specific route wins.
func (c *checker) checkRouteConflicts() {
	type methodAndPath struct{ method, path string }
	first := map[methodAndPath]string{}
	for _, name := range sortedNames(c.set.Services) {
		c.key = ObjectKey{KindService, name}
		for i, r := range c.set.Services[name].Routes {
			for _, m := range r.withDefaults().Methods {
				at := fmt.Sprintf("routes[%d]", i)
				route := methodAndPath{m, r.Path}
				this := fmt.Sprintf("%s %s", c.key, at)
				other, found := first[route]
				if found && other != this {
					c.addFault(at+".path", "%s %s is also taken by %s; give each method and path to one route", m, r.Path, other)
					continue
				}
				first[route] = this
			}
		}
	}
}

// checkVoterIdentities finds a name with two addresses or an address with two
// names: a process that votes for several data centres must have the same name in
// all of them.
func (c *checker) checkVoterIdentities() {
	addressOf, nameOf := map[string]string{}, map[string]string{}
	for _, dc := range sortedNames(c.set.DataCentres) {
		c.key = ObjectKey{KindDataCentre, dc}
		for i, v := range c.set.DataCentres[dc].LeaseVoters {
			at := fmt.Sprintf("leaseVoters[%d]", i)
			if a, ok := addressOf[v.Name]; ok && a != v.Address {
				c.addFault(at+".address", "voter %q has address %s elsewhere; a process has one fleet address", v.Name, a)
			}
			if n, ok := nameOf[v.Address]; ok && n != v.Name {
				c.addFault(at+".name", "address %s is named %q elsewhere; a process has one name", v.Address, n)
			}
			addressOf[v.Name], nameOf[v.Address] = v.Address, v.Name
		}
	}
}

// checkClaimRetention finds routes that are not repeatable and whose deadline
// exceeds the retention of claim records. A request resent after its record has
// expired, while the first attempt is still running, would run twice.
func (c *checker) checkClaimRetention() {
	for _, name := range sortedNames(c.set.Services) {
		s := c.set.Services[name]
		shortest, policy := c.shortestRetention(s)
		if policy == "" {
			continue
		}
		c.key = ObjectKey{KindService, name}
		for i, r := range s.Routes {
			if r = r.withDefaults(); !r.Repeatable && r.Deadline > shortest {
				c.addFault(fmt.Sprintf("routes[%d].deadline", i), "%s is longer than claimRetention %s of policy %q, so a resend could run the call again; shorten it or lengthen claimRetention", r.Deadline, shortest, policy)
			}
		}
	}
}

// shortestRetention returns the shortest claimRetention among the policies that can
// apply to the service, and that policy's name, or "" if there is none.
func (c *checker) shortestRetention(s *Service) (shortest Duration, policy string) {
	names := map[string]bool{s.Policy: true}
	for _, w := range c.set.Workspaces {
		if len(w.Services) == 0 || slices.Contains(w.Services, s.Name) {
			names[w.Policy] = true
		}
	}
	for _, n := range sortedNames(names) {
		p, ok := c.set.Policies[n]
		if !ok {
			continue
		}
		d := p.ClaimRetention
		setDefault(&d, Duration(DefaultClaimRetention))
		if policy == "" || d < shortest {
			shortest, policy = d, n
		}
	}
	return shortest, policy
}
