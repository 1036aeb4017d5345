package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

// Promise is one promise with what the check found.
type Promise struct {
	Name string `json:"name"`
	// Checked is the number of cases that were looked at.
	Checked    int      `json:"checked"`
	Violations []string `json:"violations,omitempty"`
}

func (p *Promise) violate(format string, args ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
}

// Check checks every promise.
func Check(o Observation) []Promise {
	l := indexLedger(o.Ledger)
	return []Promise{
		checkOwnAnswer(o),
		checkOnce(o, l),
		checkNotRun(o, l),
		checkCompleted(o, l),
		checkCapacity(o),
		checkDataCentreOut(o),
		checkLeaving(o),
		checkNoStepBack(o),
		checkInForce(o),
		checkGraceful(o),
		checkSkew(o),
	}
}

// runKey names a call that may not be repeated.
type runKey struct{ workspace, key string }

type ledgerIndex struct {
	byRequest map[string][]standin.Entry // begins
	byKey     map[runKey][]standin.Entry // begins
	completed map[string]bool            // hash of the request
	failed    map[string]bool
}

func indexLedger(entries []standin.Entry) ledgerIndex {
	l := ledgerIndex{
		byRequest: map[string][]standin.Entry{},
		byKey:     map[runKey][]standin.Entry{},
		completed: map[string]bool{},
		failed:    map[string]bool{},
	}
	for _, e := range entries {
		switch e.Event {
		case standin.EventBegin:
			base := baseID(e.Request)
			l.byRequest[base] = append(l.byRequest[base], e)
			if e.Key != "" {
				k := runKey{e.Workspace, e.Key}
				l.byKey[k] = append(l.byKey[k], e)
			}
		case standin.EventEnd:
			l.completed[e.Hash] = l.completed[e.Hash] || e.Outcome == standin.OutcomeCompleted
			l.failed[e.Hash] = l.failed[e.Hash] || e.Outcome != standin.OutcomeCompleted
		}
	}
	return l
}

// baseID returns the part of a request id that stays the same over the attempts
// of a request; the rest tells where an attempt runs.
func baseID(id string) string {
	base, _, _ := strings.Cut(id, "~")
	return base
}

// checkOwnAnswer: a caller gets its own answer, whole, or sees that it did not.
func checkOwnAnswer(o Observation) Promise {
	p := Promise{Name: "own answer, whole"}
	for _, e := range o.Exchanges {
		if e.Verdict == AnswerNone {
			continue
		}
		p.Checked++
		if e.Verdict == AnswerWrong {
			p.violate("%s got other bytes than its own answer from %s (request %s, status %d)", describe(o, e), e.Router, e.RequestID, e.Status)
		}
	}
	return p
}

// checkOnce: a call that may not be repeated runs at most once.
func checkOnce(o Observation, l ledgerIndex) Promise {
	p := Promise{Name: "at most once"}
	seen := map[runKey]bool{}
	for _, r := range o.Records {
		k := runKey{r.Workspace, r.Key}
		if r.Kind != trace.KindOnce || seen[k] {
			continue
		}
		seen[k] = true
		p.Checked++
		if runs := l.byKey[k]; len(runs) > 1 {
			p.violate("key %s of %s ran %d times: at %s and %s", k.key, k.workspace, len(runs), runs[0].Server, runs[1].Server)
		}
	}
	return p
}

// checkNotRun: what was refused as not run is in no ledger. An answer to a
// question for the rest of a stream speaks of that question, not of the run.
func checkNotRun(o Observation, l ledgerIndex) Promise {
	p := Promise{Name: "\"not run\" is true"}
	told := map[runKey]bool{} // true while every exchange said not run
	for _, e := range o.Exchanges {
		r := o.Records[e.Record]
		notRun := e.NotSent || e.Outcome == errkind.NotRun
		if r.Kind == trace.KindOnce {
			k := runKey{r.Workspace, r.Key}
			before, seen := told[k]
			told[k] = notRun && (before || !seen)
		}
		if e.Outcome != errkind.NotRun || e.RequestID == "" || e.Resumed {
			continue
		}
		p.Checked++
		if runs := l.byRequest[baseID(e.RequestID)]; len(runs) > 0 {
			p.violate("%s was told that request %s did not run (%s), but %s ran it", describe(o, e), e.RequestID, e.Kind, runs[0].Server)
		}
	}
	for k, notRun := range told {
		if !notRun {
			continue
		}
		p.Checked++
		if runs := l.byKey[k]; len(runs) > 0 {
			p.violate("key %s of %s was always refused as not run, but %s ran it", k.key, k.workspace, runs[0].Server)
		}
	}
	return p
}

// checkCompleted: what was told as completed, or as failed, did run and end so.
func checkCompleted(o Observation, l ledgerIndex) Promise {
	p := Promise{Name: "\"completed\" and \"failed\" are true"}
	for _, e := range o.Exchanges {
		if e.Outcome != errkind.Completed && e.Outcome != errkind.Failed {
			continue
		}
		req, err := o.Records[e.Record].Request()
		if err != nil {
			p.violate("%s: %v", describe(o, e), err)
			continue
		}
		p.Checked++
		if e.Outcome == errkind.Completed && !l.completed[req.Hash()] {
			p.violate("%s was told completed, but no ledger has a completed run of it", describe(o, e))
		}
		if e.Outcome == errkind.Failed && !l.failed[req.Hash()] {
			p.violate("%s was told failed, but no ledger has a failed run of it", describe(o, e))
		}
	}
	return p
}

// checkGraceful: a graceful shutdown cuts off no request.
func checkGraceful(o Observation) Promise {
	p := Promise{Name: "a graceful shutdown cuts off no request"}
	for _, w := range windows(o.Events, ActionStop, ActionStopped) {
		for _, e := range o.Exchanges {
			if e.Router != w.target || e.NotSent || e.Ended.Before(w.from) || e.Sent.After(w.to) {
				continue
			}
			p.Checked++
			if e.Broken() {
				p.violate("%s was cut off while %s shut down: %s", describe(o, e), w.target, e.Error)
			}
		}
	}
	return p
}

// window is the time between two actions on one target.
type window struct {
	target   string
	from, to time.Time
}

// farFuture ends a window that no event has closed.
const farFuture = 365 * 24 * time.Hour

// windows pairs each opening action with the next closing one on its target.
func windows(events []Event, opening, closing Action) []window {
	var out []window
	open := map[string]int{}
	for _, e := range events {
		i, isOpen := open[e.Target]
		switch {
		case e.Action == opening && !isOpen:
			open[e.Target] = len(out)
			out = append(out, window{e.Target, e.At(), e.At().Add(farFuture)})
		case e.Action == closing && isOpen:
			out[i].to = e.At()
			delete(open, e.Target)
		}
	}
	return out
}

func describe(o Observation, e Exchange) string {
	r := o.Records[e.Record]
	return fmt.Sprintf("record %d (%s %s of %s)", e.Record, r.Method(), r.Path, r.Workspace)
}
