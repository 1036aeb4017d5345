package dispatch

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// seededRandom returns a number below n that depends only on the seed and the
// labels.
func seededRandom(n uint64, seed int, labels ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, labels)
	sum := h.Sum64()
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	sum ^= sum >> 32
	return sum % n
}

// ledgerServer runs and counts each request that it receives, and breaks some
// responses.
type ledgerServer struct {
	mu       sync.Mutex
	runs     map[string]int // by idempotency key
	attempts map[string]bool
	total    int
}

func (s *ledgerServer) run(key, attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	s.attempts[attempt] = true
	s.total++
	return s.total
}

func (s *ledgerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if attempt, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/"); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.attempts[attempt] {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, `{"state":"completed"}`)
		return
	}
	key, attempt := r.Header.Get(HeaderKey), r.Header.Get(HeaderAttempt)
	seed, _ := strconv.Atoi(strings.SplitN(key, ".", 2)[0])
	w.Header().Set(HeaderAttempt, attempt)
	fault := seededRandom(10, seed, "server", key, len(attempt), r.Header.Get(HeaderFence))
	if fault == 0 {
		w.Header().Set(HeaderRan, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	token := strconv.Itoa(s.run(key, attempt))
	switch fault {
	case 1:
		panic(http.ErrAbortHandler) // ran, no response
	case 2:
		w.Header().Set("Content-Length", "100") // ran, response truncated
	case 3:
		w.Header().Set(HeaderAttempt, "crossed")
	}
	_, _ = io.WriteString(w, token)
}

// faultyClaims loses some calls to a claim register and some of its responses.
type faultyClaims struct {
	*fakeClaims
	seed     int
	grantAll bool
	mu       sync.Mutex
	calls    int
}

func (c *faultyClaims) random(what string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return seededRandom(12, c.seed, what, c.calls)
}

func (c *faultyClaims) Claim(ctx context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	if c.grantAll {
		return &controlpb.ClaimResponse{State: controlpb.ClaimState_CLAIM_STATE_GRANTED, AttemptId: req.AttemptId}, nil
	}
	fault := c.random("claim")
	if fault == 0 {
		return nil, errkind.New(errkind.NoQuorum, "the call was lost")
	}
	resp, err := c.fakeClaims.Claim(ctx, req)
	if fault == 1 {
		return nil, errkind.New(errkind.NoQuorum, "recorded, but the response was lost")
	}
	return resp, err
}

func (c *faultyClaims) Settle(ctx context.Context, req *controlpb.SettleRequest) {
	if c.random("settle") == 0 {
		return // the router crashed before the outcome was recorded
	}
	c.fakeClaims.Settle(ctx, req)
}

// latePermits grants some permits whose start window has already passed.
type latePermits struct {
	*fakePermits
	claims *faultyClaims
}

func (p latePermits) Acquire(ctx context.Context, dc string, ask *grantpb.Ask) (Permit, error) {
	permit, err := p.fakePermits.Acquire(ctx, dc, ask)
	if err == nil && p.claims.random("permit") == 0 {
		permit.(*fakePermit).startBy = time.Time{}
	}
	return permit, err
}

// callResult is what the client of one request received.
type callResult struct {
	// told is the outcome that the client received, token the body of a
	// successful response.
	told  errkind.Outcome
	token string
}

// register is the sequential model of one idempotency key: it runs at most once,
// and every client that receives "completed" sees the token of that one run.
type register struct {
	ran   bool
	token string // "" while no client has seen it
}

var registerModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{register{}} },
	Step: func(state, _, output any) []any {
		s, o := state.(register), output.(callResult)
		switch {
		case o.told == errkind.NotRun:
			return []any{s}
		case o.told == errkind.Completed && o.token != "":
			if s.ran && s.token != "" && s.token != o.token {
				return nil
			}
			return []any{register{ran: true, token: o.token}}
		case o.told == errkind.Completed:
			return []any{register{ran: true, token: s.token}}
		default: // may have run, now or earlier
			return []any{s, register{ran: true, token: s.token}}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// runSchedule lets clients send and resend requests with a few keys through three
// routers, and returns the history.
func runSchedule(server *ledgerServer, address string, seed int, grantAll bool) []porcupine.Operation {
	const clients, calls, keys, routers = 4, 3, 2, 3
	claims := &faultyClaims{fakeClaims: newFakeClaims(), seed: seed, grantAll: grantAll}
	permits := latePermits{&fakePermits{servers: []string{address}, startWindow: time.Minute}, claims}
	set := testSet()
	var ds [routers]*Dispatcher
	for i := range ds {
		ds[i] = New(Options{
			RouterName: fmt.Sprint("router-", i), Config: func() *config.Set { return set },
			DataCentreOrder: func(*config.Set, string, uint64, time.Time) []string { return []string{"a"} },
			Permits:         permits, Claims: claims, Log: hclog.NewNullLogger(), Metrics: telemetry.NewRegistry(),
		})
		for range 50 {
			ds[i].budget.recordRequest(time.Now())
		}
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			for call := range calls {
				key := fmt.Sprintf("%d.%d", seed, seededRandom(keys, seed, "key", client, call))
				startedAt := time.Now().UnixNano()
				out := sendOnce(ds[seededRandom(routers, seed, "router", client, call)], key)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: key, Call: startedAt, Output: out, Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, d := range ds {
		d.Close()
	}
	return history
}

// sendOnce sends one request to a dispatcher and returns what the client
// receives.
func sendOnce(d *Dispatcher, key string) (out callResult) {
	defer func() {
		if recover() != nil {
			out = callResult{told: errkind.Unknown} // the response was aborted
		}
	}()
	r := httptest.NewRequest(http.MethodPost, "/v1/entries/confirm", strings.NewReader("{}"))
	r.URL.Host, r.URL.Scheme = "", ""
	r.Header.Set(HeaderWorkspace, "club")
	r.Header.Set(HeaderKey, key)
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	out.told = errkind.Outcome(w.Header().Get(HeaderOutcome))
	if w.Code == http.StatusOK {
		out.token = w.Body.String()
	}
	return out
}

func TestHistoriesRunAtMostOnce(t *testing.T) {
	schedules := 3000
	if testing.Short() {
		schedules = 300
	}
	server := &ledgerServer{runs: map[string]int{}, attempts: map[string]bool{}}
	s := httptest.NewServer(server)
	defer s.Close()
	outcomes := map[errkind.Outcome]int{}
	for seed := range schedules {
		history := runSchedule(server, s.Listener.Addr().String(), seed, false)
		if !porcupine.CheckOperations(registerModel, history) {
			t.Fatalf("seed %d: the history violates the model of a key that runs at most once: %+v", seed, history)
		}
		for _, op := range history {
			outcomes[op.Output.(callResult).told]++
		}
	}
	for key, n := range server.runs {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	t.Logf("outcomes %v; %d runs", outcomes, server.total)
	for _, o := range []errkind.Outcome{errkind.NotRun, errkind.Completed, errkind.Unknown} {
		if outcomes[o] < schedules/4 {
			t.Errorf("outcome %s occurred only %d times", o, outcomes[o])
		}
	}
}

// TestHistoryCheckFindsSecondRuns verifies the check itself: if every claim is
// granted, it must fail.
func TestHistoryCheckFindsSecondRuns(t *testing.T) {
	server := &ledgerServer{runs: map[string]int{}, attempts: map[string]bool{}}
	s := httptest.NewServer(server)
	defer s.Close()
	for seed := range 50 {
		if !porcupine.CheckOperations(registerModel, runSchedule(server, s.Listener.Addr().String(), seed, true)) {
			return
		}
	}
	t.Error("the history check did not detect claims that grant every request")
}
