package distribution

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	benchControls    = 3
	benchDataCentre  = 42
	benchRelays      = 2
	targetWorkspaces = 11_000
)

// workspaces returns a set of n workspaces at revision 1.1.
func workspaces(t testing.TB, n int) *config.Set {
	t.Helper()
	objs := make([]*controlpb.Object, n)
	for i := range objs {
		name := fmt.Sprintf("workspace-%05d", i)
		objs[i] = &controlpb.Object{Kind: config.KindWorkspace, Name: name, Body: fmt.Appendf(nil,
			`{"name":%q,"services":["writer"],"weight":%d,"keyHash":"%064x"}`, name, 50+i%100, i)}
	}
	s, err := config.FromObjects(config.Revision{Epoch: 1, Number: 1}, objs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// nextOf returns the set with one workspace changed and the revision after it.
func nextOf(t testing.TB, s *config.Set) *config.Set {
	t.Helper()
	rev := config.Revision{Epoch: 1, Number: s.Revision.Number + 1}
	up := workspaceObject(fmt.Sprintf("workspace-%05d", rev.Number%97), int(rev.Number%5000)+1)
	next, err := s.Apply(rev, []*controlpb.Object{up}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// fleet is a number of nodes in data centres, which learn from control relays.
// In each data centre of more than a few nodes, two of them are the relays.
type fleet struct {
	controls []*Relay
	watchers []*Watcher
	seen     chan time.Time
	dialers  []*rpc.Dialer
}

func newFleet(b *testing.B, nodes int, first *config.Set) *fleet {
	f := &fleet{seen: make(chan time.Time, nodes)}
	var controls []string
	for range benchControls {
		r := NewRelay(0)
		f.controls = append(f.controls, r)
		controls = append(controls, serve(b, r))
	}
	f.publish(b, first)
	var relays []string
	for i := range nodes {
		place := i % benchDataCentre
		if place == 0 {
			relays = nil
		}
		o := Options{Node: fmt.Sprintf("n%d", i), Sources: controls}
		switch {
		case nodes <= benchDataCentre/4:
		case place < benchRelays:
			o.Relay = NewRelay(0)
			relays = append(relays, serve(b, o.Relay))
		default:
			o.Sources, o.Fallback = relays, controls
		}
		f.watchers = append(f.watchers, f.start(b, o))
	}
	f.await(b, nodes)
	go f.confirm(b.Context())
	return f
}

// confirm gives the controls the word of a quorum each second, as control does.
func (f *fleet) confirm(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-tick.C:
			for _, r := range f.controls {
				r.Confirm(at)
			}
		}
	}
}

func (f *fleet) start(b *testing.B, o Options) *Watcher {
	w := start(b, o)
	f.dialers = append(f.dialers, w.opts.Dialer)
	w.Subscribe(func(*config.Set) { f.seen <- time.Now() })
	return w
}

func (f *fleet) publish(b *testing.B, s *config.Set) {
	var wg sync.WaitGroup
	for _, r := range f.controls {
		wg.Go(func() { publish(b, r, s) })
	}
	wg.Wait()
}

// await waits until n nodes have told of a new revision and returns when the last did.
func (f *fleet) await(b *testing.B, n int) (last time.Time) {
	b.Helper()
	for range n {
		select {
		case at := <-f.seen:
			last = at
		case <-time.After(waitBound):
			b.Fatal("a node did not get the revision")
		}
	}
	return last
}

func quantile(ds []time.Duration, q float64) float64 {
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return float64(ds[min(len(ds)-1, int(q*float64(len(ds))))].Microseconds()) / 1000
}

// BenchmarkInForce measures the time from a change at the control processes
// until the last node has it in force.
func BenchmarkInForce(b *testing.B) {
	for _, c := range []struct{ nodes, workspaces int }{{8, 10}, {50, 200}, {330, 200}, {8, targetWorkspaces}} {
		b.Run(fmt.Sprintf("nodes=%d/workspaces=%d", c.nodes, c.workspaces), func(b *testing.B) {
			set := workspaces(b, c.workspaces)
			f := newFleet(b, c.nodes, set)
			var took []time.Duration
			for b.Loop() {
				set = nextOf(b, set)
				start := time.Now()
				f.publish(b, set)
				took = append(took, f.await(b, c.nodes).Sub(start))
			}
			b.ReportMetric(quantile(took, 0.5), "p50-ms")
			b.ReportMetric(quantile(took, 0.99), "p99-ms")
			b.ReportMetric(quantile(took, 1), "max-ms")
		})
	}
}

// BenchmarkStart measures how long the nodes of one data centre take that start
// at once without a disk, until the last one has 11,000 workspaces in force.
func BenchmarkStart(b *testing.B) {
	set := workspaces(b, targetWorkspaces)
	for b.Loop() {
		newFleet(b, benchDataCentre, set)
	}
}

// BenchmarkBytes measures the bytes, as they cross the network, of a node that
// watches two sources: in each idle second, and for each change.
func BenchmarkBytes(b *testing.B) {
	const nodes = 8
	total := func(f *fleet) (n int64) {
		for _, d := range f.dialers {
			n += d.Traffic.In() + d.Traffic.Out()
		}
		return n
	}
	b.Run("idle", func(b *testing.B) {
		f := newFleet(b, nodes, workspaces(b, 10))
		before, start := total(f), time.Now()
		for b.Loop() {
			time.Sleep(DefaultKeepalive)
		}
		b.ReportMetric(float64(total(f)-before)/nodes/time.Since(start).Seconds(), "B/node/s")
	})
	for _, perDay := range []int{5200, 52000} {
		b.Run(fmt.Sprintf("changes-a-day=%d", perDay), func(b *testing.B) {
			set := workspaces(b, 10)
			f := newFleet(b, nodes, set)
			before, start := total(f), time.Now()
			for b.Loop() {
				set = nextOf(b, set)
				f.publish(b, set)
				f.await(b, nodes)
				time.Sleep(24 * time.Hour / time.Duration(perDay))
			}
			b.ReportMetric(float64(total(f)-before)/nodes/time.Since(start).Seconds(), "B/node/s")
		})
	}
	b.Run("change", func(b *testing.B) {
		set := workspaces(b, 10)
		f := newFleet(b, nodes, set)
		before := total(f)
		for b.Loop() {
			set = nextOf(b, set)
			f.publish(b, set)
			f.await(b, nodes)
		}
		b.ReportMetric(float64(total(f)-before)/nodes/float64(b.N), "B/node/change")
	})
}

// BenchmarkChange measures the work of one node for one change among 11,000
// workspaces: as a watcher only, and as a relay too.
func BenchmarkChange(b *testing.B) {
	for _, relaying := range []bool{false, true} {
		b.Run(fmt.Sprintf("relay=%v", relaying), func(b *testing.B) {
			now := time.Now()
			c := newCore(testBound, time.Second, 1, now)
			set := workspaces(b, targetWorkspaces)
			c.restore(set)
			r := NewRelay(0)
			publish(b, r, set)
			for b.Loop() {
				base := c.revision()
				rev := &controlpb.Revision{Epoch: 1, Number: base.Number + 1}
				up := workspaceObject(fmt.Sprintf("workspace-%05d", rev.Number%97), int(rev.Number%5000)+1)
				c.receive("a", &controlpb.ConfigUpdate{Revision: rev, Base: base.PB(), Upserts: []*controlpb.Object{up}}, now)
				if relaying {
					publish(b, r, c.declared)
				}
			}
		})
	}
}

// BenchmarkMemory measures the heap that a node's configuration takes at 11,000
// workspaces: declared and with defaults, and a relay's full log besides.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		c := newCore(testBound, time.Second, 1, time.Now())
		c.restore(workspaces(b, targetWorkspaces))
		node := heap() - before
		r := NewRelay(0)
		publish(b, r, c.declared)
		set := c.declared
		for range maxLogSteps {
			set = nextOf(b, set)
			publish(b, r, set)
		}
		c.adopt(set)
		relay := heap() - before
		b.ReportMetric(float64(node)/(1<<20), "node-MiB")
		b.ReportMetric(float64(relay)/(1<<20), "relay-MiB")
		runtime.KeepAlive(c)
		runtime.KeepAlive(r)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
