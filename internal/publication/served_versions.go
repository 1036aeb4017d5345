package publication

import (
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// RecordVersionsCommand returns the command that records software versions that servers have, and drops others. Both
// are sorted.
func RecordVersionsCommand(served, forgotten []inventory.ServedVersion) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_RecordVersions{RecordVersions: &fleetpb.RecordVersions{
		Served: inventory.EncodeServedVersions(served), Forgotten: inventory.EncodeServedVersions(forgotten),
	}}}
}

// recordVersions reports whether anything changed.
func (s *State) recordVersions(in *fleetpb.RecordVersions) bool {
	versions := slices.Clone(s.ServedVersions)
	for _, v := range inventory.DecodeServedVersions(in.Forgotten) {
		if at, found := slices.BinarySearchFunc(versions, v, inventory.ServedVersion.Compare); found {
			versions = slices.Delete(versions, at, at+1)
		}
	}
	for _, v := range inventory.DecodeServedVersions(in.Served) {
		if at, found := slices.BinarySearchFunc(versions, v, inventory.ServedVersion.Compare); !found {
			versions = slices.Insert(versions, at, v)
		}
	}
	if slices.Equal(versions, s.ServedVersions) {
		return false
	}
	s.ServedVersions = versions
	return true
}
