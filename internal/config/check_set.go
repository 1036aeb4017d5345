package config

import "fmt"

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
