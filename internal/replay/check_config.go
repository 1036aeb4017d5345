package replay

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

// checkNoRevert checks that the revision in force at a router never decreases, also
// across restarts.
func checkNoRevert(o Observation) Promise {
	p := Promise{Name: "an accepted configuration never reverts"}
	newest := map[string]config.Revision{}
	for _, s := range o.Samples {
		if !hasRevision(s) {
			continue
		}
		p.Checked++
		if s.Revision.Less(newest[s.Router]) {
			p.addViolation("%s went back from revision %v to %v at %s", s.Router, newest[s.Router], s.Revision, formatTime(s.At))
			continue
		}
		newest[s.Router] = s.Revision
	}
	return p
}

// checkInForce checks that a revision in force at one router is in force at all
// routers within InForceWithin. Routers that could not be sampled or were disturbed
// during that time are skipped.
func checkInForce(o Observation) Promise {
	p := Promise{Name: "an accepted configuration is in force everywhere in time"}
	first := map[config.Revision]time.Time{}
	for _, s := range o.Samples {
		if _, seen := first[s.Revision]; !seen && hasRevision(s) {
			first[s.Revision] = s.At
		}
	}
	disturbed := disturbances(o.Events)
	for rev, since := range first {
		for _, s := range o.Samples {
			late := s.At.Sub(since)
			if !hasRevision(s) || late < o.Bounds.InForceWithin || disturbedDuring(disturbed, s.Router, s.At.Add(-o.Bounds.InForceWithin), s.At) {
				continue
			}
			p.Checked++
			if s.Revision.Less(rev) {
				p.addViolation("%s still had revision %v %v after %v was in force at another router", s.Router, s.Revision, late.Round(time.Millisecond), rev)
			}
		}
	}
	return p
}

// disturbances returns the times during which processes were killed, paused or
// stopped.
func disturbances(events []Event) []window {
	out := append(windows(events, ActionKill, ActionStart), windows(events, ActionPause, ActionResume)...)
	return append(out, windows(events, ActionStop, ActionStart)...)
}

func hasRevision(s Sample) bool { return s.Reached && s.Revision != config.Revision{} }

func disturbedDuring(periods []window, target string, from, to time.Time) bool {
	for _, w := range periods {
		if w.target == target && w.from.Before(to) && w.to.After(from) {
			return true
		}
	}
	return false
}
