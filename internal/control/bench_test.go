package control

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/api/statepb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/storage"
)

// BenchmarkClaim measures claims sent to the leader, with synced writes to real files,
// for different numbers of voters and concurrent clients.
func BenchmarkClaim(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, clients := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("voters=%d/clients=%d", voters, clients), func(b *testing.B) {
				c := newCluster(b, voters, nil)
				c.newest(0)
				l := c.leader()
				var next atomic.Int64
				b.ResetTimer()
				runAndReport(b, clients, func(ctx context.Context) error {
					n := next.Add(1)
					_, err := c.client(l).Claim(ctx, &controlpb.ClaimRequest{
						Key: &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: fmt.Sprint(n)}, BodyHash: make([]byte, 32), AttemptId: "a",
					})
					return err
				})
			})
		}
	}
}

// BenchmarkClaimForwarded measures claims sent to a process that is not the leader.
func BenchmarkClaimForwarded(b *testing.B) {
	c := newCluster(b, 3, nil)
	c.newest(0)
	i := (c.leader() + 1) % 3
	var next atomic.Int64
	b.ResetTimer()
	runAndReport(b, 256, func(ctx context.Context) error {
		_, err := c.client(i).Claim(ctx, &controlpb.ClaimRequest{
			Key: &controlpb.ClaimKey{Service: "s", Workspace: "w", IdempotencyKey: fmt.Sprint(next.Add(1))}, BodyHash: make([]byte, 32), AttemptId: "a",
		})
		return err
	})
}

// BenchmarkChange measures changes of one workspace out of 11,000. The production check
// runs on the whole configuration for each change.
func BenchmarkChange(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d/workspaces=11000", voters), func(b *testing.B) {
			c := newCluster(b, voters, nil)
			for _, r := range c.procs {
				r.p.stateMachine.check = CheckSet
			}
			base := c.apply(0, change("all", initialRevision(), manyObjects(11_000)...)).Revision
			l := c.leader()
			n := 0
			b.ResetTimer()
			runAndReport(b, 1, func(ctx context.Context) error {
				n++
				resp, err := c.client(l).Apply(ctx, change(fmt.Sprint("c", n), base, benchWorkspace(n%11_000, n)))
				if err == nil {
					base = resp.Revision
				}
				return err
			})
		})
	}
}

func benchWorkspace(i, weight int) *controlpb.Object {
	name := fmt.Sprintf("workspace-%05d", i)
	return &controlpb.Object{Kind: config.KindWorkspace, Name: name, Body: fmt.Appendf(nil, `{"name":%q,"weight":%d,"maxInFlight":40}`, name, weight%900+1)}
}

func manyObjects(n int) []*controlpb.Object {
	var out []*controlpb.Object
	for i := range n {
		out = append(out, benchWorkspace(i, i))
	}
	return out
}

// runAndReport makes b.N calls from concurrent clients and reports latency and rate.
func runAndReport(b *testing.B, clients int, call func(context.Context) error) {
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	start := time.Now()
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for remaining.Add(-1) >= 0 {
				t := time.Now()
				if err := call(context.Background()); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(t).Microseconds())
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
}

// BenchmarkRestart measures opening a data folder after a number of changes to 11,000
// workspaces. A snapshot replaces the log every 20,000 changes, so 500 changes are read
// from the log alone.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{500, 50_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			fs, dir := vfs.Default, b.TempDir()
			writeChanges(b, fs, dir, changes)
			b.ResetTimer()
			for b.Loop() {
				st, restored, err := storage.Open(fs, dir, "c1")
				if err != nil {
					b.Fatal(err)
				}
				s := NewState()
				if restored.Snapshot != nil {
					if _, err := st.LoadSnapshot(s.Restore); err != nil {
						b.Fatal(err)
					}
				}
				for _, e := range restored.Entries {
					s.Apply(e.Data)
				}
				if got := s.Newest().Revision.Number; got != uint64(changes)+1 {
					b.Fatalf("revision %d", got)
				}
				_ = st.Close()
			}
		})
	}
}

// writeChanges fills a folder as a process does, but syncs once per 100 changes.
func writeChanges(b *testing.B, fs vfs.FS, dir string, changes int) {
	st, _, err := storage.Open(fs, dir, "c1")
	if err != nil {
		b.Fatal(err)
	}
	defer st.Close()
	s := NewState()
	var batch []*pb.Entry
	sinceSnapshot := 0
	for i := range changes + 1 {
		objs := []*controlpb.Object{benchWorkspace(i%11_000, i)}
		if i == 0 {
			objs = manyObjects(11_000)
		}
		req := change(fmt.Sprint("c", i), s.Newest().Revision.ToProto(), objs...)
		data, err := encodeCommand(int64(i), &statepb.Command{Op: &statepb.Command_Change{Change: &statepb.Change{Request: req, Digest: s.digestAfter(req)}}})
		if err != nil {
			b.Fatal(err)
		}
		if r := s.Apply(data).(result); r.err != nil {
			b.Fatal(r.err)
		}
		batch = append(batch, &pb.Entry{Term: 1, Index: uint64(i) + 1, Data: data})
		sinceSnapshot++
		if len(batch) == 100 || i == changes {
			if err := st.Append(&pb.HardState{Term: 1}, batch, nil); err != nil {
				b.Fatal(err)
			}
			batch = nil
			if sinceSnapshot >= 20_000 {
				sinceSnapshot = 0
				if err := st.SaveSnapshot(&pb.SnapshotMeta{Index: uint64(i) + 1, Term: 1}, s.Snapshot); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkStateMemory reports the heap size and the snapshot of a State that has the
// size for which the system is designed.
func BenchmarkStateMemory(b *testing.B) {
	for _, tc := range []struct {
		name                        string
		workspaces, changes, claims int
	}{{"workspaces=11000", 11_000, 0, 0}, {"workspaces=11000/changes=50000", 11_000, 50_000, 0}, {"claims=100000", 0, 0, 100_000}} {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := NewState()
				if tc.workspaces > 0 {
					s.applyChange(b, 0, change("all", initialRevision(), manyObjects(tc.workspaces)...))
				}
				for i := range tc.changes {
					s.applyChange(b, 0, change(fmt.Sprint("c", i), s.Newest().Revision.ToProto(), benchWorkspace(i%11_000, i)))
				}
				for i := range tc.claims {
					s.applyCommand(b, 0, claimCmd(fmt.Sprint("key-", i), "0123456789abcdef0123456789abcdef", fmt.Sprint("attempt-", i)))
				}
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
				var buf bytes.Buffer
				t := time.Now()
				if err := s.Snapshot(&buf); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(time.Since(t).Milliseconds()), "snapshot-ms")
				b.ReportMetric(float64(buf.Len())/(1<<20), "snapshot-MiB")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
