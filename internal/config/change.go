package config

import (
	"bytes"
	"maps"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Objects returns all objects in their wire format, sorted by kind and then by
// name.
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

// FromObjects returns the set of the objects at the revision. It does not validate
// the set; see Check.
func FromObjects(rev Revision, objs []*controlpb.Object) (*Set, error) {
	s := NewSet(rev)
	for _, w := range objs {
		o, err := decode(w)
		if err != nil {
			return nil, err
		}
		if s.get(o.key()) != nil {
			return nil, errkind.New(errkind.InvalidDeclarations, "%s is listed twice", o.key())
		}
		s.put(o)
	}
	return s, nil
}

// Apply returns a new set at the revision with the changes applied. It shares the
// unchanged objects with s, which is not modified. Deleting an object that does not
// exist has no effect. It does not validate the set; see Check.
func (s *Set) Apply(rev Revision, upserts []*controlpb.Object, deletes []*controlpb.ObjectKey) (*Set, error) {
	next := &Set{
		Revision:       rev,
		DataCentres:    s.DataCentres,
		Services:       s.Services,
		BackendServers: s.BackendServers,
		Workspaces:     s.Workspaces,
		Policies:       s.Policies,
	}
	next.cloneMaps(changedKinds(upserts, deletes))
	for _, k := range deletes {
		next.remove(ObjectKey{k.Kind, k.Name})
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

// changedKinds returns the kinds of the objects that change.
func changedKinds(upserts []*controlpb.Object, deletes []*controlpb.ObjectKey) map[string]bool {
	kinds := map[string]bool{}
	for _, w := range upserts {
		kinds[w.Kind] = true
	}
	for _, k := range deletes {
		kinds[k.Kind] = true
	}
	return kinds
}

// cloneMaps replaces the set's maps of the given kinds with copies; the other maps
// stay shared.
func (s *Set) cloneMaps(kinds map[string]bool) {
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

// Diff returns the changes that turn a into b, in the order of Objects. An object
// that both sets share costs only a pointer comparison.
func Diff(a, b *Set) (upserts []*controlpb.Object, deletes []*controlpb.ObjectKey, err error) {
	var changed, removed []ObjectKey
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

// compare returns the wire format of the new object and whether the old one is
// equal to it.
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

// RevisionFromProto returns the revision in a message; nil gives the zero revision.
func RevisionFromProto(r *controlpb.Revision) Revision {
	return Revision{Epoch: r.GetEpoch(), Number: r.GetNumber()}
}

// ToProto returns the revision as a message.
func (r Revision) ToProto() *controlpb.Revision {
	return &controlpb.Revision{Epoch: r.Epoch, Number: r.Number}
}

// WithObjects returns a set with the objects added or replaced; s is not modified.
// The revision is that of s. The objects must not be modified afterwards.
func (s *Set) WithObjects(objs ...Object) *Set {
	next := *s
	next.origins, next.defaulted = nil, false
	kinds := map[string]bool{}
	for _, o := range objs {
		kinds[o.key().Kind] = true
	}
	next.cloneMaps(kinds)
	for _, o := range objs {
		next.put(o)
	}
	return &next
}
