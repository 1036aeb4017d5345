package config

import (
	"fmt"
	"regexp"
	"sort"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// namePattern matches valid object names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Check returns nil, or an error of kind invalid-declarations that lists every
// fault of the set. It applies no defaults to the set.
func (s *Set) Check() error {
	if fs := s.check(); len(fs) > 0 {
		return faultsError(fs)
	}
	return nil
}

// check returns the faults, sorted by object.
func (s *Set) check() settings.Faults {
	c := &checker{set: s}
	for _, k := range s.Keys() {
		c.key = k
		c.checkName("name", k.Name)
		c.checkObject(s.get(k))
	}
	c.checkSet()
	return c.faults
}

// checker holds the state of one validation run; key is the object being validated.
type checker struct {
	set    *Set
	key    ObjectKey
	faults settings.Faults
}

func (c *checker) checkObject(o object) {
	switch v := o.(type) {
	case *DataCentre:
		c.checkDataCentre(v)
	case *Service:
		c.checkService(v)
	case *BackendServer:
		c.checkBackendServer(v)
	case *Workspace:
		c.checkWorkspace(v)
	case *Policy:
		c.checkPolicy(v)
	}
}

// addFault records a fault in a field of the object being validated. Fields that
// could not be decoded already have a fault and are skipped.
func (c *checker) addFault(field, format string, args ...any) {
	if src := c.set.origins[c.key]; src.undecoded || src.faultyFields[topField(field)] {
		return
	}
	f := settings.Fault{Object: c.key.String(), Field: field, Message: fmt.Sprintf(format, args...)}
	if src, ok := c.set.origins[c.key]; ok {
		f.File, f.Line = src.file, src.line
		if line, ok := src.fieldLines[field]; ok {
			f.Line = line
		}
	}
	c.faults = append(c.faults, f)
}

func (c *checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(field, "%q is no name; use 1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends", name)
	}
}

// checkReference checks that the field names an existing object of the kind.
func (c *checker) checkReference(field, kind, name string) {
	if name == "" {
		c.addFault(field, "missing; give the name of a %s", kind)
		return
	}
	if c.set.get(ObjectKey{kind, name}) == nil {
		c.addFault(field, "there is no %s %q; declare it or correct the name", kind, name)
	}
}

// checkReferences checks that the listed names exist and are not repeated.
func (c *checker) checkReferences(field, kind string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		c.checkReference(at, kind, n)
		if seen[n] {
			c.addFault(at, "%q is listed twice; remove one", n)
		}
		seen[n] = true
	}
}

func (c *checker) checkState(field string, v State) {
	if v != "" && v != StateActive && v != StateOut {
		c.addFault(field, "%q is not a valid state; give %s or %s", v, StateActive, StateOut)
	}
}

// checkInt checks that a number is in its range; 0 means the default and is valid.
func (c *checker) checkInt(field string, v, lo, hi int64) {
	if v != 0 && (v < lo || v > hi) {
		c.addFault(field, "%d is out of range; give %d to %d", v, lo, hi)
	}
}

// checkFloat checks that a number is in its range; 0 means the default and is
// valid.
func (c *checker) checkFloat(field string, v, lo, hi float64) {
	if v != 0 && !(v >= lo && v <= hi) {
		c.addFault(field, "%g is out of range; give %g to %g", v, lo, hi)
	}
}

// checkDuration checks that a duration is in its range; 0 means the default and is
// valid.
func (c *checker) checkDuration(field string, v, lo, hi Duration) {
	if v != 0 && (v < lo || v > hi) {
		c.addFault(field, "%s is out of range; give %s to %s", v, lo, hi)
	}
}

// checkSet runs the checks that involve more than one object. References can't form
// a cycle: they lead from workspaces and backend servers to services, and from
// there to policies and data centres, which refer to nothing.
func (c *checker) checkSet() {
	c.checkRouteConflicts()
	c.checkVoterIdentities()
	c.checkClaimRetention()
}

// sortedNames returns the keys of the map in order, so that faults are listed in a
// fixed order.
func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
