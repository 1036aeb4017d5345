package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/dispatch"
	"github.com/kumquathollow/kumquathollow/internal/distribution"
	"github.com/kumquathollow/kumquathollow/internal/registry"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const waitTimeout = 30 * time.Second

// fakeControl grants each claim key once and records the settled outcomes.
type fakeControl struct {
	controlpb.DRPCControlUnimplementedServer
	mu      sync.Mutex
	records map[string]*controlpb.ClaimResponse
	fence   uint64
}

func (c *fakeControl) Claim(_ context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := req.Key.IdempotencyKey
	if rec := c.records[key]; rec != nil {
		if rec.State == controlpb.ClaimState_CLAIM_STATE_GRANTED && rec.AttemptId != req.AttemptId {
			return &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS}, nil
		}
		return rec, nil
	}
	c.fence++
	c.records[key] = &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_GRANTED, AttemptId: req.AttemptId, Fence: c.fence}
	return c.records[key], nil
}

func (c *fakeControl) Settle(_ context.Context, req *controlpb.SettleRequest) (*controlpb.SettleResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[req.Key.IdempotencyKey] = &controlpb.ClaimResponse{State: req.State, AttemptId: req.AttemptId, Answer: req.Answer}
	return &controlpb.SettleResponse{}, nil
}

// fleet runs a fake control process, one router and one backend server.
type fleet struct {
	t             testing.TB
	router        *Router
	signals       chan os.Signal
	exitCode      chan int
	requestsRun   atomic.Int64
	serverAddress string        // address of the backend server
	releaseHeld   chan struct{} // requests for a path ending in /held block until it is closed
	heldStarted   chan struct{} // receives a value for each request for such a path
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func testSettings(fleetAddress, control string) Settings {
	s := Settings{
		Name: "router-1", DataCentre: "a", Control: []string{control},
		Listen:   Addresses{Callers: "127.0.0.1:0", Announce: "127.0.0.1:0", Fleet: fleetAddress, Admin: "127.0.0.1:0"},
		Shutdown: Shutdown{BalancerWait: config.Duration(10 * time.Millisecond), Finish: config.Duration(waitTimeout)},
	}
	s.setDefaults()
	return s
}

func testConfig(fleetAddress string) *config.Set {
	return &config.Set{
		Revision: config.Revision{Epoch: 1, Number: 1},
		DataCentres: map[string]*config.DataCentre{"a": {
			Name: "a", Region: "north", LeaseVoters: []config.LeaseVoter{{Name: "router-1", Address: fleetAddress, Candidate: true}},
		}},
		Services: map[string]*config.Service{"entries": {
			Name: "entries", Type: config.TypePlain, Policy: "p",
			Routes: []config.Route{
				{Path: "/v1/confirm"},
				{Path: "/v1/entries/", Methods: []string{"GET"}, Repeatable: true},
			},
		}},
		Workspaces: map[string]*config.Workspace{"club": {Name: "club"}},
		Policies:   map[string]*config.Policy{"p": {Name: "p"}},
	}
}

func startFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, signals: make(chan os.Signal, 2), exitCode: make(chan int, 1), releaseHeld: make(chan struct{}), heldStarted: make(chan struct{}, 16)}
	reserved := listen(t)
	fleetAddress := reserved.Addr().String()
	_ = reserved.Close()
	control := f.startControl(testConfig(fleetAddress))
	r, err := New(testSettings(fleetAddress, control), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	f.router = r
	go func() {
		code, err := r.Run(f.signals)
		if err != nil {
			t.Error(err)
		}
		f.exitCode <- code
	}()
	f.startServer()
	f.eventually("readiness", func() bool { return r.ready.Ready() })
	return f
}

func (f *fleet) startControl(set *config.Set) string {
	relay := distribution.NewRelay(50 * time.Millisecond)
	if err := relay.Publish(set); err != nil {
		f.t.Fatal(err)
	}
	mux := drpcmux.New()
	_ = controlpb.DRPCRegisterControl(mux, &fakeControl{records: map[string]*controlpb.ClaimResponse{}})
	_ = controlpb.DRPCRegisterDistribution(mux, relay)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	l := listen(f.t)
	go func() { _ = rpc.Serve(ctx, l, mux) }()
	go func() {
		for ctx.Err() == nil {
			relay.Confirm(time.Now())
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return l.Addr().String()
}

// startServer starts a backend server that announces itself to the router.
func (f *fleet) startServer() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requestsRun.Add(1)
		w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
		if strings.HasSuffix(r.URL.Path, "/held") {
			f.heldStarted <- struct{}{}
			<-f.releaseHeld
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	f.t.Cleanup(s.Close)
	f.serverAddress = s.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			body, _ := json.Marshal(registry.Announcement{
				Name: "server-1", Service: "entries", DataCentre: "a", Address: s.Listener.Addr().String(),
				Incarnation: "i", State: "ready", Capacity: 4096, ColdCapacity: 4096, Sequence: sequence,
			})
			resp, err := http.Post("http://"+f.router.announce.Addr().String()+registry.AnnouncePath, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("no %s within %v", what, waitTimeout)
		}
	}
}

func (f *fleet) call(method, path, key string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+f.router.callers.Addr().String()+path, nil)
	req.Header.Set(dispatch.HeaderWorkspace, "club")
	if key != "" {
		req.Header.Set(dispatch.HeaderKey, key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func TestWholePathAndGracefulShutdown(t *testing.T) {
	f := startFleet(t)
	f.eventually("response", func() bool {
		status, body := f.call("GET", "/v1/entries/1", "")
		return status == 200 && body == "/v1/entries/1"
	})
	ran := f.requestsRun.Load()
	for range 3 {
		if status, body := f.call("POST", "/v1/confirm", "k1"); status != 200 && status != 409 {
			t.Errorf("confirm: %d %s", status, body)
		}
	}
	if f.requestsRun.Load() != ran+1 {
		t.Errorf("a confirmed entry ran %d times", f.requestsRun.Load()-ran)
	}

	held := make(chan string, 1)
	go func() {
		status, body := f.call("GET", "/v1/entries/held", "")
		held <- fmt.Sprint(status, body)
	}()
	<-f.heldStarted
	f.signals <- syscall.SIGTERM
	f.eventually("unreadiness", func() bool { return !f.router.ready.Ready() })
	f.eventually("closed listener", func() bool {
		c, err := net.Dial("tcp", f.router.callers.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	close(f.releaseHeld)
	if got := <-held; got != "200/v1/entries/held" {
		t.Errorf("request in flight at the shutdown: %s", got)
	}
	if code := <-f.exitCode; code != 0 {
		t.Errorf("exit code %d", code)
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	f := startFleet(t)
	f.eventually("response", func() bool { status, _ := f.call("GET", "/v1/entries/1", ""); return status == 200 })
	go f.call("GET", "/v1/entries/held", "")
	<-f.heldStarted
	f.signals <- syscall.SIGTERM
	f.signals <- syscall.SIGTERM
	if code := <-f.exitCode; code != ExitSecondSignal {
		t.Errorf("exit code %d", code)
	}
	close(f.releaseHeld)
	_ = f.router.callerServer.Close()
}

func TestSettings(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "name: r", "dataCentre"},
		{"unknown field", "name: r\nnope: 1", "nope"},
		{"all at once", "name: r\ncontrol: [c1]\nlisten: {callers: 'x:1', admin: y}", `dataCentre is missing; listen.callers must be IP:port, not "x:1"; listen.announce must be IP:port, not ""; listen.fleet must be IP:port, not ""; listen.admin must be IP:port, not "y"; control must be IP:port, not "c1"`},
		{"address", "name: r\ndataCentre: a\ncontrol: [127.0.0.1:1]\nlisten: {callers: localhost:1}", "listen.callers"},
		{"control", "name: r\ndataCentre: a\nlisten: {callers: '127.0.0.1:1'}", "control"},
	} {
		path := t.TempDir() + "/s.yaml"
		if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadSettings(path); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
