package distribution

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

var testStart = time.Unix(1_700_000_000, 0)

func keepaliveAt(epoch, number, ageMs uint64) *controlpb.ConfigUpdate {
	rev := &controlpb.Revision{Epoch: epoch, Number: number}
	return &controlpb.ConfigUpdate{Revision: rev, Keepalive: true, AgeMs: ageMs}
}

func fullUpdateOf(t *testing.T, s *config.Set, ageMs uint64) *controlpb.ConfigUpdate {
	t.Helper()
	objs, err := s.Objects()
	if err != nil {
		t.Fatal(err)
	}
	return &controlpb.ConfigUpdate{Revision: s.Revision.ToProto(), Full: true, Upserts: objs, AgeMs: ageMs}
}

func TestConfirmationOfAnOlderEpochIsIgnored(t *testing.T) {
	c := newCore(testIsolationBound, time.Second, 2, testStart)
	c.receive("a", fullUpdateOf(t, history(t, 2, 3)[2], maxAgeMs), testStart)
	if eff := c.receive("b", keepaliveAt(1, 900, 0), testStart); eff.confirmed || eff.publish || !c.isolated(testStart) {
		t.Error("a confirmation from before the restore confirmed a revision of the epoch after it")
	}
	if eff := c.receive("b", keepaliveAt(2, 1, 0), testStart); !eff.confirmed || c.isolated(testStart) {
		t.Error("a current confirmation of an older revision of the same epoch does not confirm the newer one in force")
	}
}

func TestPartsOfAnInterruptedUpdateAreDiscarded(t *testing.T) {
	sets := history(t, 1, 20)
	full := fullUpdateOf(t, sets[19], 0)
	firstPart := &controlpb.ConfigUpdate{Revision: full.Revision, Full: true, More: true, Upserts: full.Upserts[:2]}
	c := newCore(testIsolationBound, time.Second, 1, testStart)
	c.receive("a", firstPart, testStart)
	if c.declared != nil {
		t.Fatal("an incomplete update is in force")
	}
	c.streamOpened("a")
	c.receive("a", fullUpdateOf(t, sets[18], 0), testStart)
	if !equalSets(t, c.declared, sets[18]) {
		t.Error("parts of an earlier stream's update were mixed in")
	}
}

func TestReadiness(t *testing.T) {
	set := history(t, 1, 3)[2]
	for _, tc := range []struct {
		name  string
		steps func(c *core)
		after time.Duration
		ready bool
	}{
		{"no message", func(*core) {}, time.Hour, false},
		{"recent confirmation by one source", func(c *core) { c.receive("a", fullUpdateOf(t, set, 0), testStart) }, 0, true},
		{"old confirmation by one source", func(c *core) { c.receive("a", fullUpdateOf(t, set, 60_000), testStart) }, 0, false},
		{"old confirmations by two sources", func(c *core) {
			c.receive("a", fullUpdateOf(t, set, 60_000), testStart)
			c.receive("b", keepaliveAt(1, 2, 90_000), testStart)
		}, 0, true},
		{"old confirmation by one, the others silent", func(c *core) { c.receive("a", fullUpdateOf(t, set, 60_000), testStart) }, 5 * time.Second, true},
		{"only the stored configuration", func(c *core) { c.restore(set) }, 0, false},
		{"only the stored configuration, all sources silent", func(c *core) { c.restore(set) }, 5 * time.Second, true},
	} {
		c := newCore(testIsolationBound, 5*time.Second, 2, testStart)
		tc.steps(c)
		if got := c.ready(testStart.Add(tc.after)); got != tc.ready {
			t.Errorf("%s: ready %v", tc.name, got)
		}
	}
}

func TestBadUpdateIsRefusedAndNothingChanges(t *testing.T) {
	c := newCore(testIsolationBound, time.Second, 1, testStart)
	set := history(t, 1, 3)[2]
	c.receive("a", fullUpdateOf(t, set, 0), testStart)
	bad := &controlpb.ConfigUpdate{
		Revision: &controlpb.Revision{Epoch: 1, Number: 4}, Base: set.Revision.ToProto(),
		Upserts: []*controlpb.Object{{Kind: "Unheard", Name: "x", Body: []byte("{}")}},
	}
	if eff := c.receive("a", bad, testStart); eff.err == nil || eff.closeReason() == nil || c.declared.Revision != set.Revision {
		t.Errorf("effects %+v, in force %v", eff, c.declared.Revision)
	}
}

// TestRelaysCannotConfirmOneAnother partitions two routers from control while each
// watches the other's relay. Both must become isolated: a relay's confirmation ages
// while it is passed on.
func TestRelaysCannotConfirmOneAnother(t *testing.T) {
	set := history(t, 1, 2)[1]
	now := testStart
	type router struct {
		core  *core
		relay *Relay
	}
	var routers []*router
	for range 2 {
		r := &router{newCore(testIsolationBound, time.Second, 1, now), NewRelay(0)}
		r.relay.now = func() time.Time { return now }
		r.core.receive("control", fullUpdateOf(t, set, 0), now)
		if err := r.relay.Publish(r.core.declared); err != nil {
			t.Fatal(err)
		}
		r.relay.Confirm(r.core.confirmedAt)
		routers = append(routers, r)
	}
	for now.Sub(testStart) <= testIsolationBound {
		for i, r := range routers {
			updates, _, _, err := routers[1-i].relay.updatesSince(r.core.revision())
			if err != nil || len(updates) != 1 {
				t.Fatal(updates, err)
			}
			r.core.receive("peer", updates[0], now)
			r.relay.Confirm(r.core.confirmedAt)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for i, r := range routers {
		if !r.core.isolated(now) {
			t.Errorf("router %d is kept confirmed by the other router's relay", i)
		}
	}
}

func TestStoreSurvivesACrash(t *testing.T) {
	sets := history(t, 1, 40)
	mem := vfs.NewCrashableMem()
	s := &store{fs: mem, dir: "/data"}
	if got, err := s.load(); got != nil || err != nil {
		t.Fatal(got, err)
	}
	for _, set := range sets {
		if err := s.save(set); err != nil {
			t.Fatal(err)
		}
		after := &store{fs: mem.CrashClone(vfs.CrashCloneCfg{}), dir: "/data"}
		got, err := after.load()
		if err != nil || !equalSets(t, got, set) {
			t.Fatalf("after a crash that followed saving revision %v: %v %v", set.Revision, got, err)
		}
	}
}

// TestLoadedConfigurationSurvivesAPowerLoss guards against a node that steps back to an
// older configuration. The process that saved the newer one was killed before it synced
// the folder, so the rename was not durable yet when the next process loaded the file.
func TestLoadedConfigurationSurvivesAPowerLoss(t *testing.T) {
	sets := history(t, 1, 2)
	mem := vfs.NewCrashableMem()
	killed := false
	s := &store{dir: "/data", fs: errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if killed && op.Kind == errorfs.OpOpenDir {
			return errors.New("killed")
		}
		return nil
	}))}
	if _, err := s.load(); err != nil {
		t.Fatal(err)
	}
	if err := s.save(sets[0]); err != nil {
		t.Fatal(err)
	}
	killed = true
	if err := s.save(sets[1]); err == nil {
		t.Fatal("the folder was synced after the kill")
	}
	if got, err := (&store{fs: mem, dir: "/data"}).load(); err != nil || !equalSets(t, got, sets[1]) {
		t.Fatalf("after the kill: %v %v", got, err)
	}
	after := &store{fs: mem.CrashClone(vfs.CrashCloneCfg{}), dir: "/data"}
	if got, err := after.load(); err != nil || !equalSets(t, got, sets[1]) {
		t.Errorf("revision %v was loaded before the power loss, after it: %v (%v)", sets[1].Revision, got, err)
	}
}

func TestDamagedStoreIsReported(t *testing.T) {
	mem := vfs.NewMem()
	s := &store{fs: mem, dir: "/data"}
	if _, err := s.load(); err != nil {
		t.Fatal(err)
	}
	if err := s.save(history(t, 1, 5)[4]); err != nil {
		t.Fatal(err)
	}
	f, err := mem.OpenReadWrite("/data/"+storeFile, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteAt([]byte{0xff}, 20); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := s.load(); got != nil || !errkind.Is(err, errkind.DamagedStorage) {
		t.Errorf("load gave %v, %v", got, err)
	}
}

func TestSourcesBackOffAfterFailuresAndPreferredComeFirst(t *testing.T) {
	s := newSources("n", []string{"p1", "p2"}, []string{"f1"})
	a, preferred, _ := s.acquire(testStart, 2)
	b, _, _ := s.acquire(testStart, 2)
	c, third, _ := s.acquire(testStart, 2)
	if !preferred || third || a.address[0] != 'p' || b.address[0] != 'p' || c.address != "f1" {
		t.Fatalf("order %s %s %s", a.address, b.address, c.address)
	}
	var backoff time.Duration
	for range 12 {
		s.release(a, testStart, maxBackoff)
		backoff = a.retryAt.Sub(testStart)
		if got, _, wait := s.acquire(testStart, 2); got != nil || wait <= 0 {
			t.Fatalf("%v was acquired again without backoff", got)
		}
	}
	if backoff < maxBackoff/2 || backoff > 3*maxBackoff/2 {
		t.Errorf("backoff after many failures is %v", backoff)
	}
	s.release(a, testStart, 0)
	if got, _, _ := s.acquire(testStart, 2); got != a {
		t.Error("a source released without failure can't be acquired again")
	}
}

func TestMessagesThatWaitedThroughAPauseAreDropped(t *testing.T) {
	w := NewWatcher(Options{Node: "n", Sources: []string{"a"}})
	var ended []error
	open := func() *streamHandle {
		h := &streamHandle{source: "a", cancel: func(err error) { ended = append(ended, err) }}
		w.handleEvent(event{stream: h}, testStart)
		return h
	}
	old := open()
	w.closeStreams()
	w.handleEvent(event{stream: old, update: fullUpdateOf(t, history(t, 1, 3)[2], 0)}, testStart)
	if w.Current() != nil || len(ended) != 2 {
		t.Fatalf("a message from before the pause was applied; closed streams: %v", ended)
	}
	w.handleEvent(event{stream: open(), update: fullUpdateOf(t, history(t, 1, 3)[2], 0)}, testStart)
	if w.Current() == nil {
		t.Error("a message of the stream opened after the pause was not applied")
	}
	w.handleEvent(event{stream: old, update: fullUpdateOf(t, history(t, 1, 9)[8], 0)}, testStart)
	if w.Declared().Revision.Number != 3 {
		t.Error("a message of a replaced stream was applied")
	}
}

func TestSuspensionOfTheVMAgesTheConfirmation(t *testing.T) {
	last := time.Now()
	// afterSuspension models a suspension: the wall clock has advanced by a minute,
	// the monotonic clock by 100 ms.
	withoutSuspension := last.Add(100 * time.Millisecond)
	afterSuspension := last.Round(0).Add(time.Minute)
	if got := clock.Elapsed(last, withoutSuspension); got != 100*time.Millisecond {
		t.Errorf("without a pause: %v", got)
	}
	if got := clock.Elapsed(last.Round(0), afterSuspension); got != time.Minute {
		t.Errorf("a suspension of one minute is measured as %v", got)
	}
	c := newCore(testIsolationBound, time.Second, 1, testStart)
	c.receive("a", fullUpdateOf(t, history(t, 1, 3)[2], 0), testStart)
	c.addAge(time.Minute - 100*time.Millisecond)
	if !c.isolated(testStart.Add(100 * time.Millisecond)) {
		t.Error("a confirmation from before a suspension of one minute counts as recent")
	}
}
