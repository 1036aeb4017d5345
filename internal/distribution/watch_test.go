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

const waitTimeout = 20 * time.Second

// serveRelay serves the relay on a loopback address until the test ends.
func serveRelay(t testing.TB, r *Relay) string {
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

// startWatcher runs a watcher until the test ends.
func startWatcher(t testing.TB, o Options) *Watcher {
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
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("timed out after %s waiting for: %s", waitTimeout, what)
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
	leafRelay := NewRelay(0)
	middle := startWatcher(t, Options{Node: "middle", Sources: []string{serveRelay(t, root)}, Relay: leafRelay})
	leaf := startWatcher(t, Options{Node: "leaf", Sources: []string{serveRelay(t, leafRelay)}})
	for _, s := range sets[1:] {
		publish(t, root, s)
	}
	last := sets[len(sets)-1]
	eventually(t, "the newest revision in force at the leaf", func() bool {
		return leaf.Declared() != nil && leaf.Declared().Revision == last.Revision
	})
	if !equalSets(t, leaf.Declared(), last) || !equalSets(t, middle.Declared(), last) {
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
	w := startWatcher(t, Options{Node: "late", Sources: []string{serveRelay(t, r)}})
	eventually(t, "the whole configuration", func() bool { return w.Declared() != nil })
	if !equalSets(t, w.Declared(), set) {
		t.Error("the contents differ")
	}
	if parts := splitUpdate(&controlpb.ConfigUpdate{Upserts: objs}); len(parts) < 3 {
		t.Errorf("the configuration came in %d parts; the test needs at least 3", len(parts))
	}
}

func TestARestartDoesNotStepBackToALaggingSource(t *testing.T) {
	sets := history(t, 1, 30)
	dir := t.TempDir()
	ahead, behind := NewRelay(0), NewRelay(0)
	publish(t, ahead, sets[29])
	publish(t, behind, sets[9])
	w := NewWatcher(Options{Node: "n", Sources: []string{serveRelay(t, ahead)}, DataDir: dir, Dialer: rpc.NewDialer(nil)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	eventually(t, "the newest revision", func() bool { return w.Current() != nil })
	cancel()
	<-done

	restarted := startWatcher(t, Options{Node: "n", Sources: []string{serveRelay(t, behind)}, DataDir: dir})
	eventually(t, "readiness", restarted.Ready)
	if !equalSets(t, restarted.Declared(), sets[29]) {
		t.Errorf("after the restart %v is in force", restarted.Declared().Revision)
	}
}

func TestAStaleSourceIsLeftForAFreshOne(t *testing.T) {
	sets := history(t, 1, 30)
	stale, fresh, empty := NewRelay(0), NewRelay(0), NewRelay(0)
	if err := stale.Publish(sets[9]); err != nil {
		t.Fatal(err)
	}
	publish(t, fresh, sets[29])
	w := startWatcher(t, Options{Node: "n", Sources: []string{serveRelay(t, stale), serveRelay(t, empty)}, FallbackSources: []string{serveRelay(t, fresh)}})
	eventually(t, "the newest revision", func() bool { return w.Declared() != nil && w.Declared().Revision == sets[29].Revision })
	eventually(t, "a confirmation from the fallback source", func() bool { return !w.Isolated() })
}

func TestSubscribersSeeEveryRevisionOnceAndInOrder(t *testing.T) {
	sets := history(t, 1, 30)
	root := NewRelay(0)
	publish(t, root, sets[0])
	w := startWatcher(t, Options{Node: "n", Sources: []string{serveRelay(t, root)}})
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
				t.Fatalf("revision %v received after %v", rev, last)
			}
			last = rev
		case <-time.After(waitTimeout):
			t.Fatalf("no revision received after %v", last)
		}
	}
}
