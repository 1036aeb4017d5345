package config

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// ObjectKey identifies a declared object.
type ObjectKey struct {
	Kind string
	Name string
}

// String returns the key as kind/name.
func (k ObjectKey) String() string { return k.Kind + "/" + k.Name }

// Object is a declared object of any kind: *DataCentre, *Service, *BackendServer,
// *Workspace or *Policy.
type Object interface{ object }

// object holds the methods of Object.
type object interface {
	key() ObjectKey
	// withDefaults returns the object with all defaults applied. It may return the
	// object itself if no value is missing, and otherwise returns a copy.
	withDefaults() object
}

func (o *DataCentre) key() ObjectKey    { return ObjectKey{KindDataCentre, o.Name} }
func (o *Service) key() ObjectKey       { return ObjectKey{KindService, o.Name} }
func (o *BackendServer) key() ObjectKey { return ObjectKey{KindBackendServer, o.Name} }
func (o *Workspace) key() ObjectKey     { return ObjectKey{KindWorkspace, o.Name} }
func (o *Policy) key() ObjectKey        { return ObjectKey{KindPolicy, o.Name} }

// kinds lists the kinds in the order in which objects are sorted.
var kinds = []string{KindPolicy, KindDataCentre, KindService, KindBackendServer, KindWorkspace}

// newObject returns an empty object of the kind, or nil if the kind is unknown.
func newObject(kind string) object {
	switch kind {
	case KindDataCentre:
		return &DataCentre{}
	case KindService:
		return &Service{}
	case KindBackendServer:
		return &BackendServer{}
	case KindWorkspace:
		return &Workspace{}
	case KindPolicy:
		return &Policy{}
	}
	return nil
}

// objectWithName returns an object of the key's kind with only its name set.
func objectWithName(k ObjectKey) object {
	switch k.Kind {
	case KindDataCentre:
		return &DataCentre{Name: k.Name}
	case KindService:
		return &Service{Name: k.Name}
	case KindBackendServer:
		return &BackendServer{Name: k.Name}
	case KindWorkspace:
		return &Workspace{Name: k.Name}
	}
	return &Policy{Name: k.Name}
}

// NewSet returns an empty set.
func NewSet(rev Revision) *Set {
	return &Set{
		Revision:       rev,
		DataCentres:    map[string]*DataCentre{},
		Services:       map[string]*Service{},
		BackendServers: map[string]*BackendServer{},
		Workspaces:     map[string]*Workspace{},
		Policies:       map[string]*Policy{},
	}
}

// get returns the object with the key, or nil.
func (s *Set) get(k ObjectKey) object {
	switch k.Kind {
	case KindDataCentre:
		return lookup(s.DataCentres, k.Name)
	case KindService:
		return lookup(s.Services, k.Name)
	case KindBackendServer:
		return lookup(s.BackendServers, k.Name)
	case KindWorkspace:
		return lookup(s.Workspaces, k.Name)
	case KindPolicy:
		return lookup(s.Policies, k.Name)
	}
	return nil
}

func lookup[T interface {
	comparable
	object
}](m map[string]T, name string) object {
	if o, ok := m[name]; ok {
		return o
	}
	return nil
}

// put adds or replaces an object. It must not be called on a published set.
func (s *Set) put(o object) {
	switch v := o.(type) {
	case *DataCentre:
		s.DataCentres[v.Name] = v
	case *Service:
		s.Services[v.Name] = v
	case *BackendServer:
		s.BackendServers[v.Name] = v
	case *Workspace:
		s.Workspaces[v.Name] = v
	case *Policy:
		s.Policies[v.Name] = v
	}
}

// remove deletes an object. It must not be called on a published set.
func (s *Set) remove(k ObjectKey) {
	switch k.Kind {
	case KindDataCentre:
		delete(s.DataCentres, k.Name)
	case KindService:
		delete(s.Services, k.Name)
	case KindBackendServer:
		delete(s.BackendServers, k.Name)
	case KindWorkspace:
		delete(s.Workspaces, k.Name)
	case KindPolicy:
		delete(s.Policies, k.Name)
	}
}

// each calls f for every object, in unspecified order.
func (s *Set) each(f func(object)) {
	eachOf(s.Policies, f)
	eachOf(s.DataCentres, f)
	eachOf(s.Services, f)
	eachOf(s.BackendServers, f)
	eachOf(s.Workspaces, f)
}

func eachOf[T object](m map[string]T, f func(object)) {
	for _, o := range m {
		f(o)
	}
}

// Len returns the number of objects.
func (s *Set) Len() int {
	return len(s.Policies) + len(s.DataCentres) + len(s.Services) + len(s.BackendServers) + len(s.Workspaces)
}

// Keys returns the keys of all objects, by kind and then by name.
func (s *Set) Keys() []ObjectKey {
	keys := make([]ObjectKey, 0, s.Len())
	s.each(func(o object) { keys = append(keys, o.key()) })
	sortKeys(keys)
	return keys
}

func sortKeys(keys []ObjectKey) {
	rank := make(map[string]int, len(kinds))
	for i, k := range kinds {
		rank[k] = i
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return rank[keys[i].Kind] < rank[keys[j].Kind]
		}
		return keys[i].Name < keys[j].Name
	})
}

// encode returns the object in its wire format, with its canonical JSON as the
// body.
func encode(o object) (*controlpb.Object, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode %s", o.key())
	}
	k := o.key()
	return &controlpb.Object{Kind: k.Kind, Name: k.Name, Body: body}, nil
}

// decode returns the object of a wire message. An unknown kind or field, or a body
// with another name, is rejected, because ignoring it would lose a declaration.
func decode(w *controlpb.Object) (object, error) {
	o := newObject(w.Kind)
	if o == nil {
		return nil, errkind.New(errkind.InvalidDeclarations, "%s/%s: unknown kind", w.Kind, w.Name)
	}
	dec := json.NewDecoder(bytes.NewReader(w.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(o); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidDeclarations, "%s/%s", w.Kind, w.Name)
	}
	if o.key().Name != w.Name {
		return nil, errkind.New(errkind.InvalidDeclarations, "%s/%s: the body names %q", w.Kind, w.Name, o.key().Name)
	}
	return o, nil
}
