package publication

import (
	"maps"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/assignment"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
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
	// Configuration is nil until the first one is published.
	Configuration *Configuration
	// Evacuated lists the data centres that are out of service, sorted.
	Evacuated []string
	// Places are the shares of each service's key space by service, sorted by hash.
	Places map[string][]assignment.Place
	// Quarantined are the quarantined subjects, sorted.
	Quarantined []Quarantined
	// Rollouts holds the last rollout of each service.
	Rollouts map[string]*rollout.Rollout
	// Departures are those of servers that are leaving or have left, by id. They are no part of
	// the revision.
	Departures map[string]inventory.Departure
	// ServedVersions are the software versions that servers have or had lately, sorted. They are no part of the
	// revision.
	ServedVersions []inventory.ServedVersion
}

// Version returns the configuration version in force, or 0 if there is none. 0 may also be the version
// of the first one.
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

// Apply returns the state after the command, or s itself if the command has no effect.
// An error of kind change-conflict means that the command is based on a configuration
// that is no longer in force; the state is unchanged.
func (s *State) Apply(cmd *fleetpb.Command) (*State, error) {
	next := *s
	next.Revision++
	switch op := cmd.Op.(type) {
	case *fleetpb.Command_Publish:
		if !s.isSupersededBy(op.Publish) {
			return s, nil
		}
		var err error
		if next.Configuration, err = s.decodeConfiguration(op.Publish); err != nil {
			return s, err
		}
	case *fleetpb.Command_Evacuate:
		at, isEvacuated := slices.BinarySearch(s.Evacuated, op.Evacuate.DataCentre)
		switch {
		case isEvacuated == op.Evacuate.Out:
			return s, nil
		case isEvacuated:
			next.Evacuated = slices.Delete(slices.Clone(s.Evacuated), at, at+1)
		default:
			next.Evacuated = slices.Insert(slices.Clone(s.Evacuated), at, op.Evacuate.DataCentre)
		}
	case *fleetpb.Command_Assign:
		if !next.assign(op.Assign) {
			return s, nil
		}
	case *fleetpb.Command_Quarantine:
		if !next.quarantine(op.Quarantine) {
			return s, nil
		}
	case *fleetpb.Command_Rollout:
		if !next.rollOut(op.Rollout) {
			return s, nil
		}
	case *fleetpb.Command_Depart:
		next.Revision = s.Revision
		if !next.depart(op.Depart) {
			return s, nil
		}
	case *fleetpb.Command_RecordVersions:
		next.Revision = s.Revision
		if !next.recordVersions(op.RecordVersions) {
			return s, nil
		}
	default:
		return s, nil
	}
	return &next, nil
}

// isSupersededBy reports whether the publication puts its configuration in force.
func (s *State) isSupersededBy(p *fleetpb.Publish) bool {
	if s.Configuration == nil && p.First {
		return true
	}
	// Also without a configuration: earlier releases have dropped version 0, and logs are applied again.
	return p.Version > s.Version()
}

// assign reports whether anything changed.
func (s *State) assign(a *fleetpb.Assign) bool {
	places := maps.Clone(s.Places)
	if places == nil {
		places = map[string][]assignment.Place{}
	}
	changed := false
	for _, pool := range a.Pools {
		for _, p := range pool.Places {
			before := places[pool.Service]
			after := assignment.Apply(before, assignment.Place{Hash: p.Hash, Server: p.Server})
			changed = changed || !slices.Equal(before, after)
			places[pool.Service] = after
			if len(after) == 0 {
				delete(places, pool.Service)
			}
		}
	}
	s.Places = places
	return changed
}

// AssignCommand returns the command that changes places.
func AssignCommand(changes map[string][]assignment.Place) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Assign{Assign: &fleetpb.Assign{Pools: encodePlaces(changes)}}}
}

func encodePlaces(places map[string][]assignment.Place) []*fleetpb.PoolPlaces {
	var out []*fleetpb.PoolPlaces
	for _, service := range slices.Sorted(maps.Keys(places)) {
		pool := &fleetpb.PoolPlaces{Service: service}
		for _, p := range places[service] {
			pool.Places = append(pool.Places, &fleetpb.Place{Hash: p.Hash, Server: p.Server})
		}
		out = append(out, pool)
	}
	return out
}

func (s *State) decodeConfiguration(p *fleetpb.Publish) (*Configuration, error) {
	var base []byte
	if p.BaseVersion != 0 {
		if p.BaseVersion != s.Version() {
			return nil, errkind.New(errkind.ChangeConflict, "version %d is compressed against version %d, but version %d is in force",
				p.Version, p.BaseVersion, s.Version())
		}
		base = s.document()
	}
	document, err := Decompress(p.Document, base)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "configuration version %d cannot be decompressed", p.Version)
	}
	return &Configuration{Version: p.Version, Document: document}, nil
}

// PublishCommand returns the command that puts the document in force. The document is
// compressed against the configuration of this state; if full is true or that has version 0,
// which no command can name as its base, it is compressed without a base and the command
// applies to any state.
func (s *State) PublishCommand(version uint64, document []byte, full bool) (*fleetpb.Command, error) {
	p := &fleetpb.Publish{Version: version, First: version == 0}
	var base []byte
	if !full && s.Version() != 0 {
		p.BaseVersion, base = s.Version(), s.document()
	}
	var err error
	if p.Document, err = Compress(document, base); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "configuration version %d cannot be compressed", version)
	}
	return &fleetpb.Command{Op: &fleetpb.Command_Publish{Publish: p}}, nil
}

// Encode returns the state of its revision in the encoding in which it is sent and stored.
// Departures and served versions are not part of that.
func (s *State) Encode() (*fleetpb.State, error) {
	out := &fleetpb.State{Revision: s.Revision, Evacuated: s.Evacuated, Pools: encodePlaces(s.Places), Quarantined: encodeQuarantined(s.Quarantined), Rollouts: encodeRollouts(s.Rollouts)}
	if c := s.Configuration; c != nil {
		compressed, err := Compress(c.Document, nil)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "configuration version %d cannot be compressed", c.Version)
		}
		out.Configuration = &fleetpb.Publish{Version: c.Version, Document: compressed}
	}
	return out, nil
}

// Decode returns the state encoded by Encode.
func Decode(in *fleetpb.State) (*State, error) {
	out := &State{Revision: in.Revision, Evacuated: in.Evacuated, Departures: decodeDepartures(in.Departures)}
	out.recordVersions(&fleetpb.RecordVersions{Served: in.ServedVersions})
	if len(in.Pools) > 0 {
		out.assign(&fleetpb.Assign{Pools: in.Pools})
	}
	for _, q := range in.Quarantined {
		out.Quarantined = append(out.Quarantined, decodeQuarantine(q))
	}
	for _, r := range in.Rollouts {
		if out.Rollouts == nil {
			out.Rollouts = map[string]*rollout.Rollout{}
		}
		out.Rollouts[r.Service] = rollout.Decode(r)
	}
	if in.Configuration != nil {
		c, err := (&State{}).decodeConfiguration(in.Configuration)
		if err != nil {
			return nil, err
		}
		out.Configuration = c
	}
	return out, nil
}
