package distribution

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const waitBound = 20 * time.Second

// serve serves the relay on a loopback address until the test ends.
func serve(t testing.TB, r *Relay) string {
	t.Helper()
	l, err := rpc.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterDistribution(mux, r); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = rpc.Serve(ctx, l, mux) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

// start runs a watcher until the test ends.
func start(t testing.TB, o Options) *Watcher {
	t.Helper()
	o.Dialer = rpc.NewDialer(nil)
	w := NewWatcher(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; _ = o.Dialer.Close() })
	return w
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within %s: %s", waitBound, what)
}

func publish(t testing.TB, r *Relay, s *config.Set) {
	t.Helper()
	if err := r.Publish(s); err != nil {
		t.Fatal(err)
	}
	r.Confirm(time.Now())
}

func TestConfigurationReachesANodeThroughARelay(t *testing.T) {
	sets := history(t, 1, 40)
	root := NewRelay(0)
	publish(t, root, sets[0])
	near := NewRelay(0)
	middle := start(t, Options{Node: "middle", Sources: []string{serve(t, root)}, Relay: near})
	leaf := start(t, Options{Node: "leaf", Sources: []string{serve(t, near)}})
	for _, s := range sets[1:] {
		publish(t, root, s)
	}
	last := sets[len(sets)-1]
	eventually(t, "the newest revision in force at the leaf", func() bool {
		return leaf.Declared() != nil && leaf.Declared().Revision == last.Revision
	})
	if !same(t, leaf.Declared(), last) || !same(t, middle.Declared(), last) {
		t.Error("the contents differ")
	}
	eventually(t, "readiness", func() bool { return leaf.Ready() && !leaf.Isolated() })
}

func TestALateNodeCatchesUpAcrossPartsOfABigConfiguration(t *testing.T) {
	var objs []*controlpb.Object
	pad := make([]byte, 6000)
	for i := range pad {
		pad[i] = 'x'
	}
	for _, n := range []string{"a", "b", "c", "d"} {
		for i := range 100 {
			objs = append(objs, &controlpb.Object{
				Kind: config.KindWorkspace, Name: n + string(rune('a'+i%26)) + string(rune('a'+i/26)),
				Body: []byte(`{"name":"` + n + string(rune('a'+i%26)) + string(rune('a'+i/26)) + `","policy":"` + string(pad) + `"}`),
			})
		}
	}
	set, err := config.FromObjects(config.Revision{Epoch: 1, Number: 9}, objs)
	if err != nil {
		t.Fatal(err)
	}
	r := NewRelay(0)
	publish(t, r, set)
	w := start(t, Options{Node: "late", Sources: []string{serve(t, r)}})
	eventually(t, "the whole configuration", func() bool { return w.Declared() != nil })
	if !same(t, w.Declared(), set) {
		t.Error("the contents differ")
	}
	if parts := split(&controlpb.ConfigUpdate{Upserts: objs}); len(parts) < 3 {
		t.Errorf("the configuration came in %d parts; the test wants several", len(parts))
	}
}

func TestARestartDoesNotStepBackToALaggingSource(t *testing.T) {
	sets := history(t, 1, 30)
	dir := t.TempDir()
	ahead, behind := NewRelay(0), NewRelay(0)
	publish(t, ahead, sets[29])
	publish(t, behind, sets[9])
	w := NewWatcher(Options{Node: "n", Sources: []string{serve(t, ahead)}, DataDir: dir, Dialer: rpc.NewDialer(nil)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	eventually(t, "the newest revision", func() bool { return w.Current() != nil })
	cancel()
	<-done

	again := start(t, Options{Node: "n", Sources: []string{serve(t, behind)}, DataDir: dir})
	eventually(t, "readiness", again.Ready)
	if !same(t, again.Declared(), sets[29]) {
		t.Errorf("after the restart %v is in force", again.Declared().Revision)
	}
}

func TestAStaleSourceIsLeftForAFreshOne(t *testing.T) {
	sets := history(t, 1, 30)
	stale, fresh, empty := NewRelay(0), NewRelay(0), NewRelay(0)
	if err := stale.Publish(sets[9]); err != nil {
		t.Fatal(err)
	}
	publish(t, fresh, sets[29])
	w := start(t, Options{Node: "n", Sources: []string{serve(t, stale), serve(t, empty)}, Fallback: []string{serve(t, fresh)}})
	eventually(t, "the newest revision", func() bool { return w.Declared() != nil && w.Declared().Revision == sets[29].Revision })
	eventually(t, "news from the fallback", func() bool { return !w.Isolated() })
}

func TestSubscribersSeeEveryRevisionOnceAndInOrder(t *testing.T) {
	sets := history(t, 1, 30)
	root := NewRelay(0)
	publish(t, root, sets[0])
	w := start(t, Options{Node: "n", Sources: []string{serve(t, root)}})
	seen := make(chan config.Revision, len(sets))
	w.Subscribe(func(s *config.Set) { seen <- s.Revision })
	for _, s := range sets[1:] {
		publish(t, root, s)
	}
	last := config.Revision{}
	for last != sets[29].Revision {
		select {
		case rev := <-seen:
			if !last.Less(rev) {
				t.Fatalf("%v after %v", rev, last)
			}
			last = rev
		case <-time.After(waitBound):
			t.Fatalf("only up to %v", last)
		}
	}
}
