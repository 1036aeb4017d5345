package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Subject is what may be to blame for the end of a backend server: a prompt part, or a whole
// request that is repeated. Either is one of a service, since another service may run other
// software.
type Subject struct {
	Hash uint64
	// Request is true for a request, false for a prompt part.
	Request bool
}

// PartOf returns the subject that a part of the prompts of a service is.
func PartOf(service, id string) Subject {
	return Subject{Hash: routing.Mix(routing.Hash(id), routing.Hash(service))}
}

// RequestOf returns the subject that a request to a service is.
func RequestOf(service string, f routing.Fingerprint) Subject {
	return Subject{Hash: routing.Mix(uint64(f), routing.Hash(service)), Request: true}
}

// Compare orders subjects.
func (s Subject) Compare(o Subject) int {
	if s.Request != o.Request {
		if o.Request {
			return -1
		}
		return 1
	}
	return cmp.Compare(s.Hash, o.Hash)
}

// String implements fmt.Stringer.
func (s Subject) String() string {
	kind := "part"
	if s.Request {
		kind = "request"
	}
	return fmt.Sprintf("%s:%016x", kind, s.Hash)
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
		parts, requests := EncodeSubjects(c.Suspects)
		out = append(out, &fleetpb.Crash{
			Server: c.Server.Server, Born: c.Server.Born, Suspects: parts, Requests: requests, AgeMs: uint32(max(0, now.Sub(c.At).Milliseconds())),
		})
	}
	return out
}

// DecodeCrashes returns the crashes encoded by EncodeCrashes.
func DecodeCrashes(in []*fleetpb.Crash, now time.Time) []Crash {
	var out []Crash
	for _, c := range in {
		at := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
		out = append(out, Crash{Server: Incarnation{c.Server, c.Born}, Suspects: DecodeSubjects(c.Suspects, c.Requests), At: at})
	}
	return out
}

// EncodeSubjects returns subjects in the encoding in which they are sent.
func EncodeSubjects(subjects []Subject) (parts, requests []uint64) {
	for _, s := range subjects {
		if s.Request {
			requests = append(requests, s.Hash)
		} else {
			parts = append(parts, s.Hash)
		}
	}
	return parts, requests
}

// DecodeSubjects returns the subjects encoded by EncodeSubjects.
func DecodeSubjects(parts, requests []uint64) []Subject {
	out := make([]Subject, 0, len(parts)+len(requests))
	for _, h := range parts {
		out = append(out, Subject{Hash: h})
	}
	for _, h := range requests {
		out = append(out, Subject{Hash: h, Request: true})
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
// subjects to count as survived before the response is complete.
const SurvivalTime = time.Second

// testSchedule is when the tests of a quarantine are due: first after a time, then after
// factor times the time before, up to a limit.
type testSchedule struct {
	first, limit time.Duration
	factor       time.Duration
}

var (
	partTests = testSchedule{first: 30 * time.Second, factor: 2, limit: time.Hour}
	// requestTests begin early, for a sound request that was present by chance, and become
	// rare soon: each failed test ends a server.
	requestTests = testSchedule{first: 10 * time.Second, factor: 8, limit: 24 * time.Hour}
)

// TestAfter returns how long a quarantined subject waits for its next test after the given
// number of strikes.
func (s Subject) TestAfter(strikes uint32) time.Duration {
	schedule := partTests
	if s.Request {
		schedule = requestTests
	}
	wait := schedule.first
	for i := uint32(1); i < strikes && wait < schedule.limit; i++ {
		wait *= schedule.factor
	}
	return min(wait, schedule.limit)
}
