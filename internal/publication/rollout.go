package publication

import (
	"maps"
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
)

// rollOut reports whether anything changed.
func (s *State) rollOut(in *fleetpb.Rollout) bool {
	next := rollout.Decode(in)
	if !next.MayFollow(s.Rollouts[next.Service]) {
		return false
	}
	rollouts := maps.Clone(s.Rollouts)
	if rollouts == nil {
		rollouts = map[string]*rollout.Rollout{}
	}
	rollouts[next.Service] = next
	s.Rollouts = rollouts
	return true
}

func encodeRollouts(rollouts map[string]*rollout.Rollout) []*fleetpb.Rollout {
	var out []*fleetpb.Rollout
	for _, service := range slices.Sorted(maps.Keys(rollouts)) {
		out = append(out, rollouts[service].Encode())
	}
	return out
}
