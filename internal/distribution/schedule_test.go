package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

const (
	scheduleSeeds = 4000
	scheduleSteps = 150
	// scheduleShards is the number of shards that run in parallel.
	scheduleShards     = 4
	testIsolationBound = 10 * time.Second
	// maxTransitTime is how long a message may be in flight; a slower stream counts
	// as silent and is closed.
	maxTransitTime = maxMissedKeepalives * DefaultKeepaliveInterval
)

// inFlightMessage is a sent message that has not been delivered.
type inFlightMessage struct {
	update *controlpb.ConfigUpdate
	sent   time.Time
}

// simulation models a control group with two epochs, relays that lag behind it, and
// the core of one watcher whose messages are delayed, lost, duplicated, reordered
// and cut off.
type simulation struct {
	t    *testing.T
	rand *rand.Rand
	now  time.Time

	// accepted holds all sets in order; newest is the number accepted so far.
	accepted []*config.Set
	newest   int
	// newestAcceptedAt is when the newest set was accepted.
	newestAcceptedAt time.Time

	relays []*Relay
	// published is, for each relay, the number of sets published to it.
	published []int
	// sentUpTo is the revision up to which each relay's stream has sent.
	sentUpTo []config.Revision
	// inFlight holds the undelivered messages of each stream. Messages of different
	// streams may overtake one another, those of one stream may not.
	inFlight [][]inFlightMessage

	core *core
	disk *config.Set
	// lastChecked is the set whose contents were compared last.
	lastChecked *config.Set
}

func newSimulation(t *testing.T, seed uint64, firstEpochSets, secondEpochSets []*config.Set) *simulation {
	w := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		accepted: append(append([]*config.Set{}, firstEpochSets...), secondEpochSets...), newest: 1,
	}
	w.newestAcceptedAt = w.now
	for range 3 {
		r := NewRelay(0)
		r.now = func() time.Time { return w.now }
		w.relays, w.published = append(w.relays, r), append(w.published, 0)
		w.sentUpTo, w.inFlight = append(w.sentUpTo, config.Revision{}), append(w.inFlight, nil)
	}
	w.startWatcher()
	return w
}

// startWatcher starts the watcher's process with the configuration on its disk.
func (w *simulation) startWatcher() {
	w.core = newCore(testIsolationBound, 5*time.Second, 2, w.now)
	w.core.restore(w.disk)
	for i := range w.relays {
		w.openStream(i)
	}
}

// openStream reopens the stream of a relay from the revision in force.
func (w *simulation) openStream(i int) {
	w.sentUpTo[i], w.inFlight[i] = w.core.revision(), nil
	w.core.streamOpened(sourceName(i))
}

func sourceName(i int) string { return fmt.Sprintf("relay-%d", i) }

// step executes one random event.
func (w *simulation) step() {
	i := w.rand.IntN(len(w.relays))
	w.now = w.now.Add(time.Duration(w.rand.IntN(400)) * time.Millisecond)
	for j := range w.relays {
		if len(w.inFlight[j]) > 0 && w.now.Sub(w.inFlight[j][0].sent) > maxTransitTime {
			w.openStream(j)
		}
	}
	switch w.rand.IntN(12) {
	case 0, 1:
		if w.newest < len(w.accepted) {
			w.newest++
			w.newestAcceptedAt = w.now
		}
	case 2, 3:
		w.advanceRelay(i)
	case 4, 5, 6:
		w.send(i)
	case 7, 8, 9:
		w.deliver(i)
	case 10:
		w.injectFault(i)
	case 11:
		if w.rand.IntN(8) == 0 {
			if w.rand.IntN(2) == 0 {
				w.disk = nil
			}
			w.startWatcher()
		}
	}
}

// advanceRelay publishes more sets to a relay, and confirms the relay if it is up
// to date.
func (w *simulation) advanceRelay(i int) {
	w.published[i] += w.rand.IntN(w.newest - w.published[i] + 1)
	if w.published[i] == 0 {
		return
	}
	if err := w.relays[i].Publish(w.accepted[w.published[i]-1]); err != nil {
		w.t.Fatal(err)
	}
	if w.published[i] == w.newest {
		w.relays[i].Confirm(w.now)
	}
}

// send puts the messages that the relay would send now in flight.
func (w *simulation) send(i int) {
	updates, upToRevision, _, err := w.relays[i].updatesSince(w.sentUpTo[i])
	if err != nil {
		return
	}
	for _, u := range updates {
		w.inFlight[i] = append(w.inFlight[i], inFlightMessage{u, w.now})
	}
	w.sentUpTo[i] = upToRevision
}

// deliver delivers the first message of a stream to the core.
func (w *simulation) deliver(i int) {
	if len(w.inFlight[i]) == 0 {
		return
	}
	u := w.inFlight[i][0].update
	w.inFlight[i] = w.inFlight[i][1:]
	before := w.core.revision()
	eff := w.core.receive(sourceName(i), u, w.now)
	if eff.err != nil {
		w.t.Fatalf("update rejected: %v", eff.err)
	}
	if eff.publish {
		w.disk = w.core.declared
	}
	if w.core.revision().Less(before) {
		w.t.Fatalf("revision went back from %v to %v", before, w.core.revision())
	}
	if eff.resync {
		w.openStream(i)
	}
}

// injectFault duplicates a message, loses one, swaps two or closes the stream.
func (w *simulation) injectFault(i int) {
	queue := w.inFlight[i]
	switch w.rand.IntN(4) {
	case 0:
		if len(queue) > 0 {
			w.inFlight[i] = append(queue[:1:1], queue...)
		}
	case 1:
		if len(queue) > 0 {
			w.inFlight[i] = queue[1:]
		}
	case 2:
		if len(queue) > 1 {
			queue[0], queue[1] = queue[1], queue[0]
		}
	case 3:
		w.openStream(i)
	}
}

// checkInvariants compares the configuration in force with the set accepted at that
// revision. The time of the confirmation may exceed that of a newer acceptance by
// the transit time at most.
func (w *simulation) checkInvariants() {
	rev := w.core.revision()
	if rev == (config.Revision{}) {
		return
	}
	for _, s := range w.accepted[:w.newest] {
		if s.Revision == rev && w.lastChecked != w.core.declared && !equalSets(w.t, s, w.core.declared) {
			w.t.Fatalf("contents of revision %v differ from the accepted set", rev)
		}
	}
	w.lastChecked = w.core.declared
	newest := w.accepted[w.newest-1]
	if rev.Less(newest.Revision) && w.core.confirmedAt.After(w.newestAcceptedAt.Add(maxTransitTime)) {
		w.t.Fatalf("confirmed at %v although %v was accepted at %v", w.core.confirmedAt, newest.Revision, w.newestAcceptedAt)
	}
}

// converge delivers all messages and checks that the watcher is up to date.
func (w *simulation) converge() {
	for range 3 {
		for i := range w.relays {
			w.published[i] = w.newest
			w.advanceRelay(i)
			w.send(i)
			for len(w.inFlight[i]) > 0 {
				w.deliver(i)
			}
		}
	}
	if !equalSets(w.t, w.core.declared, w.accepted[w.newest-1]) {
		w.t.Fatalf("revision in force %v, newest accepted %v", w.core.revision(), w.accepted[w.newest-1].Revision)
	}
	if w.core.isolated(w.now) || !w.core.ready(w.now) {
		w.t.Fatal("isolated or not ready with recent confirmations from every source")
	}
}

func TestSchedules(t *testing.T) {
	firstEpochSets, secondEpochSets := history(t, 1, 30), history(t, 2, 30)
	for shard := range uint64(scheduleShards) {
		t.Run(fmt.Sprintf("shard=%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < scheduleSeeds; seed += scheduleShards {
				if !t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSchedule(t, seed, firstEpochSets, secondEpochSets) }) {
					return
				}
			}
		})
	}
}

func runSchedule(t *testing.T, seed uint64, firstEpochSets, secondEpochSets []*config.Set) {
	w := newSimulation(t, seed, firstEpochSets, secondEpochSets)
	for range scheduleSteps {
		w.step()
		w.checkInvariants()
	}
	w.converge()
	w.checkInvariants()
}
