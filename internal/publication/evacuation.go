package publication

import (
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// evacuationChanges are the revisions at which evacuations last changed, as far as this process
// has seen. They are not replicated.
type evacuationChanges struct {
	byDataCentre map[string]uint64
	// unknownUntil is the revision of the snapshot that was restored last. Changes before it are
	// taken to be as recent.
	unknownUntil uint64
}

// record notes a command that led to a revision.
func (c *evacuationChanges) record(cmd *fleetpb.Command, revision uint64) {
	e := cmd.GetEvacuate()
	if e == nil {
		return
	}
	if c.byDataCentre == nil {
		c.byDataCentre = map[string]uint64{}
	}
	c.byDataCentre[e.DataCentre] = revision
}

// CheckEvacuation returns an error of kind change-conflict if an evacuation that was ordered at
// revision base would undo a later one of the same data centre. An order for what is in force
// passes.
func (m *Machine) CheckEvacuation(e *fleetpb.Evacuate, base uint64) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	last := max(m.evacuationChanges.byDataCentre[e.DataCentre], m.evacuationChanges.unknownUntil)
	if last <= base || slices.Contains(m.state.Evacuated, e.DataCentre) == e.Out {
		return nil
	}
	return errkind.New(errkind.ChangeConflict, "the evacuation of data centre %q may have changed at revision %d, but this order was given at revision %d",
		e.DataCentre, last, base)
}
