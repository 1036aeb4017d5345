package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Subject is what may be to blame for the end of a backend server: a prompt part within the
// requests of one service, since another service may run another model.
type Subject struct {
	Hash uint64
}

// Compare orders subjects.
func (s Subject) Compare(o Subject) int { return cmp.Compare(s.Hash, o.Hash) }

// String implements fmt.Stringer.
func (s Subject) String() string { return fmt.Sprintf("%016x", s.Hash) }

// PartOf returns the subject that a part of the prompts of a service is.
func PartOf(service, id string) Subject {
	return Subject{Hash: routing.Mix(routing.Hash(id), routing.Hash(service))}
}

// Incarnation is one start of a backend server.
type Incarnation struct {
	Server string
	Born   int64
}

// Crash is the end of a backend server, with the subjects that may have caused it.
type Crash struct {
	Server   Incarnation
	Suspects []Subject
	// At is when it was first observed.
	At time.Time
}

// EncodeCrashes returns crashes in the encoding in which they are sent.
func EncodeCrashes(crashes []Crash, now time.Time) []*fleetpb.Crash {
	var out []*fleetpb.Crash
	for _, c := range crashes {
		out = append(out, &fleetpb.Crash{
			Server: c.Server.Server, Born: c.Server.Born, Suspects: EncodeSubjects(c.Suspects), AgeMs: uint32(max(0, now.Sub(c.At).Milliseconds())),
		})
	}
	return out
}

// DecodeCrashes returns the crashes encoded by EncodeCrashes.
func DecodeCrashes(in []*fleetpb.Crash, now time.Time) []Crash {
	var out []Crash
	for _, c := range in {
		at := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
		out = append(out, Crash{Server: Incarnation{c.Server, c.Born}, Suspects: DecodeSubjects(c.Suspects), At: at})
	}
	return out
}

// EncodeSubjects returns subjects in the encoding in which they are sent.
func EncodeSubjects(subjects []Subject) []uint64 {
	var out []uint64
	for _, s := range subjects {
		out = append(out, s.Hash)
	}
	return out
}

// DecodeSubjects returns the subjects encoded by EncodeSubjects.
func DecodeSubjects(in []uint64) []Subject {
	var out []Subject
	for _, h := range in {
		out = append(out, Subject{Hash: h})
	}
	return out
}

// appendNew appends the subjects that the list lacks, up to limit entries, and reports whether
// there were any.
func appendNew(list, subjects []Subject, limit int) ([]Subject, bool) {
	before := len(list)
	for _, s := range subjects {
		if len(list) < limit && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list, len(list) > before
}

// SurvivalTime is how long a backend server must have been writing a response for its
// prompt parts to count as survived before the response is complete.
const SurvivalTime = time.Second

const (
	// firstTestAfter is how long a part is quarantined before its first test.
	firstTestAfter = 30 * time.Second
	maxTestAfter   = time.Hour
)

// TestAfter returns how long a quarantined part waits for its next test after the given
// number of strikes.
func TestAfter(strikes uint32) time.Duration {
	wait := firstTestAfter
	for i := uint32(1); i < strikes && wait < maxTestAfter; i++ {
		wait *= 2
	}
	return min(wait, maxTestAfter)
}
