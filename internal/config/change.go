package config

import (
	"bytes"
	"maps"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Objects returns all objects in wire form, by kind and then by name.
func (s *Set) Objects() ([]*controlpb.Object, error) {
	keys := s.Keys()
	objs := make([]*controlpb.Object, 0, len(keys))
	for _, k := range keys {
		o, err := encode(s.get(k))
		if err != nil {
			return nil, err
		}
		objs = append(objs, o)
	}
	return objs, nil
}

// FromObjects returns the set of the objects at the revision. It does not
// check the set; see Check.
func FromObjects(rev Revision, objs []*controlpb.Object) (*Set, error) {
	s := NewSet(rev)
	for _, w := range objs {
		o, err := decode(w)
		if err != nil {
			return nil, err
		}
		if s.get(o.key()) != nil {
			return nil, errkind.New(errkind.InvalidDeclarations, "%s is given twice", o.key())
		}
		s.put(o)
	}
	return s, nil
}

// Apply returns a new set at the revision with the changes made. It shares the
// objects that are not changed, and leaves s as it is. A delete of an object
// that does not exist has no effect. It does not check the set; see Check.
func (s *Set) Apply(rev Revision, upserts []*controlpb.Object, deletes []*controlpb.ObjectKey) (*Set, error) {
	next := &Set{
		Revision:       rev,
		DataCentres:    s.DataCentres,
		Services:       s.Services,
		BackendServers: s.BackendServers,
		Workspaces:     s.Workspaces,
		Policies:       s.Policies,
	}
	next.own(touched(upserts, deletes))
	for _, k := range deletes {
		next.remove(Key{k.Kind, k.Name})
	}
	for _, w := range upserts {
		o, err := decode(w)
		if err != nil {
			return nil, err
		}
		next.put(o)
	}
	return next, nil
}

// touched returns the kinds of which objects change.
func touched(upserts []*controlpb.Object, deletes []*controlpb.ObjectKey) map[string]bool {
	kinds := map[string]bool{}
	for _, w := range upserts {
		kinds[w.Kind] = true
	}
	for _, k := range deletes {
		kinds[k.Kind] = true
	}
	return kinds
}

// own gives the set its own maps for the kinds; the other maps stay shared.
func (s *Set) own(kinds map[string]bool) {
	if kinds[KindDataCentre] {
		s.DataCentres = maps.Clone(s.DataCentres)
	}
	if kinds[KindService] {
		s.Services = maps.Clone(s.Services)
	}
	if kinds[KindBackendServer] {
		s.BackendServers = maps.Clone(s.BackendServers)
	}
	if kinds[KindWorkspace] {
		s.Workspaces = maps.Clone(s.Workspaces)
	}
	if kinds[KindPolicy] {
		s.Policies = maps.Clone(s.Policies)
	}
}

// Diff returns the changes that turn a into b, in the order of Objects. Objects
// that both sets share cost a comparison of pointers only.
func Diff(a, b *Set) (upserts []*controlpb.Object, deletes []*controlpb.ObjectKey, err error) {
	var changed, removed []Key
	b.each(func(o object) {
		if a.get(o.key()) != o {
			changed = append(changed, o.key())
		}
	})
	a.each(func(o object) {
		if b.get(o.key()) == nil {
			removed = append(removed, o.key())
		}
	})
	sortKeys(changed)
	sortKeys(removed)
	for _, k := range changed {
		w, same, err := compare(a.get(k), b.get(k))
		if err != nil {
			return nil, nil, err
		}
		if !same {
			upserts = append(upserts, w)
		}
	}
	for _, k := range removed {
		deletes = append(deletes, &controlpb.ObjectKey{Kind: k.Kind, Name: k.Name})
	}
	return upserts, deletes, nil
}

// compare returns the wire form of the new object and whether the old one is equal.
func compare(old, now object) (*controlpb.Object, bool, error) {
	w, err := encode(now)
	if err != nil || old == nil {
		return w, false, err
	}
	o, err := encode(old)
	if err != nil {
		return nil, false, err
	}
	return w, bytes.Equal(o.Body, w.Body), nil
}

// FromPB returns the revision of a message; nil gives the zero revision.
func FromPB(r *controlpb.Revision) Revision {
	return Revision{Epoch: r.GetEpoch(), Number: r.GetNumber()}
}

// PB returns the revision as a message.
func (r Revision) PB() *controlpb.Revision {
	return &controlpb.Revision{Epoch: r.Epoch, Number: r.Number}
}

// With returns a set with the objects added or replaced; s stays as it is. The
// revision is that of s. Objects must not be changed afterwards.
func (s *Set) With(objs ...Declared) *Set {
	next := *s
	next.sources, next.filled = nil, false
	kinds := map[string]bool{}
	for _, o := range objs {
		kinds[o.key().Kind] = true
	}
	next.own(kinds)
	for _, o := range objs {
		next.put(o)
	}
	return &next
}
