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
	// maxQuarantined limits the quarantined parts.
	maxQuarantined = 256
	// probeTimeout is how long a router has to test a quarantine before another one is
	// chosen: no request with the part may come to it.
	probeTimeout = 20 * time.Second
	// maxPendingCrashes limits the crashes kept for another process that does not answer.
	maxPendingCrashes = 128
)

// quarantineKeeper collects the reports of servers that ended under requests. While this
// process leads, it decides on the quarantines of prompt parts.
type quarantineKeeper struct {
	tracker *quarantine.Tracker
	// records hold what is known of each quarantine in force. A change of a quarantine begins
	// a new record.
	records map[publication.QuarantinedPart]*quarantineRecord
	// proposing is true while a command is not yet committed.
	proposing bool
	// full is true while a part is not quarantined because of maxQuarantined.
	full bool
}

// quarantineRecord is what this process knows of a quarantine.
type quarantineRecord struct {
	// since is when this process first saw the quarantine in force.
	since time.Time
	// survived is set once a request with the part succeeded, failed once the test ended a
	// server.
	survived, failed bool
}

func newQuarantineKeeper() quarantineKeeper {
	return quarantineKeeper{tracker: quarantine.NewTracker(), records: map[publication.QuarantinedPart]*quarantineRecord{}}
}

// recordQuarantineReports records what routers observed. direct is true if a router that
// reports here sent it, and not another directory process.
func (h *hub) recordQuarantineReports(crashes []*fleetpb.Crash, survived []uint64, direct bool) {
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
			r.failed = r.failed || q.Probe != "" && slices.Contains(c.Suspects, q.Part) && c.At.After(r.since)
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
	for _, part := range quarantine.DecodeParts(survived) {
		k.tracker.RecordSurvival(part)
		for q, r := range k.records {
			r.survived = r.survived || q.Part == part
		}
		if direct {
			for _, p := range h.peers {
				p.survived[part] = true
			}
		}
	}
}

// suspects returns the parts of which routers are to tell whether a request with them
// succeeds: those under which servers have ended, and those in quarantine.
func (h *hub) suspects() []*fleetpb.SuspectPart {
	watched := map[quarantine.Part]time.Time{}
	for q, r := range h.quarantine.records {
		watched[q.Part] = r.since
	}
	maps.Copy(watched, h.quarantine.tracker.Watched(h.now()))
	var out []*fleetpb.SuspectPart
	for _, part := range slices.Sorted(maps.Keys(watched)) {
		out = append(out, &fleetpb.SuspectPart{Part: uint64(part), AgeMs: uint32(h.now().Sub(watched[part]).Milliseconds())})
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
	h.propose(publication.QuarantineCommand(next), func(err error) {
		k.proposing = false
		h.log.Warn("quarantine changed", "part", fmt.Sprintf("%016x", uint64(next.Part)), "strikes", next.Strikes, "probe", next.Probe, "because", because,
			"revision", h.machine.State().Revision, "error", err)
	})
}

func (k *quarantineKeeper) updateRecords(quarantined []publication.QuarantinedPart, now time.Time) {
	for _, q := range quarantined {
		if k.records[q] == nil {
			k.records[q] = &quarantineRecord{since: now}
		}
	}
	maps.DeleteFunc(k.records, func(q publication.QuarantinedPart, _ *quarantineRecord) bool { return !slices.Contains(quarantined, q) })
}

// nextQuarantine returns the next change of the quarantines and its reason, or "".
func (h *hub) nextQuarantine(quarantined []publication.QuarantinedPart, now time.Time) (next publication.QuarantinedPart, because string) {
	k := &h.quarantine
	parts := map[quarantine.Part]bool{}
	for _, q := range quarantined {
		parts[q.Part] = true
		r := k.records[q]
		switch age := now.Sub(r.since); {
		case r.survived:
			return publication.QuarantinedPart{Part: q.Part}, "a request succeeded"
		case r.failed:
			return publication.QuarantinedPart{Part: q.Part, Strikes: q.Strikes + 1}, "a server ended in the test"
		case q.Probe == "" && age >= quarantine.TestAfter(q.Strikes), q.Probe != "" && age >= probeTimeout:
			if probe := h.probingRouter(uint64(q.Part), q.Probe); probe != "" {
				return publication.QuarantinedPart{Part: q.Part, Strikes: q.Strikes, Probe: probe}, "test due"
			}
		}
	}
	verdicts := k.tracker.Verdicts(parts, now)
	full := len(verdicts) > 0 && len(quarantined) >= maxQuarantined
	if full && !k.full {
		h.log.Error("prompt part not quarantined", "part", fmt.Sprintf("%016x", uint64(verdicts[0].Part)), "crashes", verdicts[0].Crashes, "because", "the limit of quarantined parts is reached", "limit", maxQuarantined)
	}
	k.full = full
	if full || len(verdicts) == 0 {
		return next, ""
	}
	return publication.QuarantinedPart{Part: verdicts[0].Part, Strikes: 1}, fmt.Sprintf("%d servers ended", verdicts[0].Crashes)
}

// probingRouter chooses one of the routers that report here to test a quarantine, other
// than the previous one; "" if there is none.
func (h *hub) probingRouter(part uint64, previous string) string {
	best, bestCost := "", uint64(0)
	for s := range h.sessions {
		if s.load == nil || s.router == previous {
			continue
		}
		if cost := routing.Mix(part, routing.Hash(s.router+previous)); best == "" || cost < bestCost {
			best, bestCost = s.router, cost
		}
	}
	return best
}
