package publication

import (
	"maps"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/homes"
)

// Configuration is a document and its version. It is immutable.
type Configuration struct {
	Version  uint64
	Document []byte
}

// State is what the directory replicates. It is immutable.
type State struct {
	// Revision counts the changes that had an effect.
	Revision uint64
	// Configuration is nil before the first one.
	Configuration *Configuration
	// Evacuated lists the data centres that are taken out, sorted.
	Evacuated []string
	// Places are the shares of each service's keys, sorted by hash.
	Places map[string][]homes.Place
}

// Version returns the version in force, or 0.
func (s *State) Version() uint64 {
	if s.Configuration == nil {
		return 0
	}
	return s.Configuration.Version
}

func (s *State) document() []byte {
	if s.Configuration == nil {
		return nil
	}
	return s.Configuration.Document
}

// After returns the state after the command; the same one if it has no effect.
// An error of kind change-conflict says that the command rests on another
// configuration than the one in force, and changed nothing.
func (s *State) After(cmd *fleetpb.Command) (*State, error) {
	next := *s
	next.Revision++
	switch op := cmd.Op.(type) {
	case *fleetpb.Command_Publish:
		if op.Publish.Version <= s.Version() {
			return s, nil
		}
		var err error
		if next.Configuration, err = s.read(op.Publish); err != nil {
			return s, err
		}
	case *fleetpb.Command_Evacuate:
		at, out := slices.BinarySearch(s.Evacuated, op.Evacuate.DataCentre)
		switch {
		case out == op.Evacuate.Out:
			return s, nil
		case out:
			next.Evacuated = slices.Delete(slices.Clone(s.Evacuated), at, at+1)
		default:
			next.Evacuated = slices.Insert(slices.Clone(s.Evacuated), at, op.Evacuate.DataCentre)
		}
	case *fleetpb.Command_Assign:
		if !next.assign(op.Assign) {
			return s, nil
		}
	default:
		return s, nil
	}
	return &next, nil
}

// assign reports whether anything changed.
func (s *State) assign(a *fleetpb.Assign) bool {
	all := maps.Clone(s.Places)
	if all == nil {
		all = map[string][]homes.Place{}
	}
	changed := false
	for _, pool := range a.Pools {
		for _, p := range pool.Places {
			was := all[pool.Service]
			is := homes.Apply(was, homes.Place{Hash: p.Hash, Server: p.Server})
			changed = changed || !slices.Equal(was, is)
			all[pool.Service] = is
			if len(is) == 0 {
				delete(all, pool.Service)
			}
		}
	}
	s.Places = all
	return changed
}

// AssignCommand returns the command that changes places.
func AssignCommand(changes map[string][]homes.Place) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Assign{Assign: &fleetpb.Assign{Pools: encodePlaces(changes)}}}
}

func encodePlaces(all map[string][]homes.Place) []*fleetpb.PoolPlaces {
	var out []*fleetpb.PoolPlaces
	for _, service := range slices.Sorted(maps.Keys(all)) {
		pool := &fleetpb.PoolPlaces{Service: service}
		for _, p := range all[service] {
			pool.Places = append(pool.Places, &fleetpb.Place{Hash: p.Hash, Server: p.Server})
		}
		out = append(out, pool)
	}
	return out
}

func (s *State) read(p *fleetpb.Publish) (*Configuration, error) {
	var base []byte
	if p.BaseVersion != 0 {
		if p.BaseVersion != s.Version() {
			return nil, errkind.New(errkind.ChangeConflict, "version %d is packed relative to version %d, but version %d is in force",
				p.Version, p.BaseVersion, s.Version())
		}
		base = s.document()
	}
	document, err := Unpack(p.Document, base)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "version %d cannot be read", p.Version)
	}
	return &Configuration{Version: p.Version, Document: document}, nil
}

// Publication returns the command that puts the document in force after this
// state, or after any state if alone is true.
func (s *State) Publication(version uint64, document []byte, alone bool) (*fleetpb.Command, error) {
	p := &fleetpb.Publish{Version: version}
	var base []byte
	if !alone {
		p.BaseVersion, base = s.Version(), s.document()
	}
	var err error
	if p.Document, err = Pack(document, base); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "version %d cannot be packed", version)
	}
	return &fleetpb.Command{Op: &fleetpb.Command_Publish{Publish: p}}, nil
}

// Encode returns the whole state as it is sent and stored.
func (s *State) Encode() (*fleetpb.State, error) {
	out := &fleetpb.State{Revision: s.Revision, Evacuated: s.Evacuated, Pools: encodePlaces(s.Places)}
	if c := s.Configuration; c != nil {
		packed, err := Pack(c.Document, nil)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "version %d cannot be packed", c.Version)
		}
		out.Configuration = &fleetpb.Publish{Version: c.Version, Document: packed}
	}
	return out, nil
}

// Decode returns the state that Encode encoded.
func Decode(in *fleetpb.State) (*State, error) {
	out := &State{Revision: in.Revision, Evacuated: in.Evacuated}
	if len(in.Pools) > 0 {
		out.assign(&fleetpb.Assign{Pools: in.Pools})
	}
	if in.Configuration != nil {
		c, err := (&State{}).read(in.Configuration)
		if err != nil {
			return nil, err
		}
		out.Configuration = c
	}
	return out, nil
}
