package config

import (
	"fmt"
	"regexp"
	"sort"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// namePattern is what names of objects look like.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Check returns nil, or an error of kind invalid-declarations that lists every
// fault of the set. It fills in nothing.
func (s *Set) Check() error {
	if fs := s.check(); len(fs) > 0 {
		return invalid(fs)
	}
	return nil
}

// check returns the faults, sorted by object.
func (s *Set) check() settings.Faults {
	c := &check{set: s}
	for _, k := range s.Keys() {
		c.key = k
		c.name("name", k.Name)
		c.object(s.get(k))
	}
	c.wholeSet()
	return c.faults
}

// check is one run over a set; key is the object being looked at.
type check struct {
	set    *Set
	key    Key
	faults settings.Faults
}

func (c *check) object(o object) {
	switch v := o.(type) {
	case *DataCentre:
		c.dataCentre(v)
	case *Service:
		c.service(v)
	case *BackendServer:
		c.backendServer(v)
	case *Workspace:
		c.workspace(v)
	case *Policy:
		c.policy(v)
	}
}

// fault records a fault of a field of the object being looked at.
func (c *check) fault(field, format string, args ...any) {
	if src := c.set.sources[c.key]; src.undecoded || src.faulted[topField(field)] {
		return
	}
	f := settings.Fault{Object: c.key.String(), Field: field, Message: fmt.Sprintf(format, args...)}
	if src, ok := c.set.sources[c.key]; ok {
		f.File, f.Line = src.file, src.line
		if line, ok := src.fields[field]; ok {
			f.Line = line
		}
	}
	c.faults = append(c.faults, f)
}

func (c *check) name(field, name string) {
	if !namePattern.MatchString(name) {
		c.fault(field, "%q is no name; use 1 to 63 small letters, digits and hyphens, with a letter or digit at both ends", name)
	}
}

// ref checks that the field names an existing object of the kind.
func (c *check) ref(field, kind, name string) {
	if name == "" {
		c.fault(field, "missing; give the name of a %s", kind)
		return
	}
	if c.set.get(Key{kind, name}) == nil {
		c.fault(field, "there is no %s %q; declare it or correct the name", kind, name)
	}
}

// refs checks a list of names for existence and repeats.
func (c *check) refs(field, kind string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		c.ref(at, kind, n)
		if seen[n] {
			c.fault(at, "%q is listed twice; remove one", n)
		}
		seen[n] = true
	}
}

func (c *check) state(field string, v State) {
	if v != "" && v != Active && v != Out {
		c.fault(field, "%q is no state; give %s or %s", v, Active, Out)
	}
}

// intIn checks a number against its range; 0 stands for the default and passes.
func (c *check) intIn(field string, v, lo, hi int64) {
	if v != 0 && (v < lo || v > hi) {
		c.fault(field, "%d is out of range; give %d to %d", v, lo, hi)
	}
}

// floatIn checks a number against its range; 0 stands for the default and passes.
func (c *check) floatIn(field string, v, lo, hi float64) {
	if v != 0 && !(v >= lo && v <= hi) {
		c.fault(field, "%g is out of range; give %g to %g", v, lo, hi)
	}
}

// durationIn checks a duration against its range; 0 stands for the default and passes.
func (c *check) durationIn(field string, v, lo, hi Duration) {
	if v != 0 && (v < lo || v > hi) {
		c.fault(field, "%s is out of range; give %s to %s", v, lo, hi)
	}
}

// wholeSet checks what concerns more than one object. References can't form a
// cycle: they lead from workspaces and backend servers to services, and from
// there to policies and data centres, which refer to nothing.
func (c *check) wholeSet() {
	c.routesOverlap()
	c.votersDiffer()
	c.retentionCovers()
}

// sortedNames returns the names of a map in order, so that faults are too.
func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
