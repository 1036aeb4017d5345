package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

func testSet() *config.Set {
	return &config.Set{
		DataCentres: map[string]*config.DataCentre{"a": {Name: "a", Region: "north"}},
		Services: map[string]*config.Service{
			"runners": {
				Name: "runners", Type: config.TypeModel, Models: []string{"small", "large"}, Policy: "p",
				Chat: config.NameSource{JSONField: "chat"},
				Routes: []config.Route{
					{Path: "/v1/chat/completions", Repeatable: true, Deadline: config.Duration(20 * time.Second)},
				},
			},
			"entries": {
				Name: "entries", Type: config.TypePlain, Policy: "p",
				Routes: []config.Route{
					{Path: "/v1/entries/confirm", Deadline: config.Duration(20 * time.Second)},
					{Path: "/v1/entries/", Methods: []string{"GET", "HEAD"}, Repeatable: true, MaxBody: 64},
				},
			},
		},
		Workspaces: map[string]*config.Workspace{
			"club":   {Name: "club"},
			"locked": {Name: "locked", Services: []string{"runners"}, KeyHash: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
		},
		Policies: map[string]*config.Policy{"p": {Name: "p", MaxKeptAnswer: 64}},
	}
}

// fakePermit records the calls of its methods.
type fakePermit struct {
	server, address string
	startBy         time.Time
	mu              sync.Mutex
	started         int
	results         []RunResult
}

func (p *fakePermit) Server() string  { return p.server }
func (p *fakePermit) Address() string { return p.address }

func (p *fakePermit) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(p.startBy) {
		return errkind.New(errkind.StartTooLate, "late")
	}
	p.started++
	return nil
}

func (p *fakePermit) Done(r RunResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, r)
}

// fakePermits grants slots at its servers in order, except for excluded servers.
type fakePermits struct {
	mu          sync.Mutex
	servers     []string // addresses; the name is the address with ":" as "_"
	startWindow time.Duration
	refusal     error
	asks        []*grantpb.Ask
	permits     []*fakePermit
}

func serverName(address string) string { return strings.ReplaceAll(address, ":", "_") }

func (f *fakePermits) Acquire(_ context.Context, _ string, ask *grantpb.Ask) (Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks = append(f.asks, ask)
	if f.refusal != nil {
		return nil, f.refusal
	}
next:
	for _, address := range f.servers {
		if ask.Server != "" && ask.Server != serverName(address) {
			continue
		}
		for _, ex := range ask.Excluded {
			if ex == serverName(address) {
				continue next
			}
		}
		p := &fakePermit{server: serverName(address), address: address, startBy: time.Now().Add(f.startWindow)}
		f.permits = append(f.permits, p)
		return p, nil
	}
	return nil, errkind.New(errkind.NoBackend, "no server left")
}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	mu      sync.Mutex
	records map[string]*controlpb.ClaimResponse
	hashes  map[string]string
	settled []controlpb.ClaimState
	fence   uint64
	err     error
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{records: map[string]*controlpb.ClaimResponse{}, hashes: map[string]string{}}
}

func (f *fakeClaims) Claim(_ context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	key := req.Key.Workspace + "/" + req.Key.IdempotencyKey
	if rec := f.records[key]; rec != nil {
		if f.hashes[key] != string(req.BodyHash) {
			return &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_KEY_CONFLICT}, nil
		}
		return rec, nil
	}
	f.fence++
	f.hashes[key] = string(req.BodyHash)
	f.records[key] = &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_IN_PROGRESS, AttemptId: req.AttemptId}
	return &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_GRANTED, AttemptId: req.AttemptId, Fence: f.fence}, nil
}

func (f *fakeClaims) Settle(_ context.Context, req *controlpb.SettleRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, req.State)
	key := req.Key.Workspace + "/" + req.Key.IdempotencyKey
	rec := f.records[key]
	if rec == nil || rec.AttemptId != req.AttemptId {
		return
	}
	if req.State == controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED {
		delete(f.records, key)
		return
	}
	f.records[key] = &controlpb.ClaimResponse{State: req.State, AttemptId: req.AttemptId, Answer: req.Answer}
}

// rig is a dispatcher behind a real listener, with fake permits and claims.
type rig struct {
	d        *Dispatcher
	frontend *httptest.Server
	permits  *fakePermits
	claims   *fakeClaims
}

func newRig(t testing.TB, servers ...string) *rig {
	t.Helper()
	r := &rig{permits: &fakePermits{servers: servers, startWindow: time.Minute}, claims: newFakeClaims()}
	set := testSet()
	r.d = New(Options{
		RouterName:      "router-1",
		Config:          func() *config.Set { return set },
		DataCentreOrder: func(*config.Set, string, uint64, time.Time) []string { return []string{"a"} },
		Permits:         r.permits,
		Claims:          r.claims,
		Log:             hclog.NewNullLogger(),
		Metrics:         telemetry.NewRegistry(),
	})
	r.frontend = httptest.NewServer(r.d)
	t.Cleanup(func() {
		r.frontend.Close()
		r.d.Close()
	})
	return r
}

// addRetryBudget counts requests of the past, so that the retry budget allows
// retries.
func (r *rig) addRetryBudget() {
	for range 100 {
		r.d.budget.recordRequest(time.Now().Add(-time.Second))
	}
}

func (r *rig) request(method, path, body string) *http.Request {
	req, err := http.NewRequest(method, r.frontend.URL+path, bytes.NewBufferString(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(HeaderWorkspace, "club")
	return req
}

func (r *rig) confirmRequest(key, body string) *http.Request {
	req := r.request(http.MethodPost, "/v1/entries/confirm", body)
	req.Header.Set(HeaderKey, key)
	return req
}

// backend starts a server that echoes the attempt id and returns its address.
func backend(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderAttempt) != "" {
			w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		}
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
