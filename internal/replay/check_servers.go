package replay

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// incarnation identifies a server process from its start to its end.
type incarnation struct{ server, id string }

// incarnationState is the state that the capacity check tracks for an incarnation.
type incarnationState struct {
	inFlight  int
	state     standin.State
	coldSince time.Time // zero for a server that has been cold since its start
}

// checkCapacity checks that no server has more runs in flight than its capacity, or
// than its cold capacity while it is cold. It relies on the entries of a server being
// in the order of the events.
func checkCapacity(o Observation) Promise {
	p := Promise{Name: "no server over its capacity, warm or cold"}
	servers := map[incarnation]*incarnationState{}
	for _, e := range o.Ledger {
		id := incarnation{e.Server, e.Incarnation}
		server := servers[id]
		if server == nil {
			server = &incarnationState{}
			servers[id] = server
		}
		switch e.Event {
		case standin.EventState:
			if e.State == standin.StateCold && server.state == standin.StateReady {
				server.coldSince = e.Time()
			}
			server.state = e.State
		case standin.EventEnd:
			server.inFlight--
		case standin.EventBegin:
			server.inFlight++
			p.Checked++
			checkBegin(&p, o.Bounds, e, server)
		}
	}
	return p
}

func checkBegin(p *Promise, b Bounds, e standin.Entry, server *incarnationState) {
	if server.inFlight > e.Capacity {
		p.addViolation("%s had %d in flight at %s, capacity %d", e.Server, server.inFlight, formatTime(e.Time()), e.Capacity)
	}
	unnoticed := !server.coldSince.IsZero() && e.Time().Sub(server.coldSince) < b.ColdNotice
	if e.State == standin.StateCold && !unnoticed && server.inFlight > e.ColdCapacity {
		p.addViolation("%s was cold and had %d in flight at %s, it bears %d", e.Server, server.inFlight, formatTime(e.Time()), e.ColdCapacity)
	}
}

// checkEvacuated checks that an evacuated data centre gets no new work.
func checkEvacuated(o Observation) Promise {
	p := Promise{Name: "no new work at a data centre that is out"}
	for _, w := range windows(o.Events, ActionDrain, ActionUndrain) {
		p.Checked++
		for _, e := range o.Ledger {
			at := e.Time()
			if e.Event == standin.EventBegin && e.DataCentre == w.target && at.After(w.from.Add(o.Bounds.OutWithin)) && at.Before(w.to) {
				p.addViolation("%s in %s began a run %v after the data centre was taken out", e.Server, e.DataCentre, at.Sub(w.from).Round(time.Millisecond))
			}
		}
	}
	return p
}

// checkLeaving checks that a server that announced that it is leaving gets no new work.
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
			p.addViolation("%s began a run %v after it said that it is leaving", e.Server, e.Time().Sub(since).Round(time.Millisecond))
		}
	}
	return p
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }
