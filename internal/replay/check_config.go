package replay

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

// checkNoStepBack: a router's revision in force never goes back, also not
// across its restarts.
func checkNoStepBack(o Observation) Promise {
	p := Promise{Name: "an accepted configuration never reverts"}
	newest := map[string]config.Revision{}
	for _, s := range o.Samples {
		if !hasRevision(s) {
			continue
		}
		p.Checked++
		if s.Revision.Less(newest[s.Router]) {
			p.violate("%s went back from revision %v to %v at %s", s.Router, newest[s.Router], s.Revision, clock(s.At))
			continue
		}
		newest[s.Router] = s.Revision
	}
	return p
}

// checkInForce: a revision that one router has is soon in force at all. A
// router that could not be asked, or was stopped meanwhile, is left out.
func checkInForce(o Observation) Promise {
	p := Promise{Name: "an accepted configuration is in force everywhere in time"}
	first := map[config.Revision]time.Time{}
	for _, s := range o.Samples {
		if _, seen := first[s.Revision]; !seen && hasRevision(s) {
			first[s.Revision] = s.At
		}
	}
	away := disturbances(o.Events)
	for rev, since := range first {
		for _, s := range o.Samples {
			late := s.At.Sub(since)
			if !hasRevision(s) || late < o.Bounds.InForceWithin || wasAway(away, s.Router, s.At.Add(-o.Bounds.InForceWithin), s.At) {
				continue
			}
			p.Checked++
			if s.Revision.Less(rev) {
				p.violate("%s still had revision %v %v after %v was in force at another router", s.Router, s.Revision, late.Round(time.Millisecond), rev)
			}
		}
	}
	return p
}

// disturbances returns the times in which processes were killed, paused or stopped.
func disturbances(events []Event) []window {
	out := append(windows(events, ActionKill, ActionStart), windows(events, ActionPause, ActionResume)...)
	return append(out, windows(events, ActionStop, ActionStart)...)
}

func hasRevision(s Sample) bool { return s.Reached && s.Revision != config.Revision{} }

func wasAway(away []window, target string, from, to time.Time) bool {
	for _, w := range away {
		if w.target == target && w.from.Before(to) && w.to.After(from) {
			return true
		}
	}
	return false
}
