package capacity

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/admission"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

const (
	grantorSlots = 64
	// benchWorkspaces is the number of workspaces that the requests are spread over.
	benchWorkspaces = 1000
	leaseDuration   = 1000 * time.Hour
	// requestsPerRound is the number of requests in a timed step.
	requestsPerRound = 2000
	// ticksPerRound is the number of ticks that are timed together, each tickStep
	// after the one before, so that its work is due. All rounds together take less
	// than the time after which a server without announcements counts as silent.
	ticksPerRound = 3
	tickStep      = 100 * time.Millisecond
)

// grantorBench is the grantor core of one data centre, with warm servers.
type grantorBench struct {
	core      *admission.Core
	now       admission.Instant
	servers   int
	sequence  uint64
	lastAskID uint64
}

func newGrantorBench(servers int) *grantorBench {
	set := newConfigSet(benchWorkspaces)
	b := &grantorBench{core: admission.New(admission.DefaultOptions(), "dc-0", set, 1, 0, leaseDuration), servers: servers}
	b.core.OpenSession(0, 1, &grantpb.Hello{Router: "router-1", Incarnation: "1"})
	b.now = b.core.EarliestConfirmation() + time.Second
	b.announceAll()
	return b
}

func (b *grantorBench) announceAll() {
	b.sequence++
	for i := range b.servers {
		b.core.Announce(b.now, b.announcement(i))
	}
	b.core.Effects()
}

func (b *grantorBench) announcement(i int) *grantpb.Announcement {
	return &grantpb.Announcement{
		Name: fmt.Sprintf("runner-%04d", i), Service: "chat", DataCentre: "dc-0", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		Incarnation: "1", Sequence: b.sequence, ReadyMs: uint64(time.Hour.Milliseconds()), State: grantpb.ServerState_SERVER_STATE_READY,
		Capacity: grantorSlots, ColdCapacity: 4, Models: []string{"m1"}, MeasuredMsAgo: 100,
	}
}

func (b *grantorBench) newAsk(workspace int) *grantpb.Ask {
	b.lastAskID++
	name := fmt.Sprintf("workspace-%05d", workspace)
	return &grantpb.Ask{
		AskId: b.lastAskID, Service: "chat", Model: "m1", Workspace: name, Chat: routing.ChatHash(name, fmt.Sprint(b.lastAskID)),
		Priority: 5, WaitMs: 10_000, RunMs: 120_000, PromptTokens: 2000,
	}
}

// acquire requests a permit and returns it.
func (b *grantorBench) acquire(workspace int) (*grantpb.Permit, error) {
	a := b.newAsk(workspace)
	b.core.Ask(b.now, 1, a)
	for _, e := range b.core.Effects() {
		if e.Kind == admission.Granted {
			return &grantpb.Permit{
				AskId: e.AskID, PermitId: e.Permit, Term: 1, Server: e.Server, Address: e.Address,
				ServerIncarnation: e.Incarnation, StartWithinMs: uint32(e.StartWithin.Milliseconds()),
			}, nil
		}
	}
	return nil, errors.Newf("request with ask id %d got no permit", a.AskId)
}

func (b *grantorBench) finish(p *grantpb.Permit) {
	b.core.Started(b.now, 1, p.PermitId)
	b.core.Result(b.now, 1, newResult(p))
}

func newResult(p *grantpb.Permit) *grantpb.Result {
	return &grantpb.Result{
		PermitId: p.PermitId, Term: 1, Outcome: grantpb.Outcome_OUTCOME_COMPLETED,
		FirstByteMs: 120, DurationMs: 9000, OutputTokens: 206,
	}
}

func grantorProbes() []Probe {
	return []Probe{
		{"grantor.bytes_per_server", "B", []int{50, 300, 1200}, func(n int) (float64, error) {
			return retainedHeap(func() (*grantorBench, error) { return newGrantorBench(n), nil })
		}},
		{"grantor.bytes_per_permit", "B", []int{2000, 8000, 16000}, func(n int) (float64, error) {
			b := newGrantorBench(300)
			return retainedHeap(func() (*grantorBench, error) {
				for i := range n {
					if _, err := b.acquire(i % benchWorkspaces); err != nil {
						return nil, err
					}
				}
				return b, nil
			})
		}},
		{"grantor.bytes_per_busy_workspace", "B", []int{500, 1000, 4000}, func(n int) (float64, error) {
			b := newGrantorBench(300)
			return retainedHeap(func() (*grantorBench, error) {
				for i := range n {
					p, err := b.acquire(i)
					if err != nil {
						return nil, err
					}
					b.finish(p)
				}
				return b, nil
			})
		}},
		{"grantor.bytes_per_session", "B", []int{40, 330, 1000}, func(n int) (float64, error) {
			b := newGrantorBench(10)
			return retainedHeap(func() (*grantorBench, error) {
				for i := range n {
					b.core.OpenSession(b.now, admission.SessionID(i+2), &grantpb.Hello{Router: fmt.Sprint("router-", i), Incarnation: "1"})
				}
				return b, nil
			})
		}},
		{"grantor.ns_per_request", "ns", []int{1000, 4000, 16000}, func(n int) (float64, error) {
			b := newGrantorBench(300)
			return medianTime(func() error { return b.runRequests(n) })
		}},
		{"grantor.ns_per_request_per_server", "ns", []int{20, 100, 300}, func(n int) (float64, error) {
			b := newGrantorBench(n)
			ns, err := medianTime(func() error { return b.runRequests(requestsPerRound) })
			return ns / requestsPerRound, err
		}},
		{"grantor.ns_per_announcement", "ns", []int{100, 300, 1200}, func(n int) (float64, error) {
			b := newGrantorBench(n)
			return medianTime(func() error {
				b.announceAll()
				return nil
			})
		}},
		{"grantor.tick_ns_per_server", "ns", []int{100, 300, 1200}, func(n int) (float64, error) {
			b := newGrantorBench(n)
			ns, err := medianTime(func() error {
				for range ticksPerRound {
					b.now += tickStep
					b.core.Tick(b.now)
				}
				return nil
			})
			return ns / ticksPerRound, err
		}},
		{"session.bytes_per_request", "B", []int{100, 400, 1600}, func(n int) (float64, error) {
			b := newGrantorBench(300)
			total := 0
			for i := range n {
				bytes, err := b.requestBytes(i % benchWorkspaces)
				if err != nil {
					return 0, err
				}
				total += bytes
			}
			return float64(total), nil
		}},
		{"session.bytes_per_brief", "B", []int{100, 300, 1200}, func(n int) (float64, error) {
			total := 0
			for i := range n {
				total += wireSize(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Brief{Brief: &grantpb.Brief{
					Id: uint32(1 + i%8), Sequence: uint64(100_000 + i), Running: 37, Queued: 1, MeasuredMsAgo: 150,
					CacheTokens: 900_000, ReadyMs: uint64(time.Hour.Milliseconds()),
				}}})
			}
			return float64(total), nil
		}},
		{"session.bytes_per_ping", "B", []int{10, 100, 1000}, func(n int) (float64, error) {
			total := 0
			for i := range n {
				total += wireSize(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Ping{Ping: &grantpb.Ping{Sequence: uint64(100_000 + i)}}})
			}
			return float64(total), nil
		}},
		{"session.bytes_per_announcement", "B", []int{100, 300, 1200}, func(n int) (float64, error) {
			b := newGrantorBench(1)
			total := 0
			for i := range n {
				total += wireSize(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Announcement{Announcement: b.announcement(i)}})
			}
			return float64(total), nil
		}},
	}
}

// runRequests runs n requests sequentially.
func (b *grantorBench) runRequests(n int) error {
	for i := range n {
		p, err := b.acquire(i % benchWorkspaces)
		if err != nil {
			return err
		}
		b.finish(p)
	}
	return nil
}

// requestBytes returns the size of the messages of one request in both directions.
func (b *grantorBench) requestBytes(workspace int) (int, error) {
	ask := b.newAsk(workspace)
	p, err := b.acquire(workspace)
	if err != nil {
		return 0, err
	}
	b.finish(p)
	return wireSize(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Ask{Ask: ask}}) +
		wireSize(&grantpb.GrantorMessage{Kind: &grantpb.GrantorMessage_Permit{Permit: p}}) +
		wireSize(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Started{Started: &grantpb.Started{PermitId: p.PermitId}}}) +
		wireSize(&grantpb.RouterMessage{Kind: &grantpb.RouterMessage_Result{Result: newResult(p)}}), nil
}

func wireSize(m proto.Message) int { return proto.Size(m) + frameOverhead }
