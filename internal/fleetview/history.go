package fleetview

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// history is what the View needs to find out whether the state that it holds is one that the directory
// has had. It is owned by the goroutine of View.Run.
type history struct {
	// installedAt is when the state was installed, by the boot clock.
	installedAt time.Duration
	// summed is the state whose sum is sum.
	summed *publication.State
	sum    uint64
	// discardedFor is the mark for which a state was last discarded whose sum differed.
	discardedFor publication.Mark
	// incomparable is set once the state of that mark had another sum here although the directory
	// had sent it.
	incomparable bool
}

// isOtherHistory reports whether a confirmation shows that the state held was never the directory's: it
// has its revision, but another sum. A ping of before the state was installed tells nothing of it.
func (v *View) isOtherHistory(u update) bool {
	h, confirmed := &v.history, publication.Mark{Revision: u.Newest, Sum: u.NewestSum}
	if confirmed.Sum == 0 || confirmed.Revision != v.state.Revision || u.pingSentAt <= h.installedAt || h.incomparable {
		return false
	}
	if h.summed != v.state {
		h.summed, h.sum = v.state, v.state.Sum()
	}
	if h.sum == 0 || h.sum == confirmed.Sum {
		return false
	}
	if h.discardedFor == confirmed {
		h.incomparable = true
		v.opts.Log.Error("the state that the directory sent has another sum than it confirmed; sums are no longer compared", "revision", confirmed.Revision, "confirmed-sum", confirmed.Sum, "sum", h.sum)
		return false
	}
	h.discardedFor = confirmed
	return true
}

// discardState has the state fetched again, as a whole, after a quorum confirmed that it is not the
// directory's: its revision does not exist, or it is of another history. Commands that follow would be
// applied to it. The snapshot stays in use, without a confirmation, until the state arrives.
func (v *View) discardState(l *link, confirmed uint64) {
	v.opts.Log.Error("the directory confirmed another state than the one held; fetching its state", "address", l.address, "confirmed", confirmed, "revision", v.state.Revision)
	v.state = &publication.State{}
	snapshot := *v.Snapshot()
	snapshot.Revision = 0
	v.snapshot.Store(&snapshot)
	v.newestRevision, v.pendingRevision = confirmed, 0
	v.lastFetchAt, v.lastFetchFrom = clock.SinceBoot(), l
	l.requestFetch()
}
