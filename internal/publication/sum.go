package publication

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// Mark identifies a state: no other state of the same history has its revision, and none of another
// history its sum.
type Mark struct {
	Revision uint64
	// Sum is the state's Sum; 0 if it is not known, as from processes of earlier releases.
	Sum uint64
}

// Sum returns a hash of what belongs to the state's revision. Processes of all releases that run
// together must compute the same one: a field that is added to the state is left out.
func (s *State) Sum() uint64 {
	content := &fleetpb.State{Revision: s.Revision, Evacuated: s.Evacuated, Pools: encodePlaces(s.Places), Quarantined: encodeQuarantined(s.Quarantined), Rollouts: encodeRollouts(s.Rollouts)}
	if c := s.Configuration; c != nil {
		content.Configuration = &fleetpb.Publish{Version: c.Version, Document: c.Document}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return 0 // Such a state could not have been sent or stored either.
	}
	return max(1, xxhash.Sum64(data))
}

// Mark returns the mark of the latest state.
func (m *Machine) Mark() Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sum == 0 {
		m.sum = m.state.Sum()
	}
	return Mark{m.state.Revision, m.sum}
}
