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
	benchControlProcesses    = 3
	benchNodesPerDataCentre  = 42
	benchRelaysPerDataCentre = 2
	targetWorkspaces         = 11_000
)

// workspaceSet returns a set of n workspaces at revision 1.1.
func workspaceSet(t testing.TB, n int) *config.Set {
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

// withOneChange returns the set at the next revision, with one workspace changed.
func withOneChange(t testing.TB, s *config.Set) *config.Set {
	t.Helper()
	rev := config.Revision{Epoch: 1, Number: s.Revision.Number + 1}
	up := workspaceObject(fmt.Sprintf("workspace-%05d", rev.Number%97), int(rev.Number%5000)+1)
	next, err := s.Apply(rev, []*controlpb.Object{up}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// fleet is a set of nodes in data centres that watch the control processes' relays.
// In each data centre of more than a few nodes, two of the nodes are relays for the
// others.
type fleet struct {
	controls []*Relay
	watchers []*Watcher
	received chan time.Time
	dialers  []*rpc.Dialer
}

func newFleet(b *testing.B, nodes int, first *config.Set) *fleet {
	f := &fleet{received: make(chan time.Time, nodes)}
	var controls []string
	for range benchControlProcesses {
		r := NewRelay(0)
		f.controls = append(f.controls, r)
		controls = append(controls, serveRelay(b, r))
	}
	f.publish(b, first)
	var relays []string
	for i := range nodes {
		position := i % benchNodesPerDataCentre
		if position == 0 {
			relays = nil
		}
		o := Options{Node: fmt.Sprintf("n%d", i), Sources: controls}
		switch {
		case nodes <= benchNodesPerDataCentre/4:
		case position < benchRelaysPerDataCentre:
			o.Relay = NewRelay(0)
			relays = append(relays, serveRelay(b, o.Relay))
		default:
			o.Sources, o.FallbackSources = relays, controls
		}
		f.watchers = append(f.watchers, f.start(b, o))
	}
	f.awaitRevision(b, nodes)
	go f.confirmPeriodically(b.Context())
	return f
}

// confirmPeriodically confirms the control processes' relays each second, as a
// quorum does in operation.
func (f *fleet) confirmPeriodically(ctx context.Context) {
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
	w := startWatcher(b, o)
	f.dialers = append(f.dialers, w.opts.Dialer)
	w.Subscribe(func(*config.Set) { f.received <- time.Now() })
	return w
}

func (f *fleet) publish(b *testing.B, s *config.Set) {
	var wg sync.WaitGroup
	for _, r := range f.controls {
		wg.Go(func() { publish(b, r, s) })
	}
	wg.Wait()
}

// awaitRevision waits until n nodes have reported a new revision and returns the
// time of the last report.
func (f *fleet) awaitRevision(b *testing.B, n int) (last time.Time) {
	b.Helper()
	for range n {
		select {
		case at := <-f.received:
			last = at
		case <-time.After(waitTimeout):
			b.Fatal("a node did not get the revision")
		}
	}
	return last
}

func quantile(ds []time.Duration, q float64) float64 {
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return float64(ds[min(len(ds)-1, int(q*float64(len(ds))))].Microseconds()) / 1000
}

// BenchmarkInForce measures the time from a change at the control processes until
// it is in force at the last node.
func BenchmarkInForce(b *testing.B) {
	for _, c := range []struct{ nodes, workspaces int }{{8, 10}, {50, 200}, {330, 200}, {8, targetWorkspaces}} {
		b.Run(fmt.Sprintf("nodes=%d/workspaces=%d", c.nodes, c.workspaces), func(b *testing.B) {
			set := workspaceSet(b, c.workspaces)
			f := newFleet(b, c.nodes, set)
			var latencies []time.Duration
			for b.Loop() {
				set = withOneChange(b, set)
				start := time.Now()
				f.publish(b, set)
				latencies = append(latencies, f.awaitRevision(b, c.nodes).Sub(start))
			}
			b.ReportMetric(quantile(latencies, 0.5), "p50-ms")
			b.ReportMetric(quantile(latencies, 0.99), "p99-ms")
			b.ReportMetric(quantile(latencies, 1), "max-ms")
		})
	}
}

// BenchmarkStart measures the start-up time of one data centre: its nodes start at
// the same time without a stored configuration, and the time ends when 11,000
// workspaces are in force at the last one.
func BenchmarkStart(b *testing.B) {
	set := workspaceSet(b, targetWorkspaces)
	for b.Loop() {
		newFleet(b, benchNodesPerDataCentre, set)
	}
}

// BenchmarkBytes measures the bytes on the network of a node that watches two
// sources: per idle second, and per change.
func BenchmarkBytes(b *testing.B) {
	const nodes = 8
	total := func(f *fleet) (n int64) {
		for _, d := range f.dialers {
			n += d.Traffic.BytesReceived() + d.Traffic.BytesSent()
		}
		return n
	}
	b.Run("idle", func(b *testing.B) {
		f := newFleet(b, nodes, workspaceSet(b, 10))
		before, start := total(f), time.Now()
		for b.Loop() {
			time.Sleep(DefaultKeepaliveInterval)
		}
		b.ReportMetric(float64(total(f)-before)/nodes/time.Since(start).Seconds(), "B/node/s")
	})
	for _, perDay := range []int{5200, 52000} {
		b.Run(fmt.Sprintf("changes-a-day=%d", perDay), func(b *testing.B) {
			set := workspaceSet(b, 10)
			f := newFleet(b, nodes, set)
			before, start := total(f), time.Now()
			for b.Loop() {
				set = withOneChange(b, set)
				f.publish(b, set)
				f.awaitRevision(b, nodes)
				time.Sleep(24 * time.Hour / time.Duration(perDay))
			}
			b.ReportMetric(float64(total(f)-before)/nodes/time.Since(start).Seconds(), "B/node/s")
		})
	}
	b.Run("change", func(b *testing.B) {
		set := workspaceSet(b, 10)
		f := newFleet(b, nodes, set)
		before := total(f)
		for b.Loop() {
			set = withOneChange(b, set)
			f.publish(b, set)
			f.awaitRevision(b, nodes)
		}
		b.ReportMetric(float64(total(f)-before)/nodes/float64(b.N), "B/node/change")
	})
}

// BenchmarkChange measures the processing time of one node for one change among
// 11,000 workspaces: as a watcher only, and as a watcher and relay.
func BenchmarkChange(b *testing.B) {
	for _, asRelay := range []bool{false, true} {
		b.Run(fmt.Sprintf("relay=%v", asRelay), func(b *testing.B) {
			now := time.Now()
			c := newCore(testIsolationBound, time.Second, 1, now)
			set := workspaceSet(b, targetWorkspaces)
			c.restore(set)
			r := NewRelay(0)
			publish(b, r, set)
			for b.Loop() {
				base := c.revision()
				rev := &controlpb.Revision{Epoch: 1, Number: base.Number + 1}
				up := workspaceObject(fmt.Sprintf("workspace-%05d", rev.Number%97), int(rev.Number%5000)+1)
				c.receive("a", &controlpb.ConfigUpdate{Revision: rev, Base: base.ToProto(), Upserts: []*controlpb.Object{up}}, now)
				if asRelay {
					publish(b, r, c.declared)
				}
			}
		})
	}
}

// BenchmarkMemory measures the heap used by a node's configuration of 11,000
// workspaces: the declared and the defaulted set, and then also a relay's full log.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		c := newCore(testIsolationBound, time.Second, 1, time.Now())
		c.restore(workspaceSet(b, targetWorkspaces))
		node := heapBytes() - before
		r := NewRelay(0)
		publish(b, r, c.declared)
		set := c.declared
		for range maxLogEntries {
			set = withOneChange(b, set)
			publish(b, r, set)
		}
		c.setInForce(set)
		relay := heapBytes() - before
		b.ReportMetric(float64(node)/(1<<20), "node-MiB")
		b.ReportMetric(float64(relay)/(1<<20), "relay-MiB")
		runtime.KeepAlive(c)
		runtime.KeepAlive(r)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
