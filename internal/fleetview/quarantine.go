package fleetview

import (
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
)

// Quarantine is the quarantine of a subject as this router applies it.
type Quarantine struct {
	publication.Quarantined
	probed atomic.Bool
}

// nextQuarantines returns the quarantines of a newer state. Those that are unchanged are
// taken over, so that a probe is sent once.
func (s *Snapshot) nextQuarantines(quarantined []publication.Quarantined) map[quarantine.Subject]*Quarantine {
	next := make(map[quarantine.Subject]*Quarantine, len(quarantined))
	for _, q := range quarantined {
		if old := s.Quarantined[q.Subject]; old != nil && old.Quarantined == q {
			next[q.Subject] = old
			continue
		}
		next[q.Subject] = &Quarantine{Quarantined: q}
	}
	return next
}

// Refuses returns a quarantine that forbids sending a request with the subjects to a backend
// server, or nil. If this router may send one request to test a quarantine, the first call
// for its subject returns nil.
func (v *View) Refuses(subjects []quarantine.Subject) *Quarantine {
	quarantined := v.Snapshot().Quarantined
	if len(quarantined) == 0 {
		return nil
	}
	var probe *Quarantine
	for _, s := range subjects {
		switch q := quarantined[s]; {
		case q == nil:
		case q.Probe != v.opts.RouterID || probe != nil || q.probed.Load():
			return q
		default:
			probe = q
		}
	}
	if probe != nil && !probe.probed.CompareAndSwap(false, true) {
		return probe
	}
	return nil
}

// RecordEnd records that the process of an incarnation has ended.
func (v *View) RecordEnd(server string, born int64) {
	if s := v.opts.Fleet.LatestIncarnation(server); s != nil {
		v.opts.Fleet.RecordEnd(server, born, v.Snapshot().coldTime(s.Service), time.Now())
	}
}

// ReportCrash reports that a backend server ended while it held requests with the suspects.
// It returns whether that is news.
func (v *View) ReportCrash(c quarantine.Crash) bool {
	v.RecordEnd(c.Server.Server, c.Server.Born)
	if !v.monitor.RecordCrash(c, time.Now()) {
		return false
	}
	if l := v.reportTo.Load(); l != nil {
		l.sendNow()
	}
	return true
}

// RecordSurvival records that a backend server has answered a request with the subjects.
func (v *View) RecordSurvival(subjects []quarantine.Subject) {
	v.monitor.RecordSurvival(subjects, time.Now())
}

// Suspected reports whether servers have ended under requests with one of the subjects, and no
// request with it is known to have succeeded since.
func (v *View) Suspected(subjects []quarantine.Subject) bool {
	return v.monitor.Suspected(subjects, time.Now())
}
