package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

const (
	// reportRetention is how long a router repeats its report of a crash.
	reportRetention = 2 * time.Second
	// maxReports limits the crashes that a router remembers, the newest ones.
	maxReports = 32
	// survivalSlots is the number of subjects of which a router remembers when a request last
	// succeeded with them. One that maps to an occupied slot replaces the older one.
	survivalSlots = 4096
	// suspectTTL is how long a router keeps the suspects that it was last told of. The
	// directory repeats them several times a second.
	suspectTTL = 3 * time.Second
)

// Monitor is a router's part in finding the subjects that end backend servers. It is safe for
// concurrent use.
type Monitor struct {
	mu      sync.Mutex
	reports []Crash
	// survivals are indexed by hash modulo survivalSlots.
	survivals [survivalSlots]survival
	// suspects holds when the first crash of each suspect was, as of suspectsAt.
	suspects   map[Subject]time.Time
	suspectsAt time.Time
}

type survival struct {
	subject Subject
	at      time.Time
}

// NewMonitor returns a Monitor without observations.
func NewMonitor() *Monitor { return &Monitor{} }

// RecordCrash records that a server ended while it held requests with the suspects. It
// reports whether that is news.
func (m *Monitor) RecordCrash(c Crash, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.reports, func(r Crash) bool { return r.Server == c.Server })
	if i < 0 {
		m.reports = append(m.reports, Crash{Server: c.Server, At: now})
		m.reports = m.reports[max(0, len(m.reports)-maxReports):]
		i = len(m.reports) - 1
	}
	r, added := &m.reports[i], false
	// The list may be in use by the caller of Reports.
	r.Suspects, added = appendNew(slices.Clone(r.Suspects), c.Suspects, maxSuspects)
	return added
}

// RecordSurvival records that a backend server has answered a request with the subjects and
// lives.
func (m *Monitor) RecordSurvival(subjects []Subject, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range subjects {
		m.survivals[s.Hash%survivalSlots] = survival{s, now}
	}
}

// SetSuspects takes over the suspects that the directory knows of.
func (m *Monitor) SetSuspects(suspects []*fleetpb.SuspectPart, now time.Time) {
	next := make(map[Subject]time.Time, len(suspects))
	for _, s := range suspects {
		next[Subject{Hash: s.Part, Request: s.Request}] = now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspects, m.suspectsAt = next, now
}

// Suspected reports whether one of the subjects is a suspect.
func (m *Monitor) Suspected(subjects []Subject, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.suspectsAt) > suspectTTL {
		return false
	}
	return slices.ContainsFunc(subjects, func(s Subject) bool { _, ok := m.suspects[s]; return ok })
}

// Reports returns the crashes to report and the suspects with which a request has succeeded
// since their first crash. If all is set, the crashes are those that the directory would still
// count, without the suspects that have since succeeded here, for a process that may have
// started after they were reported.
func (m *Monitor) Reports(all bool, now time.Time) (crashes []Crash, survived []Subject) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.reports {
		switch age := now.Sub(r.At); {
		case age <= reportRetention:
			crashes = append(crashes, r)
		case all && age <= crashRetention:
			r.Suspects = slices.DeleteFunc(slices.Clone(r.Suspects), func(s Subject) bool { return m.survivedSince(s, r.At) })
			if len(r.Suspects) > 0 {
				crashes = append(crashes, r)
			}
		}
	}
	for s, since := range m.suspects {
		if m.survivedSince(s, since) {
			survived = append(survived, s)
		}
	}
	return crashes, survived
}

// survivedSince reports whether a request with the subject has succeeded after a time. The
// caller holds mu.
func (m *Monitor) survivedSince(s Subject, since time.Time) bool {
	found := m.survivals[s.Hash%survivalSlots]
	return found.subject == s && found.at.After(since)
}
