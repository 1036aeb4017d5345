package publication

import (
	"slices"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

// Quarantined is a subject whose requests the routers refuse.
type Quarantined struct {
	Subject quarantine.Subject
	// Strikes counts how often the subject was quarantined without a success in between.
	Strikes uint32
	// Probe is the router that may send one request with the subject; empty if none may.
	Probe string
}

// QuarantineCommand returns the command that quarantines a subject, or lifts its quarantine if
// q has no strikes.
func QuarantineCommand(q Quarantined) *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Quarantine{Quarantine: &fleetpb.Quarantine{Part: q.Subject.Hash, Request: q.Subject.Request, Strikes: q.Strikes, Probe: q.Probe}}}
}

// quarantine reports whether anything changed.
func (s *State) quarantine(in *fleetpb.Quarantine) bool {
	q := decodeQuarantine(in)
	at, found := slices.BinarySearchFunc(s.Quarantined, q.Subject, func(o Quarantined, s quarantine.Subject) int { return o.Subject.Compare(s) })
	switch {
	case found && s.Quarantined[at] == q || !found && q.Strikes == 0:
		return false
	case q.Strikes == 0:
		s.Quarantined = slices.Delete(slices.Clone(s.Quarantined), at, at+1)
	case found:
		s.Quarantined = slices.Clone(s.Quarantined)
		s.Quarantined[at] = q
	default:
		s.Quarantined = slices.Insert(slices.Clone(s.Quarantined), at, q)
	}
	return true
}

func decodeQuarantine(in *fleetpb.Quarantine) Quarantined {
	return Quarantined{Subject: quarantine.Subject{Hash: in.Part, Request: in.Request}, Strikes: in.Strikes, Probe: in.Probe}
}

func encodeQuarantined(quarantined []Quarantined) []*fleetpb.Quarantine {
	var out []*fleetpb.Quarantine
	for _, q := range quarantined {
		out = append(out, QuarantineCommand(q).GetQuarantine())
	}
	return out
}
