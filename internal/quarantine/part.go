package quarantine

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Part identifies a prompt part within the requests of one service, since another service
// may run another model.
type Part uint64

// PartOf returns the Part of a service's requests with the given id.
func PartOf(service, id string) Part {
	return Part(routing.Mix(routing.Hash(id), routing.Hash(service)))
}

// Incarnation is one start of a backend server.
type Incarnation struct {
	Server string
	Born   int64
}

// Crash is the end of a backend server, with the parts of the requests that may have
// caused it.
type Crash struct {
	Server   Incarnation
	Suspects []Part
	// At is when it was first observed.
	At time.Time
}

// EncodeCrashes returns crashes in the encoding in which they are sent.
func EncodeCrashes(crashes []Crash, now time.Time) []*fleetpb.Crash {
	var out []*fleetpb.Crash
	for _, c := range crashes {
		out = append(out, &fleetpb.Crash{
			Server: c.Server.Server, Born: c.Server.Born, Suspects: EncodeParts(c.Suspects), AgeMs: uint32(max(0, now.Sub(c.At).Milliseconds())),
		})
	}
	return out
}

// DecodeCrashes returns the crashes encoded by EncodeCrashes.
func DecodeCrashes(in []*fleetpb.Crash, now time.Time) []Crash {
	var out []Crash
	for _, c := range in {
		at := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
		out = append(out, Crash{Server: Incarnation{c.Server, c.Born}, Suspects: DecodeParts(c.Suspects), At: at})
	}
	return out
}

// EncodeParts returns parts in the encoding in which they are sent.
func EncodeParts(parts []Part) []uint64 {
	var out []uint64
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}

// DecodeParts returns the parts encoded by EncodeParts.
func DecodeParts(in []uint64) []Part {
	var out []Part
	for _, p := range in {
		out = append(out, Part(p))
	}
	return out
}

// appendNew appends the parts that the list lacks, up to limit entries, and reports whether
// there were any.
func appendNew(list, parts []Part, limit int) ([]Part, bool) {
	before := len(list)
	for _, p := range parts {
		if len(list) < limit && !slices.Contains(list, p) {
			list = append(list, p)
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
