package grantor

import (
	"context"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// BenchmarkSession acquires and releases permits over loopback. "series" measures
// the latency of one permit, "parallel" the throughput of one session.
func BenchmarkSession(b *testing.B) {
	f := newTestFleet(b, 1)
	var running atomic.Int32
	f.announce("engine", 1000, &running)
	f.acquire(1).Done(RunResult{Outcome: errkind.NotRun})
	once := func(b *testing.B) {
		p, err := f.client.Acquire(context.Background(), "dc", &grantpb.Ask{Service: "drafts", Workspace: "w", WaitMs: 5000, RunMs: 60000})
		if err != nil {
			b.Error(err)
			return
		}
		if err := p.Start(); err != nil {
			b.Error(err)
		}
		p.Done(RunResult{Outcome: errkind.Completed, Duration: 1})
	}
	b.Run("series", func(b *testing.B) {
		for range b.N {
			once(b)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.SetParallelism(20)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				once(b)
			}
		})
		b.ReportMetric(float64(bytesPerAsk()), "wire-B/op")
	})
}

// bytesPerAsk returns the encoded size of the four messages of one request, with typical values.
func bytesPerAsk() int {
	total := 0
	for _, m := range []proto.Message{
		&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Ask{Ask: &grantpb.Ask{
			AskId: 1 << 20, Service: "drafts", Model: "model-large", Workspace: "workspace-0001", Chat: 1, Priority: 5, WaitMs: 10000, RunMs: 120000, PromptTokens: 2000,
		}}},
		&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Permit{Permit: &grantpb.Permit{
			AskId: 1 << 20, PermitId: 1 << 40, Term: 1 << 41, Server: "runner-0001", Address: "10.0.0.1:8000", ServerIncarnation: "1764798000000", StartWithinMs: 1000,
		}}},
		&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Started{Started: &grantpb.Started{PermitId: 1 << 40}}},
		&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Result{Result: &grantpb.Result{
			PermitId: 1 << 40, Term: 1 << 41, Outcome: grantpb.Outcome_OUTCOME_COMPLETED, FirstByteMs: 300, DurationMs: 3000, OutputTokens: 100,
		}}},
	} {
		total += proto.Size(m)
	}
	return total
}
