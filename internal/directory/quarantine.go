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
	// since holds when this process first saw each quarantine in force.
	since map[publication.QuarantinedPart]time.Time
	// survived holds quarantined parts with which a request succeeded, failed those whose
	// test ended a server.
	survived, failed map[quarantine.Part]bool
	// proposing is true while a command is not yet committed.
	proposing bool
	// full is true while a part is not quarantined because of maxQuarantined.
	full bool
}

func newQuarantineKeeper() quarantineKeeper {
	return quarantineKeeper{
		tracker: quarantine.NewTracker(), since: map[publication.QuarantinedPart]time.Time{},
		survived: map[quarantine.Part]bool{}, failed: map[quarantine.Part]bool{},
	}
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
		for _, q := range h.machine.State().Quarantined {
			if q.Probe != "" && slices.Contains(c.Suspects, q.Part) && c.At.After(k.since[q]) {
				k.failed[q.Part] = true
			}
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
		if slices.ContainsFunc(h.machine.State().Quarantined, func(q publication.QuarantinedPart) bool { return q.Part == part }) {
			k.survived[part] = true
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
	for _, q := range h.machine.State().Quarantined {
		if since, ok := h.quarantine.since[q]; ok {
			watched[q.Part] = since
		}
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
	k.updateSince(state.Quarantined, now)
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

func (k *quarantineKeeper) updateSince(quarantined []publication.QuarantinedPart, now time.Time) {
	for _, q := range quarantined {
		if _, known := k.since[q]; !known {
			k.since[q] = now
			delete(k.survived, q.Part)
			delete(k.failed, q.Part)
		}
	}
	maps.DeleteFunc(k.since, func(q publication.QuarantinedPart, _ time.Time) bool { return !slices.Contains(quarantined, q) })
}

// nextQuarantine returns the next change of the quarantines and its reason, or "".
func (h *hub) nextQuarantine(quarantined []publication.QuarantinedPart, now time.Time) (next publication.QuarantinedPart, because string) {
	k := &h.quarantine
	parts := map[quarantine.Part]bool{}
	for _, q := range quarantined {
		parts[q.Part] = true
		switch age := now.Sub(k.since[q]); {
		case k.survived[q.Part]:
			return publication.QuarantinedPart{Part: q.Part}, "a request succeeded"
		case q.Probe != "" && k.failed[q.Part]:
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
