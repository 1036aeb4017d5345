package membership

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const heartbeatTimeout = 20 * time.Second

// control records the heartbeats that it receives, unless refuse is set.
type control struct {
	controlpb.DRPCControlUnimplementedServer
	heartbeats chan *controlpb.NodeStatus
	refuse     atomic.Bool
}

func (c *control) Heartbeat(_ context.Context, r *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	if c.refuse.Load() {
		return nil, errkind.New(errkind.NoQuorum, "refused by the test")
	}
	c.heartbeats <- r.Node
	return &controlpb.HeartbeatResponse{}, nil
}

func startControl(t *testing.T) (*control, string) {
	t.Helper()
	c := &control{heartbeats: make(chan *controlpb.NodeStatus, 100)}
	mux := drpcmux.New()
	if err := controlpb.DRPCRegisterControl(mux, c); err != nil {
		t.Fatal(err)
	}
	l, err := rpc.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = rpc.Serve(ctx, l, mux) }()
	t.Cleanup(func() { cancel(); <-done })
	return c, l.Addr().String()
}

func awaitHeartbeat(t *testing.T, c *control) *controlpb.NodeStatus {
	t.Helper()
	select {
	case n := <-c.heartbeats:
		return n
	case <-time.After(heartbeatTimeout):
		t.Fatal("no heartbeat")
		return nil
	}
}

func TestHeartbeats(t *testing.T) {
	first, firstAddr := startControl(t)
	second, secondAddr := startControl(t)
	var number atomic.Uint64
	s := NewSender(Options{
		Name: "r1", Role: "router", ControlAddresses: []string{firstAddr, secondAddr}, Dialer: rpc.NewDialer(nil),
		// Within the test, only a change of the state or a rejected call triggers the next
		// heartbeat.
		Interval: time.Hour,
		State: func() State {
			return State{InForce: config.Revision{Epoch: 1, Number: number.Load()}}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	defer func() { cancel(); <-done }()

	if n := awaitHeartbeat(t, first); n.Name != "r1" || n.Incarnation != s.Incarnation() {
		t.Errorf("got heartbeat %v", n)
	}
	number.Store(7)
	if n := awaitHeartbeat(t, first); n.InForce.Number != 7 {
		t.Errorf("after a change of the revision in force, got %v", n.InForce)
	}
	first.refuse.Store(true)
	number.Store(8)
	if n := awaitHeartbeat(t, second); n.InForce.Number != 8 {
		t.Errorf("the other control process got %v", n.InForce)
	}
	if NewSender(s.opts).Incarnation() == s.Incarnation() {
		t.Error("two starts have the same incarnation")
	}
}
