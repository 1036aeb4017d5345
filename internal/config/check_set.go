package config

import (
	"fmt"
	"slices"
)

// routesOverlap finds routes of two services, or of one, that take the same
// method and path. A longer prefix or an exact path within a prefix is no
// overlap: the most specific route wins.
func (c *check) routesOverlap() {
	type place struct{ method, path string }
	first := map[place]string{}
	for _, name := range sortedNames(c.set.Services) {
		c.key = Key{KindService, name}
		for i, r := range c.set.Services[name].Routes {
			for _, m := range r.withDefaults().Methods {
				at := fmt.Sprintf("routes[%d]", i)
				p := place{m, r.Path}
				this := fmt.Sprintf("%s %s", c.key, at)
				other, taken := first[p]
				if taken && other != this {
					c.fault(at+".path", "%s %s is also taken by %s; give each method and path to one route", m, r.Path, other)
					continue
				}
				first[p] = this
			}
		}
	}
}

// votersDiffer finds one name with two addresses and one address with two
// names: a process that votes for several data centres is named the same in all.
func (c *check) votersDiffer() {
	addressOf, nameOf := map[string]string{}, map[string]string{}
	for _, dc := range sortedNames(c.set.DataCentres) {
		c.key = Key{KindDataCentre, dc}
		for i, v := range c.set.DataCentres[dc].LeaseVoters {
			at := fmt.Sprintf("leaseVoters[%d]", i)
			if a, ok := addressOf[v.Name]; ok && a != v.Address {
				c.fault(at+".address", "voter %q has address %s elsewhere; a process has one fleet address", v.Name, a)
			}
			if n, ok := nameOf[v.Address]; ok && n != v.Name {
				c.fault(at+".name", "address %s is named %q elsewhere; a process has one name", v.Address, n)
			}
			addressOf[v.Name], nameOf[v.Address] = v.Address, v.Name
		}
	}
}

// retentionCovers finds calls that may not be repeated and may run for longer
// than the record of their claim is kept: a resend in between would run twice.
func (c *check) retentionCovers() {
	for _, name := range sortedNames(c.set.Services) {
		s := c.set.Services[name]
		shortest, policy := c.shortestRetention(s)
		if policy == "" {
			continue
		}
		c.key = Key{KindService, name}
		for i, r := range s.Routes {
			if r = r.withDefaults(); !r.Repeatable && r.Deadline > shortest {
				c.fault(fmt.Sprintf("routes[%d].deadline", i), "%s is longer than claimRetention %s of policy %q, so a resend could run the call again; shorten it or lengthen claimRetention", r.Deadline, shortest, policy)
			}
		}
	}
}

// shortestRetention returns the shortest claimRetention among the policies that
// can be in force for the service, and that policy's name; "" if there is none.
func (c *check) shortestRetention(s *Service) (shortest Duration, policy string) {
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
		fill(&d, Duration(DefaultClaimRetention))
		if policy == "" || d < shortest {
			shortest, policy = d, n
		}
	}
	return shortest, policy
}
