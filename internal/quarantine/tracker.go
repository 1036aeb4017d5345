package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashRetention is how long a crash counts.
	crashRetention = 5 * time.Minute
	// maxCrashes and maxSuspects limit the crashes retained and the suspects of each.
	maxCrashes  = 128
	maxSuspects = 256
	// crashSeparation is the least time between two crashes that count separately. Servers
	// that end at the same moment have a common cause outside of the requests. A request that
	// is sent to the next server as soon as one has ended is given less.
	crashSeparation        = 100 * time.Millisecond
	requestCrashSeparation = 30 * time.Millisecond
	// watchedCrashes is the number of separate crashes from which a suspect is watched, so
	// that routers tell of requests that succeed with it.
	watchedCrashes = 2
	// quarantineCrashes is the number of separate crashes from which a prompt part is
	// quarantined, ambiguousCrashes the number if other parts have as many.
	quarantineCrashes = 5
	ambiguousCrashes  = 7
	// requestCrashes is the number of crashes from which a request is quarantined if
	// watchedCrashes of them are separate. Requests seldom are the same by chance, so fewer
	// crashes are enough, and others of which nothing is known do not speak against it.
	requestCrashes = 3
	// minExplainedFraction is the fraction of the crashes since a part's first one that it
	// must account for. While many servers end for other reasons, a rare one can be present
	// several times by chance, and no request with it may have succeeded. From manyCrashes
	// crashes of the suspect minFractionOfMany is enough: two subjects may end servers at the
	// same time.
	minExplainedFraction = 2.0 / 3
	manyCrashes          = 8
	minFractionOfMany    = 1.0 / 3
	// survivalDelay is how long a suspect must have been watched before it is quarantined:
	// the time until routers have told of requests that succeeded with it.
	survivalDelay = time.Second
	// maxWatched limits the subjects that routers are told of.
	maxWatched = 64
)

// Tracker finds the subjects that recur in crashes. It is not safe for concurrent use.
type Tracker struct {
	// crashes are ordered by time, oldest first.
	crashes []*trackedCrash
	// watchedSince holds when each suspect reached watchedCrashes, and watched is the result
	// of Watched, nil once it is out of date.
	watchedSince map[Subject]time.Time
	watched      map[Subject]time.Time
	// anyDue is true if a suspect had enough crashes for a quarantine when they were last
	// counted.
	anyDue bool
	// changed is set if suspects were added since watchedSince and anyDue were updated.
	// They are updated at most once for each call of Watched and Verdicts, since many routers
	// report at the same time when many servers end.
	changed bool
}

type trackedCrash struct {
	server   Incarnation
	at       time.Time
	suspects []Subject
	// survived holds subjects with which a request succeeded after the crash.
	survived map[Subject]bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{watchedSince: map[Subject]time.Time{}} }

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
		t.crashes = slices.Insert(t.crashes, i, &trackedCrash{server: c.Server, at: c.At, survived: map[Subject]bool{}})
		if len(t.crashes) > maxCrashes {
			t.crashes = t.crashes[1:]
			if i--; i < 0 {
				return false, false
			}
		}
	}
	known := t.crashes[i]
	suspects := slices.DeleteFunc(slices.Clone(c.Suspects), func(s Subject) bool { return known.survived[s] })
	known.suspects, added = appendNew(known.suspects, suspects, maxSuspects)
	t.changed = t.changed || added
	return first, added
}

// RecordSurvival records that a request with the subject succeeded after the crashes known so
// far.
func (t *Tracker) RecordSurvival(s Subject) {
	for _, c := range t.crashes {
		before := len(c.suspects)
		c.suspects = slices.DeleteFunc(c.suspects, func(o Subject) bool { return o == s })
		if len(c.suspects) < before {
			c.survived[s] = true
		}
	}
	delete(t.watchedSince, s)
	t.watched = nil
}

func (t *Tracker) expire(now time.Time) {
	if len(t.crashes) == 0 || now.Sub(t.crashes[0].at) <= crashRetention {
		return
	}
	t.watched = nil
	t.crashes = slices.DeleteFunc(t.crashes, func(c *trackedCrash) bool { return now.Sub(c.at) > crashRetention })
}

// presence is how often a suspect was present at crashes.
type presence struct {
	// crashes is the number of separate crashes, ends that of all.
	crashes, ends int
	lastAt        time.Time
	// crashesBefore is the number of crashes of others before the suspect's first one.
	crashesBefore int
}

// presences returns the presence of each suspect of one kind, and the number of separate
// crashes with such suspects. Crashes that a subject in explained accounts for are left out.
func (t *Tracker) presences(requests bool, explained map[Subject]bool) (suspects map[Subject]*presence, total int) {
	separation := crashSeparation
	if requests {
		separation = requestCrashSeparation
	}
	suspects = map[Subject]*presence{}
	var lastAt time.Time
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.suspects, func(s Subject) bool { return explained[s] }) || !slices.ContainsFunc(c.suspects, func(s Subject) bool { return s.Request == requests }) {
			continue
		}
		before := total
		if total == 0 || c.at.Sub(lastAt) >= separation {
			total++
			lastAt = c.at
		}
		for _, s := range c.suspects {
			if s.Request != requests {
				continue
			}
			p := suspects[s]
			if p == nil {
				p = &presence{crashesBefore: min(before, total-1)}
				suspects[s] = p
			}
			p.ends++
			if p.crashes == 0 || c.at.Sub(p.lastAt) >= separation {
				p.crashes++
				p.lastAt = c.at
			}
		}
	}
	return suspects, total
}

// due reports whether a suspect has enough crashes for a quarantine.
func (p *presence) due(s Subject) bool {
	if s.Request {
		return p.ends >= requestCrashes && p.crashes >= watchedCrashes
	}
	return p.crashes >= quarantineCrashes
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
	suspects, _ := t.presences(false, nil)
	requests, _ := t.presences(true, nil)
	maps.Copy(suspects, requests)
	t.anyDue, t.watched, t.changed = false, nil, false
	for s, p := range suspects {
		t.anyDue = t.anyDue || p.due(s)
		if _, watched := t.watchedSince[s]; !watched && p.crashes >= watchedCrashes {
			t.watchedSince[s] = now
		}
	}
	maps.DeleteFunc(t.watchedSince, func(s Subject, _ time.Time) bool {
		return suspects[s] == nil || suspects[s].crashes < watchedCrashes
	})
}

// watchedLongEnough reports whether routers have had the time to tell of a request that
// succeeded with the suspect.
func (t *Tracker) watchedLongEnough(s Subject, now time.Time) bool {
	since, watched := t.watchedSince[s]
	return watched && now.Sub(since) >= survivalDelay
}

// Watched returns the suspects that routers are to be told of, and when the first crash of
// each was.
// The caller must not modify the result.
func (t *Tracker) Watched(now time.Time) map[Subject]time.Time {
	t.updateWatched(now)
	if t.watched != nil {
		return t.watched
	}
	out := map[Subject]time.Time{}
	for _, c := range t.crashes {
		for _, s := range c.suspects {
			_, watched := t.watchedSince[s]
			if _, listed := out[s]; watched && !listed && len(out) < maxWatched {
				out[s] = c.at
			}
		}
	}
	t.watched = out
	return out
}

// Verdict is a subject to quarantine and the number of crashes that it accounts for.
type Verdict struct {
	Subject Subject
	Crashes int
}

// Verdicts returns the subjects to quarantine, in addition to those that already are.
func (t *Tracker) Verdicts(quarantined map[Subject]bool, now time.Time) []Verdict {
	t.updateWatched(now)
	if !t.anyDue {
		return nil
	}
	return append(t.requestVerdicts(quarantined, now), t.partVerdicts(quarantined, now)...)
}

func sortVerdicts(vs []Verdict) {
	slices.SortFunc(vs, func(a, b Verdict) int { return a.Subject.Compare(b.Subject) })
}

// requestVerdicts returns the requests to quarantine. The one that was present at the most
// crashes explains these, so that others that were present by chance are not refused.
func (t *Tracker) requestVerdicts(quarantined map[Subject]bool, now time.Time) []Verdict {
	explained := map[Subject]bool{}
	for s := range quarantined {
		explained[s] = s.Request
	}
	var out []Verdict
	for {
		suspects, _ := t.presences(true, explained)
		most := 0
		for s, p := range suspects {
			if p.due(s) {
				most = max(most, p.ends)
			}
		}
		if most == 0 {
			return out
		}
		var leaders []Verdict
		for s, p := range suspects {
			if p.due(s) && p.ends == most {
				leaders = append(leaders, Verdict{s, p.ends})
			}
		}
		if slices.ContainsFunc(leaders, func(v Verdict) bool { return !t.watchedLongEnough(v.Subject, now) }) {
			return out
		}
		sortVerdicts(leaders)
		for _, v := range leaders {
			explained[v.Subject] = true
		}
		out = append(out, leaders...)
	}
}

// partVerdicts returns the prompt parts to quarantine. Requests share parts, so a part is
// weighed against the others that were present. A quarantined request does not explain its
// crashes: one with a part that ends servers may be repeated.
func (t *Tracker) partVerdicts(quarantined map[Subject]bool, now time.Time) []Verdict {
	explained := map[Subject]bool{}
	for s := range quarantined {
		explained[s] = !s.Request
	}
	var out []Verdict
	for {
		suspects, total := t.presences(false, explained)
		maps.DeleteFunc(suspects, func(_ Subject, p *presence) bool { return !p.explainsEnough(total) })
		most := 0
		for _, p := range suspects {
			most = max(most, p.crashes)
		}
		var leaders []Verdict
		for s, p := range suspects {
			if p.crashes == most {
				leaders = append(leaders, Verdict{s, p.crashes})
			}
		}
		if most < quarantineCrashes || len(leaders) > 1 && most < ambiguousCrashes {
			return out
		}
		if slices.ContainsFunc(leaders, func(v Verdict) bool { return !t.watchedLongEnough(v.Subject, now) }) {
			return out
		}
		sortVerdicts(leaders)
		for _, v := range leaders {
			explained[v.Subject] = true
		}
		out = append(out, leaders...)
	}
}
