package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

// Promise is the result of checking one guarantee of the fleet.
type Promise struct {
	Name string `json:"name"`
	// Checked is the number of cases checked.
	Checked    int      `json:"checked"`
	Violations []string `json:"violations,omitempty"`
}

func (p *Promise) addViolation(format string, args ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
}

// Check checks all promises.
func Check(o Observation) []Promise {
	l := indexLedger(o.Ledger)
	return []Promise{
		checkOwnResponse(o),
		checkAtMostOnce(o, l),
		checkNotRun(o, l),
		checkCompleted(o, l),
		checkCapacity(o),
		checkEvacuated(o),
		checkLeaving(o),
		checkNoRevert(o),
		checkInForce(o),
		checkGracefulShutdown(o),
		checkSkew(o),
	}
}

// callKey identifies a non-repeatable call.
type callKey struct{ workspace, key string }

type ledgerIndex struct {
	byRequest map[string][]standin.Entry  // begin events, by base request id
	byKey     map[callKey][]standin.Entry // begin events, by idempotency key
	completed map[string]bool             // by the hash of the request
	failed    map[string]bool
}

func indexLedger(entries []standin.Entry) ledgerIndex {
	l := ledgerIndex{
		byRequest: map[string][]standin.Entry{},
		byKey:     map[callKey][]standin.Entry{},
		completed: map[string]bool{},
		failed:    map[string]bool{},
	}
	for _, e := range entries {
		switch e.Event {
		case standin.EventBegin:
			base := baseID(e.Request)
			l.byRequest[base] = append(l.byRequest[base], e)
			if e.Key != "" {
				k := callKey{e.Workspace, e.Key}
				l.byKey[k] = append(l.byKey[k], e)
			}
		case standin.EventEnd:
			l.completed[e.Hash] = l.completed[e.Hash] || e.Outcome == standin.OutcomeCompleted
			l.failed[e.Hash] = l.failed[e.Hash] || e.Outcome != standin.OutcomeCompleted
		}
	}
	return l
}

// baseID returns the part of a request id that is the same for all attempts of a
// request. The rest identifies where an attempt runs.
func baseID(id string) string {
	base, _, _ := strings.Cut(id, "~")
	return base
}

// checkOwnResponse checks that a caller gets the complete response to its own request,
// or sees an error.
func checkOwnResponse(o Observation) Promise {
	p := Promise{Name: "own answer, whole"}
	for _, e := range o.Exchanges {
		if e.Verdict == VerdictNone {
			continue
		}
		p.Checked++
		if e.Verdict == VerdictWrong {
			p.addViolation("%s got other bytes than its own answer from %s (request %s, status %d)", describe(o, e), e.Router, e.RequestID, e.Status)
		}
	}
	return p
}

// checkAtMostOnce checks that a non-repeatable call runs at most once.
func checkAtMostOnce(o Observation, l ledgerIndex) Promise {
	p := Promise{Name: "at most once"}
	seen := map[callKey]bool{}
	for _, r := range o.Records {
		k := callKey{r.Workspace, r.Key}
		if r.Kind != trace.KindOnce || seen[k] {
			continue
		}
		seen[k] = true
		p.Checked++
		if runs := l.byKey[k]; len(runs) > 1 {
			p.addViolation("key %s of %s ran %d times: at %s and %s", k.key, k.workspace, len(runs), runs[0].Server, runs[1].Server)
		}
	}
	return p
}

// checkNotRun checks that no ledger contains a request that was refused as not run.
// It skips responses to resume requests, whose outcome is that of the resume request
// and not that of the run.
func checkNotRun(o Observation, l ledgerIndex) Promise {
	p := Promise{Name: "\"not run\" is true"}
	reportedNotRun := map[callKey]bool{} // true while all exchanges reported not run
	for _, e := range o.Exchanges {
		r := o.Records[e.Record]
		notRun := e.NotSent || e.Outcome == errkind.NotRun
		if r.Kind == trace.KindOnce {
			k := callKey{r.Workspace, r.Key}
			before, seen := reportedNotRun[k]
			reportedNotRun[k] = notRun && (before || !seen)
		}
		if e.Outcome != errkind.NotRun || e.RequestID == "" || e.Resumed {
			continue
		}
		p.Checked++
		if runs := l.byRequest[baseID(e.RequestID)]; len(runs) > 0 {
			p.addViolation("%s was told that request %s did not run (%s), but %s ran it", describe(o, e), e.RequestID, e.Kind, runs[0].Server)
		}
	}
	for k, notRun := range reportedNotRun {
		if !notRun {
			continue
		}
		p.Checked++
		if runs := l.byKey[k]; len(runs) > 0 {
			p.addViolation("key %s of %s was always refused as not run, but %s ran it", k.key, k.workspace, runs[0].Server)
		}
	}
	return p
}

// checkCompleted checks that a request reported as completed or as failed has a run
// that ended so.
func checkCompleted(o Observation, l ledgerIndex) Promise {
	p := Promise{Name: "\"completed\" and \"failed\" are true"}
	for _, e := range o.Exchanges {
		if e.Outcome != errkind.Completed && e.Outcome != errkind.Failed {
			continue
		}
		req, err := o.Records[e.Record].Request()
		if err != nil {
			p.addViolation("%s: %v", describe(o, e), err)
			continue
		}
		p.Checked++
		if e.Outcome == errkind.Completed && !l.completed[req.Hash()] {
			p.addViolation("%s was told completed, but no ledger has a completed run of it", describe(o, e))
		}
		if e.Outcome == errkind.Failed && !l.failed[req.Hash()] {
			p.addViolation("%s was told failed, but no ledger has a failed run of it", describe(o, e))
		}
	}
	return p
}

// checkGracefulShutdown checks that a graceful shutdown interrupts no request.
func checkGracefulShutdown(o Observation) Promise {
	p := Promise{Name: "a graceful shutdown cuts off no request"}
	for _, w := range windows(o.Events, ActionStop, ActionStopped) {
		for _, e := range o.Exchanges {
			if e.Router != w.target || e.NotSent || e.Ended.Before(w.from) || e.Sent.After(w.to) {
				continue
			}
			p.Checked++
			if e.Broken() {
				p.addViolation("%s was cut off while %s shut down: %s", describe(o, e), w.target, e.Error)
			}
		}
	}
	return p
}

// window is the time between two actions on the same target.
type window struct {
	target   string
	from, to time.Time
}

// farFuture is the length of a window without a closing event.
const farFuture = 365 * 24 * time.Hour

// windows returns the times from each opening action to the next closing action on
// the same target.
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
