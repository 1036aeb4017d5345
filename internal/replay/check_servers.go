package replay

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// incarnation names one life of a server.
type incarnation struct{ server, id string }

// serverLife is what the capacity check tracks of one incarnation.
type serverLife struct {
	inFlight   int
	state      standin.State
	turnedCold time.Time // zero for a server that was cold from its start
}

// checkCapacity: no server gets more than its capacity, nor a cold one more
// than it bears. Entries of one server stand in the order of their events.
func checkCapacity(o Observation) Promise {
	p := Promise{Name: "no server over its capacity, warm or cold"}
	lives := map[incarnation]*serverLife{}
	for _, e := range o.Ledger {
		id := incarnation{e.Server, e.Incarnation}
		life := lives[id]
		if life == nil {
			life = &serverLife{}
			lives[id] = life
		}
		switch e.Event {
		case standin.EventState:
			if e.State == standin.StateCold && life.state == standin.StateReady {
				life.turnedCold = e.Time()
			}
			life.state = e.State
		case standin.EventEnd:
			life.inFlight--
		case standin.EventBegin:
			life.inFlight++
			p.Checked++
			checkBegin(&p, o.Bounds, e, life)
		}
	}
	return p
}

func checkBegin(p *Promise, b Bounds, e standin.Entry, life *serverLife) {
	if life.inFlight > e.Capacity {
		p.violate("%s had %d in flight at %s, capacity %d", e.Server, life.inFlight, clock(e.Time()), e.Capacity)
	}
	unnoticed := !life.turnedCold.IsZero() && e.Time().Sub(life.turnedCold) < b.ColdNotice
	if e.State == standin.StateCold && !unnoticed && life.inFlight > e.ColdCapacity {
		p.violate("%s was cold and had %d in flight at %s, it bears %d", e.Server, life.inFlight, clock(e.Time()), e.ColdCapacity)
	}
}

// checkDataCentreOut: a data centre that was taken out gets no new work.
func checkDataCentreOut(o Observation) Promise {
	p := Promise{Name: "no new work at a data centre that is out"}
	for _, w := range windows(o.Events, ActionDrain, ActionUndrain) {
		p.Checked++
		for _, e := range o.Ledger {
			at := e.Time()
			if e.Event == standin.EventBegin && e.DataCentre == w.target && at.After(w.from.Add(o.Bounds.OutWithin)) && at.Before(w.to) {
				p.violate("%s in %s began a run %v after the data centre was taken out", e.Server, e.DataCentre, at.Sub(w.from).Round(time.Millisecond))
			}
		}
	}
	return p
}

// checkLeaving: a server that said it is leaving gets no new work.
func checkLeaving(o Observation) Promise {
	p := Promise{Name: "no new work at a leaving server"}
	left := map[incarnation]time.Time{}
	for _, e := range o.Ledger {
		id := incarnation{e.Server, e.Incarnation}
		if e.Event == standin.EventState && e.State == standin.StateLeaving {
			left[id] = e.Time()
			p.Checked++
		}
		since, ok := left[id]
		if e.Event == standin.EventBegin && ok && e.Time().Sub(since) > o.Bounds.OutWithin {
			p.violate("%s began a run %v after it said that it is leaving", e.Server, e.Time().Sub(since).Round(time.Millisecond))
		}
	}
	return p
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
