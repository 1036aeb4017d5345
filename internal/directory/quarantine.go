package directory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/publication"
	"github.com/kumquathollow/kumquathollow/internal/quarantine"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	// maxQuarantined limits the quarantined subjects.
	maxQuarantined = 256
	// probeTimeout is how long a router has to test a quarantine before another one is
	// chosen: no request with the subject may come to it. It doubles each time, up to
	// maxProbeTimeout. A quarantine that maxIdleProbes routers had no request for, which takes
	// about a day, is lifted.
	probeTimeout    = 20 * time.Second
	maxProbeTimeout = time.Hour
	maxIdleProbes   = 30
	// lastSuccessTime is how long after the beginning of a quarantine a request that was sent
	// before may still succeed.
	lastSuccessTime = 30 * time.Second
	// maxPendingCrashes limits the crashes kept for another process that does not answer.
	maxPendingCrashes = 128
)

// quarantineKeeper collects the reports of servers that ended under requests. While this
// process leads, it decides on the quarantines.
type quarantineKeeper struct {
	tracker *quarantine.Tracker
	// records hold what is known of each quarantine in force. A change of a quarantine begins
	// a new record.
	records map[publication.Quarantined]*quarantineRecord
	// idleProbes counts the routers that were to test a quarantine and had no request to.
	idleProbes map[quarantine.Subject]int
	// proposing is true while a command is not yet committed.
	proposing bool
	// full is true while a subject is not quarantined because of maxQuarantined.
	full bool
}

// quarantineRecord is what this process knows of a quarantine.
type quarantineRecord struct {
	// since is when this process first saw the quarantine in force.
	since time.Time
	// survived is set once a request with the subject succeeded, failed once the test ended a
	// server.
	survived, failed bool
}

func newQuarantineKeeper() quarantineKeeper {
	return quarantineKeeper{tracker: quarantine.NewTracker(), records: map[publication.Quarantined]*quarantineRecord{}, idleProbes: map[quarantine.Subject]int{}}
}

// recordQuarantineReports records what routers observed. direct is true if a router that
// reports here sent it, and not another directory process.
func (h *hub) recordQuarantineReports(crashes []*fleetpb.Crash, survived []quarantine.Subject, direct bool) {
	k, now := &h.quarantine, h.now()
	for _, c := range quarantine.DecodeCrashes(crashes, now) {
		first, added := k.tracker.RecordCrash(c, now)
		if !added {
			continue
		}
		if first {
			h.log.Info("server ended under requests", "server", c.Server.Server, "born", c.Server.Born, "suspects", len(c.Suspects), "direct", direct)
		}
		for q, r := range k.records {
			r.failed = r.failed || q.Probe != "" && slices.Contains(c.Suspects, q.Subject) && c.At.After(r.since)
		}
		if direct {
			for _, p := range h.peers {
				p.crashes = append(p.crashes, c)
				p.crashes = p.crashes[max(0, len(p.crashes)-maxPendingCrashes):]
				if first {
					signal(p.wake)
				}
			}
		}
	}
	for _, subject := range survived {
		k.tracker.RecordSurvival(subject)
		for q, r := range k.records {
			r.survived = r.survived || q.Subject == subject
		}
		if direct {
			for _, p := range h.peers {
				p.survived[subject] = true
			}
		}
	}
}

// suspects returns the subjects of which routers are to tell whether a request with them
// succeeds: those under which servers have ended, and those in quarantine of which a request
// may be under way, since it was sent before the quarantine or tests it.
func (h *hub) suspects() []*fleetpb.SuspectPart {
	watched := map[quarantine.Subject]time.Time{}
	for q, r := range h.quarantine.records {
		if q.Probe != "" || h.now().Sub(r.since) < lastSuccessTime {
			watched[q.Subject] = r.since
		}
	}
	maps.Copy(watched, h.quarantine.tracker.Watched(h.now()))
	var out []*fleetpb.SuspectPart
	for _, subject := range slices.SortedFunc(maps.Keys(watched), quarantine.Subject.Compare) {
		out = append(out, &fleetpb.SuspectPart{Part: subject.Hash, Request: subject.Request, AgeMs: uint32(h.now().Sub(watched[subject]).Milliseconds())})
	}
	return out
}

// reconcileQuarantines proposes the next change of the quarantines, if one is due and this
// process leads.
func (h *hub) reconcileQuarantines() {
	k, now, state := &h.quarantine, h.now(), h.machine.State()
	k.updateRecords(state.Quarantined, now)
	if h.places.assigner == nil || k.proposing {
		return
	}
	next, because := h.nextQuarantine(state.Quarantined, now)
	if because == "" {
		return
	}
	k.proposing = true
	k.countIdleProbe(state.Quarantined, next)
	h.propose(publication.QuarantineCommand(next), func(err error) {
		k.proposing = false
		h.log.Warn("quarantine changed", "subject", next.Subject, "strikes", next.Strikes, "probe", next.Probe, "because", because,
			"revision", h.machine.State().Revision, "error", err)
	})
}

// probeTimeout returns how long the router that is to test a quarantine has for it.
func (k *quarantineKeeper) probeTimeout(s quarantine.Subject) time.Duration {
	wait := probeTimeout
	for range k.idleProbes[s] {
		wait = min(maxProbeTimeout, 2*wait)
	}
	return wait
}

// countIdleProbe updates idleProbes before a change: only one that passes a test on counts.
func (k *quarantineKeeper) countIdleProbe(quarantined []publication.Quarantined, next publication.Quarantined) {
	passesOn := next.Probe != "" && slices.ContainsFunc(quarantined, func(q publication.Quarantined) bool { return q.Subject == next.Subject && q.Probe != "" })
	if passesOn {
		k.idleProbes[next.Subject]++
	} else {
		delete(k.idleProbes, next.Subject)
	}
}

func (k *quarantineKeeper) updateRecords(quarantined []publication.Quarantined, now time.Time) {
	for _, q := range quarantined {
		if k.records[q] == nil {
			k.records[q] = &quarantineRecord{since: now}
		}
	}
	maps.DeleteFunc(k.records, func(q publication.Quarantined, _ *quarantineRecord) bool { return !slices.Contains(quarantined, q) })
}

// nextQuarantine returns the next change of the quarantines and its reason, or "".
func (h *hub) nextQuarantine(quarantined []publication.Quarantined, now time.Time) (next publication.Quarantined, because string) {
	k := &h.quarantine
	subjects := map[quarantine.Subject]bool{}
	for _, q := range quarantined {
		subjects[q.Subject] = true
		r := k.records[q]
		switch age := now.Sub(r.since); {
		case r.survived:
			return publication.Quarantined{Subject: q.Subject}, "a request succeeded"
		case r.failed:
			return publication.Quarantined{Subject: q.Subject, Strikes: q.Strikes + 1}, "a server ended in the test"
		case q.Probe != "" && age >= k.probeTimeout(q.Subject) && k.idleProbes[q.Subject] >= maxIdleProbes:
			return publication.Quarantined{Subject: q.Subject}, "no such request came"
		case q.Probe == "" && age >= q.Subject.TestAfter(q.Strikes), q.Probe != "" && age >= k.probeTimeout(q.Subject):
			if probe := h.probingRouter(q.Subject, q.Probe); probe != "" {
				return publication.Quarantined{Subject: q.Subject, Strikes: q.Strikes, Probe: probe}, "test due"
			}
		}
	}
	verdicts := k.tracker.Verdicts(subjects, now)
	full := len(verdicts) > 0 && len(quarantined) >= maxQuarantined
	if full && !k.full {
		h.log.Error("subject not quarantined", "subject", verdicts[0].Subject, "crashes", verdicts[0].Crashes, "because", "the limit of quarantined subjects is reached", "limit", maxQuarantined)
	}
	k.full = full
	if full || len(verdicts) == 0 {
		return next, ""
	}
	return publication.Quarantined{Subject: verdicts[0].Subject, Strikes: 1}, fmt.Sprintf("%d servers ended", verdicts[0].Crashes)
}

// probingRouter chooses one of the routers that report here to test a quarantine, other
// than the previous one; "" if there is none.
func (h *hub) probingRouter(subject quarantine.Subject, previous string) string {
	best, bestCost := "", uint64(0)
	for s := range h.sessions {
		if s.load == nil || s.router == previous {
			continue
		}
		if cost := routing.Mix(subject.Hash, routing.Hash(s.router+previous)); best == "" || cost < bestCost {
			best, bestCost = s.router, cost
		}
	}
	return best
}
