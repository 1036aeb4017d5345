package distribution

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

var begin = time.Unix(1_700_000_000, 0)

func keepaliveAt(epoch, number, ageMs uint64) *controlpb.ConfigUpdate {
	rev := &controlpb.Revision{Epoch: epoch, Number: number}
	return &controlpb.ConfigUpdate{Revision: rev, Keepalive: true, AgeMs: ageMs}
}

func fullOf(t *testing.T, s *config.Set, ageMs uint64) *controlpb.ConfigUpdate {
	t.Helper()
	objs, err := s.Objects()
	if err != nil {
		t.Fatal(err)
	}
	return &controlpb.ConfigUpdate{Revision: s.Revision.PB(), Full: true, Upserts: objs, AgeMs: ageMs}
}

func TestNewsOfAnOlderEpochDoesNotCount(t *testing.T) {
	c := newCore(testBound, time.Second, 2, begin)
	c.receive("a", fullOf(t, history(t, 2, 3)[2], maxAgeMs), begin)
	if fx := c.receive("b", keepaliveAt(1, 900, 0), begin); fx.confirmed || fx.publish || !c.isolated(begin) {
		t.Error("the control group before a restore confirmed the one after it")
	}
	if fx := c.receive("b", keepaliveAt(2, 1, 0), begin); !fx.confirmed || c.isolated(begin) {
		t.Error("an older revision of the same epoch, said just now, is news: ours is newer")
	}
}

func TestPartsOfACutUpdateAreForgotten(t *testing.T) {
	sets := history(t, 1, 20)
	whole := fullOf(t, sets[19], 0)
	head := &controlpb.ConfigUpdate{Revision: whole.Revision, Full: true, More: true, Upserts: whole.Upserts[:2]}
	c := newCore(testBound, time.Second, 1, begin)
	c.receive("a", head, begin)
	if c.declared != nil {
		t.Fatal("half an update is in force")
	}
	c.opened("a")
	c.receive("a", fullOf(t, sets[18], 0), begin)
	if !same(t, c.declared, sets[18]) {
		t.Error("an update of an earlier stream was mixed in")
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
		{"nothing heard", func(*core) {}, time.Hour, false},
		{"fresh news of one source", func(c *core) { c.receive("a", fullOf(t, set, 0), begin) }, 0, true},
		{"old news of one source", func(c *core) { c.receive("a", fullOf(t, set, 60_000), begin) }, 0, false},
		{"old news of two sources", func(c *core) {
			c.receive("a", fullOf(t, set, 60_000), begin)
			c.receive("b", keepaliveAt(1, 2, 90_000), begin)
		}, 0, true},
		{"old news of one, the rest silent", func(c *core) { c.receive("a", fullOf(t, set, 60_000), begin) }, 5 * time.Second, true},
		{"only the disk", func(c *core) { c.restore(set) }, 0, false},
		{"only the disk, all silent", func(c *core) { c.restore(set) }, 5 * time.Second, true},
	} {
		c := newCore(testBound, 5*time.Second, 2, begin)
		tc.steps(c)
		if got := c.ready(begin.Add(tc.after)); got != tc.ready {
			t.Errorf("%s: ready %v", tc.name, got)
		}
	}
}

func TestBadUpdateIsRefusedAndNothingChanges(t *testing.T) {
	c := newCore(testBound, time.Second, 1, begin)
	set := history(t, 1, 3)[2]
	c.receive("a", fullOf(t, set, 0), begin)
	bad := &controlpb.ConfigUpdate{
		Revision: &controlpb.Revision{Epoch: 1, Number: 4}, Base: set.Revision.PB(),
		Upserts: []*controlpb.Object{{Kind: "Unheard", Name: "x", Body: []byte("{}")}},
	}
	if fx := c.receive("a", bad, begin); fx.err == nil || fx.endsStream() == nil || c.declared.Revision != set.Revision {
		t.Errorf("effects %+v, in force %v", fx, c.declared.Revision)
	}
}

// TestRelaysCannotKeepOneAnotherFresh cuts two routers off from control; each
// watches the other's relay.
func TestRelaysCannotKeepOneAnotherFresh(t *testing.T) {
	set := history(t, 1, 2)[1]
	now := begin
	type router struct {
		core  *core
		relay *Relay
	}
	var routers []*router
	for range 2 {
		r := &router{newCore(testBound, time.Second, 1, now), NewRelay(0)}
		r.relay.now = func() time.Time { return now }
		r.core.receive("control", fullOf(t, set, 0), now)
		if err := r.relay.Publish(r.core.declared); err != nil {
			t.Fatal(err)
		}
		r.relay.Confirm(r.core.confirmed)
		routers = append(routers, r)
	}
	for now.Sub(begin) <= testBound {
		for i, r := range routers {
			us, _, _, err := routers[1-i].relay.since(r.core.revision())
			if err != nil || len(us) != 1 {
				t.Fatal(us, err)
			}
			r.core.receive("peer", us[0], now)
			r.relay.Confirm(r.core.confirmed)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for i, r := range routers {
		if !r.core.isolated(now) {
			t.Errorf("router %d takes its neighbour's word for control's", i)
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
		if err != nil || !same(t, got, set) {
			t.Fatalf("after a crash behind revision %v: %v %v", set.Revision, got, err)
		}
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

func TestSourcesRestAfterFailuresAndPreferredComeFirst(t *testing.T) {
	s := newSources("n", []string{"p1", "p2"}, []string{"f1"})
	a, preferred, _ := s.acquire(begin, 2)
	b, _, _ := s.acquire(begin, 2)
	c, third, _ := s.acquire(begin, 2)
	if !preferred || third || a.address[0] != 'p' || b.address[0] != 'p' || c.address != "f1" {
		t.Fatalf("order %s %s %s", a.address, b.address, c.address)
	}
	var rest time.Duration
	for range 12 {
		s.release(a, begin, maxBackoff)
		rest = a.retryAt.Sub(begin)
		if got, _, wait := s.acquire(begin, 2); got != nil || wait <= 0 {
			t.Fatalf("%v was given out again at once", got)
		}
	}
	if rest < maxBackoff/2 || rest > 3*maxBackoff/2 {
		t.Errorf("after many failures the rest is %v", rest)
	}
	s.release(a, begin, 0)
	if got, _, _ := s.acquire(begin, 2); got != a {
		t.Error("a source that served well is not given out again")
	}
}

func TestMessagesThatWaitedThroughAPauseAreDropped(t *testing.T) {
	w := NewWatcher(Options{Node: "n", Sources: []string{"a"}})
	var ended []error
	open := func() *streamHandle {
		h := &streamHandle{source: "a", cancel: func(err error) { ended = append(ended, err) }}
		w.handle(event{stream: h}, begin)
		return h
	}
	old := open()
	w.dropStreams()
	w.handle(event{stream: old, update: fullOf(t, history(t, 1, 3)[2], 0)}, begin)
	if w.Current() != nil || len(ended) != 2 {
		t.Fatalf("a message from before the pause counted; ended: %v", ended)
	}
	w.handle(event{stream: open(), update: fullOf(t, history(t, 1, 3)[2], 0)}, begin)
	if w.Current() == nil {
		t.Error("a message of the stream opened after the pause does not count")
	}
	w.handle(event{stream: old, update: fullOf(t, history(t, 1, 9)[8], 0)}, begin)
	if w.Declared().Revision.Number != 3 {
		t.Error("a message of a stream that was replaced counted")
	}
}

func TestASuspendedVMsNewsIsOld(t *testing.T) {
	last := time.Now()
	// A moment whose wall clock has gone on by a minute, its monotonic one by 100 ms.
	suspended := last.Add(100 * time.Millisecond)
	wall := last.Round(0).Add(time.Minute)
	if got := clock.Elapsed(last, suspended); got != 100*time.Millisecond {
		t.Errorf("without a pause: %v", got)
	}
	if got := clock.Elapsed(last.Round(0), wall); got != time.Minute {
		t.Errorf("a suspended minute counts as %v", got)
	}
	c := newCore(testBound, time.Second, 1, begin)
	c.receive("a", fullOf(t, history(t, 1, 3)[2], 0), begin)
	c.age(time.Minute - 100*time.Millisecond)
	if !c.isolated(begin.Add(100 * time.Millisecond)) {
		t.Error("news from before a suspended minute counts as fresh")
	}
}
