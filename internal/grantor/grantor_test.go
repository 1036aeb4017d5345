package grantor

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/admission"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/lease"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// testTimeout bounds the wait for an event that must happen.
const testTimeout = 30 * time.Second

// testFleet is the servers of one data centre and a client, in the test process.
type testFleet struct {
	t       testing.TB
	set     *config.Set
	servers []*Server
	stops   []func()
	client  *Client
}

func newTestFleet(t testing.TB, processes int) *testFleet {
	t.Helper()
	f := &testFleet{t: t}
	dc := &config.DataCentre{Name: "dc", Region: "r", State: config.StateActive}
	f.set = &config.Set{
		DataCentres: map[string]*config.DataCentre{"dc": dc},
		Services:    map[string]*config.Service{"drafts": {Name: "drafts", Policy: "p"}},
		Policies:    map[string]*config.Policy{"p": {Name: "p", LoadFloor: 1000, ColdRamp: 1}},
	}
	var listeners []net.Listener
	for i := range processes {
		l, err := rpc.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		dc.LeaseVoters = append(dc.LeaseVoters, config.LeaseVoter{Name: fmt.Sprint("p", i), Address: l.Addr().String(), Candidate: true})
	}
	dialer := rpc.NewDialer(nil)
	configOf := func() *config.Set { return f.set }
	for i, l := range listeners {
		f.startServer(i, l, dialer, configOf)
	}
	f.client = NewClient(ClientOptions{Name: "router", Incarnation: "1", Config: configOf, Dialer: dialer})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, stop := range f.stops {
			stop()
		}
		_ = dialer.Close()
	})
	return f
}

func (f *testFleet) startServer(i int, l net.Listener, dialer *rpc.Dialer, configOf func() *config.Set) {
	s := NewServer(ServerOptions{
		Name: fmt.Sprint("p", i), Incarnation: "1", DataCentre: "dc", Address: l.Addr().String(), Config: configOf, Dialer: dialer,
		Lease:     lease.Options{Duration: time.Second, DriftMargin: 50 * time.Millisecond, RenewInterval: 200 * time.Millisecond},
		Admission: admission.Options{StartWindow: 300 * time.Millisecond, Margin: 100 * time.Millisecond, MinSubset: 2, SubsetSlack: 2},
	})
	mux := drpcmux.New()
	if err := grantpb.DRPCRegisterGrantor(mux, s); err != nil {
		f.t.Fatal(err)
	}
	if err := grantpb.DRPCRegisterLeaseVoter(mux, s); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lctx, lcancel := context.WithCancel(context.Background())
	var run, listen sync.WaitGroup
	run.Go(func() { _ = s.Run(ctx) })
	listen.Go(func() { _ = rpc.Serve(lctx, l, mux) })
	f.servers = append(f.servers, s)
	f.stops = append(f.stops, func() {
		cancel()
		run.Wait()
		lcancel()
		_ = l.Close()
		listen.Wait()
	})
}

// announce sends announcements of a backend server until the test ends.
func (f *testFleet) announce(name string, capacity uint32, running *atomic.Int32) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			f.client.Announce("dc", &grantpb.Announcement{
				Name: name, Service: "drafts", DataCentre: "dc", Address: name, Incarnation: "1", Sequence: sequence,
				State: grantpb.ServerState_SERVER_STATE_READY, Capacity: capacity, Running: uint32(running.Load()),
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	f.t.Cleanup(func() { cancel(); wg.Wait() })
}

// acquire requests a permit until one is granted.
func (f *testFleet) acquire(chat uint64) *Permit {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p, err := f.client.Acquire(context.Background(), "dc", &grantpb.Ask{Service: "drafts", Workspace: "w", Chat: chat, WaitMs: 1000, RunMs: 60000})
		if err == nil {
			return p
		}
	}
	f.t.Fatal("no permit was granted")
	return nil
}

// waitForConfirmedReport waits until the lease holder has a load report measured
// late enough to confirm the server.
func (f *testFleet) waitForConfirmedReport() {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s := f.servers[f.waitForHolder()]
		r, err := s.GrantorStatus(context.Background(), nil)
		if err == nil && len(r.Servers) == 1 && r.Servers[0].Limit == 3 {
			return
		}
	}
	f.t.Fatal("the server was not confirmed")
}

func (f *testFleet) waitForHolder() int {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, s := range f.servers {
			if s != nil && s.HoldsLease() {
				return i
			}
		}
	}
	f.t.Fatal("no process holds the lease")
	return 0
}

func TestCapacityIsExactAcrossHandOver(t *testing.T) {
	f := newTestFleet(t, 3)
	var running atomic.Int32
	f.announce("engine", 3, &running)
	start := time.Now()
	first, second, third := f.acquire(1), f.acquire(2), f.acquire(3)
	for _, p := range []*Permit{first, second, third} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		running.Add(1)
	}
	if _, err := f.client.Acquire(context.Background(), "dc", &grantpb.Ask{Service: "drafts", Workspace: "w"}); !errkind.Is(err, errkind.DeadlineUnmeetable) {
		t.Fatalf("fourth permit request: %v, want deadline-unmeetable", err)
	}
	old := f.waitForHolder()
	f.stops[old]()
	f.stops[old] = func() {}
	f.servers[old] = nil
	if next := f.waitForHolder(); next == old {
		t.Fatal("the lease holder did not change")
	}
	// The new grantor counts the runs that the engine reports in addition to the
	// permits that the router holds, until results account for the reported runs.
	// Capacity is thus freed one permit at a time.
	f.waitForConfirmedReport()
	if _, err := f.client.Acquire(context.Background(), "dc", &grantpb.Ask{Service: "drafts", Workspace: "w"}); err == nil {
		t.Fatal("the new grantor granted a fourth permit at capacity 3")
	}
	for _, p := range []*Permit{first, second} {
		running.Add(-1)
		p.Done(RunResult{Outcome: errkind.Completed, Duration: time.Since(start)})
	}
	fourth := f.acquire(4)
	if fourth.Term <= third.Term {
		t.Errorf("term went from %d to %d, want an increase", third.Term, fourth.Term)
	}
	if _, err := f.client.Acquire(context.Background(), "dc", &grantpb.Ask{Service: "drafts", Workspace: "w"}); err == nil {
		t.Fatal("the new grantor granted a permit for capacity that the report still attributes to the third run")
	}
	fourth.Done(RunResult{Outcome: errkind.NotRun})
	third.Done(RunResult{Outcome: errkind.Completed, Duration: time.Since(start)})
}

func TestOneProcess(t *testing.T) {
	f := newTestFleet(t, 1)
	var running atomic.Int32
	f.announce("engine", 1, &running)
	p := f.acquire(1)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan error)
	go func() {
		_, err := f.client.Acquire(ctx, "dc", &grantpb.Ask{Service: "drafts", Workspace: "w", WaitMs: 20000})
		cancelled <- err
	}()
	cancel()
	if err := <-cancelled; !errkind.Is(err, errkind.ClientGone) && !errkind.Is(err, errkind.DeadlineUnmeetable) {
		t.Errorf("cancelled permit request: %v, want client-gone or deadline-unmeetable", err)
	}
	holder := f.servers[0]
	if _, err := holder.Override(context.Background(), &grantpb.OverrideRequest{Target: "engine", Out: true}); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("override of a target without kind: %v, want bad-request", err)
	}
	p.startDeadline = time.Now()
	if err := p.Start(); !errkind.Is(err, errkind.NoGrantor) {
		t.Errorf("permit started after its window: %v, want no-grantor", err)
	}
	p.Done(RunResult{Outcome: errkind.NotRun})
	f.acquire(2).Done(RunResult{Outcome: errkind.NotRun})
}
