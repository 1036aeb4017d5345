package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

const (
	// departureTTL is how long a departure is kept. It exceeds the delay of any announcement
	// that must still be rejected as older.
	departureTTL = 90 * time.Second
	// maxDepartures limits the departures that are kept. Beyond it those that were recorded
	// first are forgotten early.
	maxDepartures = 8192
)

// departureKeeper has the fleet record which servers leave, before that is acknowledged: the server
// table is held in memory, and a late announcement would bring a server back after a restart.
type departureKeeper struct {
	// recordedAt is when this process first saw each recorded departure.
	recordedAt map[string]recordedDeparture
	// waiting are the departures to be recorded, and waiters are told the outcome. They are
	// proposed together once no proposal is in flight.
	waiting   []inventory.Departure
	waiters   []chan<- error
	proposing bool
}

type recordedDeparture struct {
	inventory.Departure
	at time.Time
}

// mergeDepartures applies the recorded departures to the server table, and tells the routers and
// the other processes. A process that lagged may see some only once they have been forgotten.
func (h *hub) mergeDepartures() {
	departures, forgotten := h.machine.TakeDepartures()
	now := h.now()
	maps.DeleteFunc(forgotten, func(id string, d inventory.Departure) bool { return h.departures.recordedAt[id].Departure == d })
	changed := h.table.ApplyDepartures(forgotten)
	recorded := make(map[string]recordedDeparture, len(departures))
	for id, d := range departures {
		r := h.departures.recordedAt[id]
		if r.Departure != d {
			r = recordedDeparture{d, now}
		}
		recorded[id] = r
	}
	h.departures.recordedAt = recorded
	for _, id := range append(changed, h.table.SetDepartures(departures, now)...) {
		// Processes of earlier releases apply no record.
		h.recordChange(id, inventory.Changed, true)
	}
	h.broadcastLeaving()
}

// recordDeparture has the fleet record a departure. The returned channel receives nil once a
// majority has it on disk. A server that is draining says so with each heartbeat, which is recorded
// where it changes the server's state.
func (h *hub) recordDeparture(d inventory.Departure, change inventory.Change) <-chan error {
	recorded := make(chan error, 1)
	held, found := h.machine.State().Departures[d.ID]
	// A server that was ready since the record leaves once more, even if the process knows already.
	repeated := held.Born == d.Born && held.State == d.State && change != inventory.Changed && !h.table.ReadySince(held)
	// A late announcement says nothing of a server that is ready again.
	readyAgain := d.State == inventory.Draining && change == inventory.Stale && h.isReady(d.ID)
	if found && (repeated || !d.Supersedes(held)) || readyAgain {
		recorded <- nil
		return recorded
	}
	h.departures.waiting = append(h.departures.waiting, d)
	h.departures.waiters = append(h.departures.waiters, recorded)
	h.proposeDepartures()
	return recorded
}

func (h *hub) proposeDepartures() {
	k := &h.departures
	if k.proposing || len(k.waiting) == 0 {
		return
	}
	departures, waiters := k.waiting, k.waiters
	k.waiting, k.waiters, k.proposing = nil, nil, true
	h.submit(publication.DepartCommand(departures), func(err error) {
		k.proposing = false
		for _, w := range waiters {
			w <- err
		}
		if err != nil {
			h.log.Warn("departures not recorded", "servers", len(departures), "first", departures[0].ID, "error", err)
		}
		h.proposeDepartures()
	})
}

// forgetDepartures drops the recorded departures that are old, while this process leads.
func (h *hub) forgetDepartures() {
	if h.places.assigner == nil {
		return
	}
	byAge := slices.SortedFunc(maps.Values(h.departures.recordedAt), func(a, b recordedDeparture) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ID, b.ID))
	})
	var forgotten []inventory.Departure
	for i, r := range byAge {
		if len(byAge)-i <= maxDepartures && h.now().Sub(r.at) < departureTTL {
			break
		}
		forgotten = append(forgotten, r.Departure)
	}
	if len(forgotten) == 0 {
		return
	}
	h.propose(publication.ForgetCommand(forgotten), func(err error) {
		h.log.Info("departures forgotten", "servers", len(forgotten), "kept", len(byAge)-len(forgotten), "error", err)
	})
}

// awaitDeparture waits until a departure is recorded, and then, for at most relayTimeout, until a
// majority of the processes has told its routers.
func awaitDeparture(ctx context.Context, recorded <-chan error, relayed *ackCounter) error {
	select {
	case err := <-recorded:
		if err != nil {
			return errkind.Wrap(err, errkind.NoQuorum, "the server's departure was not recorded")
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-relayed.done:
	case <-time.After(relayTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// submitter returns a function that replicates a command by propose, and calls done with the result
// on the hub's goroutine.
func (p *Process) submitter(propose func(context.Context, *fleetpb.Command) (uint64, error)) func(*fleetpb.Command, func(error)) {
	return func(cmd *fleetpb.Command, done func(error)) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
			defer cancel()
			_, err := propose(ctx, cmd)
			p.hub.post(context.Background(), func() { done(err) })
		}()
	}
}
