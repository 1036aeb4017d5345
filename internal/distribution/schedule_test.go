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
	s := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		accepted: append(append([]*config.Set{}, firstEpochSets...), secondEpochSets...), newest: 1,
	}
	s.newestAcceptedAt = s.now
	for range 3 {
		r := NewRelay(0)
		r.now = func() time.Time { return s.now }
		s.relays, s.published = append(s.relays, r), append(s.published, 0)
		s.sentUpTo, s.inFlight = append(s.sentUpTo, config.Revision{}), append(s.inFlight, nil)
	}
	s.startWatcher()
	return s
}

// startWatcher starts the watcher's process with the configuration on its disk.
func (s *simulation) startWatcher() {
	s.core = newCore(testIsolationBound, 5*time.Second, 2, s.now)
	s.core.restore(s.disk)
	for i := range s.relays {
		s.openStream(i)
	}
}

// openStream reopens the stream of a relay from the revision in force.
func (s *simulation) openStream(i int) {
	s.sentUpTo[i], s.inFlight[i] = s.core.revision(), nil
	s.core.streamOpened(sourceName(i))
}

func sourceName(i int) string { return fmt.Sprintf("relay-%d", i) }

// step executes one random event.
func (s *simulation) step() {
	i := s.rand.IntN(len(s.relays))
	s.now = s.now.Add(time.Duration(s.rand.IntN(400)) * time.Millisecond)
	for j := range s.relays {
		if len(s.inFlight[j]) > 0 && s.now.Sub(s.inFlight[j][0].sent) > maxTransitTime {
			s.openStream(j)
		}
	}
	switch s.rand.IntN(12) {
	case 0, 1:
		if s.newest < len(s.accepted) {
			s.newest++
			s.newestAcceptedAt = s.now
		}
	case 2, 3:
		s.advanceRelay(i)
	case 4, 5, 6:
		s.send(i)
	case 7, 8, 9:
		s.deliver(i)
	case 10:
		s.injectFault(i)
	case 11:
		if s.rand.IntN(8) == 0 {
			if s.rand.IntN(2) == 0 {
				s.disk = nil
			}
			s.startWatcher()
		}
	}
}

// advanceRelay publishes more sets to a relay, and confirms the relay if it is up
// to date.
func (s *simulation) advanceRelay(i int) {
	s.published[i] += s.rand.IntN(s.newest - s.published[i] + 1)
	if s.published[i] == 0 {
		return
	}
	if err := s.relays[i].Publish(s.accepted[s.published[i]-1]); err != nil {
		s.t.Fatal(err)
	}
	if s.published[i] == s.newest {
		s.relays[i].Confirm(s.now)
	}
}

// send puts the messages that the relay would send now in flight.
func (s *simulation) send(i int) {
	updates, upToRevision, _, err := s.relays[i].updatesSince(s.sentUpTo[i])
	if err != nil {
		return
	}
	for _, u := range updates {
		s.inFlight[i] = append(s.inFlight[i], inFlightMessage{u, s.now})
	}
	s.sentUpTo[i] = upToRevision
}

// deliver delivers the first message of a stream to the core.
func (s *simulation) deliver(i int) {
	if len(s.inFlight[i]) == 0 {
		return
	}
	u := s.inFlight[i][0].update
	s.inFlight[i] = s.inFlight[i][1:]
	before := s.core.revision()
	eff := s.core.receive(sourceName(i), u, s.now)
	if eff.err != nil {
		s.t.Fatalf("update rejected: %v", eff.err)
	}
	if eff.publish {
		s.disk = s.core.declared
	}
	if s.core.revision().Less(before) {
		s.t.Fatalf("revision went back from %v to %v", before, s.core.revision())
	}
	if eff.resync {
		s.openStream(i)
	}
}

// injectFault duplicates a message, loses one, swaps two or closes the stream.
func (s *simulation) injectFault(i int) {
	queue := s.inFlight[i]
	switch s.rand.IntN(4) {
	case 0:
		if len(queue) > 0 {
			s.inFlight[i] = append(queue[:1:1], queue...)
		}
	case 1:
		if len(queue) > 0 {
			s.inFlight[i] = queue[1:]
		}
	case 2:
		if len(queue) > 1 {
			queue[0], queue[1] = queue[1], queue[0]
		}
	case 3:
		s.openStream(i)
	}
}

// checkInvariants compares the configuration in force with the set accepted at that
// revision. The time of the confirmation may exceed that of a newer acceptance by
// the transit time at most.
func (s *simulation) checkInvariants() {
	rev := s.core.revision()
	if rev == (config.Revision{}) {
		return
	}
	for _, set := range s.accepted[:s.newest] {
		if set.Revision == rev && s.lastChecked != s.core.declared && !equalSets(s.t, set, s.core.declared) {
			s.t.Fatalf("contents of revision %v differ from the accepted set", rev)
		}
	}
	s.lastChecked = s.core.declared
	newest := s.accepted[s.newest-1]
	if rev.Less(newest.Revision) && s.core.confirmedAt.After(s.newestAcceptedAt.Add(maxTransitTime)) {
		s.t.Fatalf("confirmed at %v although %v was accepted at %v", s.core.confirmedAt, newest.Revision, s.newestAcceptedAt)
	}
}

// converge delivers all messages and checks that the watcher is up to date.
func (s *simulation) converge() {
	for range 3 {
		for i := range s.relays {
			s.published[i] = s.newest
			s.advanceRelay(i)
			s.send(i)
			for len(s.inFlight[i]) > 0 {
				s.deliver(i)
			}
		}
	}
	if !equalSets(s.t, s.core.declared, s.accepted[s.newest-1]) {
		s.t.Fatalf("revision in force %v, newest accepted %v", s.core.revision(), s.accepted[s.newest-1].Revision)
	}
	if s.core.isolated(s.now) || !s.core.ready(s.now) {
		s.t.Fatal("isolated or not ready with recent confirmations from every source")
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
	s := newSimulation(t, seed, firstEpochSets, secondEpochSets)
	for range scheduleSteps {
		s.step()
		s.checkInvariants()
	}
	s.converge()
	s.checkInvariants()
}
