package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashRetention is how long a crash counts.
	crashRetention = 5 * time.Minute
	// maxCrashes and maxSuspects limit the crashes retained and the suspects of each.
	maxCrashes  = 128
	maxSuspects = 128
	// crashSeparation is the least time between two crashes that count separately. Servers
	// that end at the same moment have a common cause outside of the requests.
	crashSeparation = 100 * time.Millisecond
	// watchedCrashes is the number of separate crashes from which a suspect is watched, so
	// that routers tell of requests that succeed with it.
	watchedCrashes = 2
	// quarantineCrashes is the number of separate crashes from which a suspect is
	// quarantined, ambiguousCrashes the number if other suspects have as many.
	quarantineCrashes = 5
	ambiguousCrashes  = 7
	// minExplainedFraction is the fraction of the crashes since a suspect's first one that it
	// must account for. While many servers end for other reasons, a rare part can be present
	// several times by chance, and no request with it may have succeeded. From manyCrashes
	// crashes of the suspect minFractionOfMany is enough: two parts may end servers at the
	// same time.
	minExplainedFraction = 2.0 / 3
	manyCrashes          = 8
	minFractionOfMany    = 1.0 / 3
	// survivalDelay is how long a suspect must have been watched before it is quarantined:
	// the time until routers have told of requests that succeeded with it.
	survivalDelay = time.Second
	// maxWatched limits the parts that routers are told of.
	maxWatched = 64
)

// Tracker finds the parts that recur in crashes. It is not safe for concurrent use.
type Tracker struct {
	// crashes are ordered by time, oldest first.
	crashes []*trackedCrash
	// watchedSince holds when each suspect reached watchedCrashes, and watched is the result
	// of Watched, nil once it is out of date.
	watchedSince map[Part]time.Time
	watched      map[Part]time.Time
	// mostCrashes is the number of separate crashes of the most frequent suspect. It may have
	// fallen since it was counted.
	mostCrashes int
	// changed is set if suspects were added since watchedSince and mostCrashes were updated.
	// They are updated at most once for each call of Watched and Verdicts, since many routers
	// report at the same time when many servers end.
	changed bool
}

type trackedCrash struct {
	server   Incarnation
	at       time.Time
	suspects []Part
	// survived holds parts with which a request succeeded after the crash.
	survived map[Part]bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{watchedSince: map[Part]time.Time{}} }

// RecordCrash records a report of a crash. Reports of several routers about one crash are
// merged. It returns whether this is the first one, and whether it added any suspects.
func (t *Tracker) RecordCrash(c Crash, now time.Time) (first, added bool) {
	t.expire(now)
	i := slices.IndexFunc(t.crashes, func(known *trackedCrash) bool { return known.server == c.Server })
	if first = i < 0; first {
		if now.Sub(c.At) > crashRetention {
			return false, false
		}
		i, _ = slices.BinarySearchFunc(t.crashes, c.At, func(known *trackedCrash, at time.Time) int { return known.at.Compare(at) })
		t.crashes = slices.Insert(t.crashes, i, &trackedCrash{server: c.Server, at: c.At, survived: map[Part]bool{}})
		if len(t.crashes) > maxCrashes {
			t.crashes = t.crashes[1:]
			if i--; i < 0 {
				return false, false
			}
		}
	}
	known := t.crashes[i]
	suspects := slices.DeleteFunc(slices.Clone(c.Suspects), func(p Part) bool { return known.survived[p] })
	known.suspects, added = appendNew(known.suspects, suspects, maxSuspects)
	t.changed = t.changed || added
	return first, added
}

// RecordSurvival records that a request with the part succeeded after the crashes known so
// far.
func (t *Tracker) RecordSurvival(p Part) {
	for _, c := range t.crashes {
		before := len(c.suspects)
		c.suspects = slices.DeleteFunc(c.suspects, func(s Part) bool { return s == p })
		if len(c.suspects) < before {
			c.survived[p] = true
		}
	}
	delete(t.watchedSince, p)
	t.watched = nil
}

func (t *Tracker) expire(now time.Time) {
	if len(t.crashes) == 0 || now.Sub(t.crashes[0].at) <= crashRetention {
		return
	}
	t.watched = nil
	t.crashes = slices.DeleteFunc(t.crashes, func(c *trackedCrash) bool { return now.Sub(c.at) > crashRetention })
}

// presence is how often a suspect was present at crashes. Crashes within crashSeparation
// count as one.
type presence struct {
	crashes int
	lastAt  time.Time
	// crashesBefore is the number of all crashes before the suspect's first one.
	crashesBefore int
}

// presences returns the presence of each suspect and the number of all crashes. Crashes that
// a part in explained accounts for are left out.
func (t *Tracker) presences(explained map[Part]bool) (suspects map[Part]*presence, total int) {
	suspects = map[Part]*presence{}
	var lastAt time.Time
	for _, c := range t.crashes {
		if len(c.suspects) == 0 || slices.ContainsFunc(c.suspects, func(p Part) bool { return explained[p] }) {
			continue
		}
		before := total
		if total == 0 || c.at.Sub(lastAt) >= crashSeparation {
			total++
			lastAt = c.at
		}
		for _, part := range c.suspects {
			switch p := suspects[part]; {
			case p == nil:
				suspects[part] = &presence{crashes: 1, lastAt: c.at, crashesBefore: min(before, total-1)}
			case c.at.Sub(p.lastAt) >= crashSeparation:
				p.crashes++
				p.lastAt = c.at
			}
		}
	}
	return suspects, total
}

// explainsEnough reports whether the suspect accounts for a sufficient fraction of all
// crashes since its first one.
func (p *presence) explainsEnough(total int) bool {
	fraction := float64(p.crashes) / float64(total-p.crashesBefore)
	return fraction >= minExplainedFraction || p.crashes >= manyCrashes && fraction >= minFractionOfMany
}

func (t *Tracker) updateWatched(now time.Time) {
	t.expire(now)
	if !t.changed {
		return
	}
	suspects, _ := t.presences(nil)
	t.mostCrashes, t.watched, t.changed = 0, nil, false
	for part, p := range suspects {
		t.mostCrashes = max(t.mostCrashes, p.crashes)
		if _, watched := t.watchedSince[part]; !watched && p.crashes >= watchedCrashes {
			t.watchedSince[part] = now
		}
	}
	maps.DeleteFunc(t.watchedSince, func(part Part, _ time.Time) bool {
		return suspects[part] == nil || suspects[part].crashes < watchedCrashes
	})
}

// Watched returns the suspects that routers are to be told of, and when the first crash of
// each was.
// The caller must not modify the result.
func (t *Tracker) Watched(now time.Time) map[Part]time.Time {
	t.updateWatched(now)
	if t.watched != nil {
		return t.watched
	}
	out := map[Part]time.Time{}
	for _, c := range t.crashes {
		for _, p := range c.suspects {
			_, watched := t.watchedSince[p]
			if _, listed := out[p]; watched && !listed && len(out) < maxWatched {
				out[p] = c.at
			}
		}
	}
	t.watched = out
	return out
}

// Verdict is a part to quarantine and the number of separate crashes that it accounts for.
type Verdict struct {
	Part    Part
	Crashes int
}

// Verdicts returns the parts to quarantine, in addition to those that already are.
func (t *Tracker) Verdicts(quarantined map[Part]bool, now time.Time) []Verdict {
	t.updateWatched(now)
	if t.mostCrashes < quarantineCrashes {
		return nil
	}
	explained := maps.Clone(quarantined)
	if explained == nil {
		explained = map[Part]bool{}
	}
	var out []Verdict
	for {
		suspects, total := t.presences(explained)
		maps.DeleteFunc(suspects, func(_ Part, p *presence) bool { return !p.explainsEnough(total) })
		most := 0
		for _, p := range suspects {
			most = max(most, p.crashes)
		}
		var leaders []Verdict
		for part, p := range suspects {
			if p.crashes == most {
				leaders = append(leaders, Verdict{part, p.crashes})
			}
		}
		if most < quarantineCrashes || len(leaders) > 1 && most < ambiguousCrashes {
			return out
		}
		for _, v := range leaders {
			if since, watched := t.watchedSince[v.Part]; !watched || now.Sub(since) < survivalDelay {
				return out
			}
		}
		slices.SortFunc(leaders, func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
		for _, v := range leaders {
			explained[v.Part] = true
		}
		out = append(out, leaders...)
	}
}
