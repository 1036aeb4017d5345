package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

func do(t testing.TB, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func wantKind(t testing.TB, name string, resp *http.Response, k errkind.Kind) {
	t.Helper()
	row := errkind.Lookup(k)
	if got := resp.Header.Get(HeaderErrorKind); got != string(k) || resp.StatusCode != row.Status {
		t.Errorf("%s: %d %q, want %d %q", name, resp.StatusCode, got, row.Status, k)
	}
	if got := resp.Header.Get(HeaderOutcome); got != string(row.Outcome) {
		t.Errorf("%s: outcome %q, want %q", name, got, row.Outcome)
	}
}

func TestRequestAndAnswerPassThrough(t *testing.T) {
	var got *http.Request
	var gotBody string
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, gotBody = r, string(b)
		w.Header().Set("X-Answer", "yes")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "dropped")
		w.Header().Set("X-Kq-Secret", "dropped")
		_, _ = w.Write([]byte("hello"))
	})
	rig := newRig(t, address)
	req := rig.request("POST", "/v1/chat/completions?x=%2F1", `{"chat":"c1","model":"large"}`)
	req.Header.Set("X-Kq-Fence", "99")
	req.Header.Set("X-Mine", "kept")
	req.Header.Set("Te", "trailers")
	resp, body := do(t, req)
	if resp.StatusCode != 200 || body != "hello" || resp.Header.Get("X-Answer") != "yes" {
		t.Fatalf("response: %d %q %v", resp.StatusCode, body, resp.Header)
	}
	if resp.Header.Get("X-Hop")+resp.Header.Get("X-Kq-Secret") != "" {
		t.Errorf("hop-by-hop headers forwarded: %v", resp.Header)
	}
	if got.Header.Get("X-Kq-Fence")+got.Header.Get("Te") != "" || got.Header.Get("X-Mine") != "kept" {
		t.Errorf("server saw %v", got.Header)
	}
	if got.RequestURI != "/v1/chat/completions?x=%2F1" || !strings.Contains(gotBody, "c1") {
		t.Errorf("server saw %s %q", got.RequestURI, gotBody)
	}
	if id := resp.Header.Get(HeaderRequestID); id != got.Header.Get(HeaderRequestID) || id == "" {
		t.Errorf("request id %q at the client, %q at the server", id, got.Header.Get(HeaderRequestID))
	}
	p := rig.permits.permits[0]
	if p.started != 1 || len(p.results) != 1 || p.results[0].Outcome != errkind.Completed {
		t.Errorf("permit: started %d, results %v", p.started, p.results)
	}
	if a := rig.permits.asks[0]; a.Model != "large" || a.Workspace != "club" || a.Service != "runners" {
		t.Errorf("ask: %v", a)
	}
}

func TestRefusalsThatNeverRan(t *testing.T) {
	var ran atomic.Int64
	rig := newRig(t, backend(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	for _, tc := range []struct {
		name   string
		method string
		path   string
		body   string
		change func(*http.Request)
		want   errkind.Kind
	}{
		{"no route", "POST", "/v2/x", "", nil, errkind.NoRoute},
		{"method", "DELETE", "/v1/chat/completions", "", nil, errkind.NoRoute},
		{"dot segment", "GET", "/v1/entries/../x", "", nil, errkind.BadRequest},
		{"encoded dot segment", "GET", "/v1/entries/%2e%2e/x", "", nil, errkind.BadRequest},
		{"encoded slash", "GET", "/v1/entries/a%2Fb", "", nil, errkind.BadRequest},
		{"empty segment", "GET", "/v1//entries/x", "", nil, errkind.BadRequest},
		{"workspace", "POST", "/v1/chat/completions", "{}", func(r *http.Request) { r.Header.Set(HeaderWorkspace, "x") }, errkind.UnknownWorkspace},
		{"two workspaces", "POST", "/v1/chat/completions", "{}", func(r *http.Request) { r.Header.Add(HeaderWorkspace, "x") }, errkind.BadRequest},
		{"workspace key", "POST", "/v1/chat/completions", "{}", func(r *http.Request) { r.Header.Set(HeaderWorkspace, "locked") }, errkind.Unauthenticated},
		{"model", "POST", "/v1/chat/completions", `{"model":"x"}`, nil, errkind.BadRequest},
		{"model twice", "POST", "/v1/chat/completions", `{"model":"small","model":"large"}`, nil, errkind.BadRequest},
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, errkind.BadRequest},
		{"no key", "POST", "/v1/entries/confirm", "{}", nil, errkind.KeyRequired},
		{"bad key", "POST", "/v1/entries/confirm", "{}", func(r *http.Request) { r.Header.Set(HeaderKey, "a b") }, errkind.BadRequest},
		{"declared length", "GET", "/v1/entries/1", strings.Repeat("x", 65), nil, errkind.TooLarge},
		{"chunked length", "GET", "/v1/entries/1", strings.Repeat("x", 65), func(r *http.Request) { r.ContentLength = -1 }, errkind.TooLarge},
		{"resume id", "GET", "/v1/resume/abc?offset=0", "", nil, errkind.NotFound},
	} {
		req := rig.request(tc.method, tc.path, tc.body)
		if tc.change != nil {
			tc.change(req)
		}
		resp, _ := do(t, req)
		wantKind(t, tc.name, resp, tc.want)
	}
	rig.permits.refusal = errkind.New(errkind.QueueFull, "full").WithRetryAfter(2500 * time.Millisecond)
	resp, _ := do(t, rig.request("POST", "/v1/chat/completions", "{}"))
	wantKind(t, "permit", resp, errkind.QueueFull)
	if resp.Header.Get("Retry-After") != "3" {
		t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
	}
	rig.d.Drain()
	resp, _ = do(t, rig.request("POST", "/v1/chat/completions", "{}"))
	wantKind(t, "drain", resp, errkind.ShuttingDown)
	if ran.Load() != 0 {
		t.Errorf("%d requests ran", ran.Load())
	}
}

func TestRetryOnlyWithinRulesAndBudget(t *testing.T) {
	var bad, good atomic.Int64
	refusing := backend(t, func(w http.ResponseWriter, _ *http.Request) {
		bad.Add(1)
		w.Header().Set(HeaderRan, "no")
		w.WriteHeader(503)
	})
	fine := backend(t, func(w http.ResponseWriter, _ *http.Request) { good.Add(1) })
	rig := newRig(t, refusing, fine)
	resp, _ := do(t, rig.request("POST", "/v1/chat/completions", "{}"))
	wantKind(t, "no budget", resp, errkind.RetryBudget)
	rig.addRetryBudget()
	if resp, _ = do(t, rig.request("POST", "/v1/chat/completions", "{}")); resp.StatusCode != 200 || good.Load() != 1 {
		t.Errorf("with budget: %d", resp.StatusCode)
	}
	if resp, _ = do(t, rig.confirmRequest("k", "{}")); resp.StatusCode != 200 || good.Load() != 2 {
		t.Errorf("claimed request that certainly did not run: %d", resp.StatusCode)
	}
}

func TestCrossedAnswerIsDropped(t *testing.T) {
	for _, echo := range []string{"another", ""} {
		address := backend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderAttempt, echo)
			_, _ = w.Write([]byte("not yours"))
		})
		rig := newRig(t, address)
		resp, body := do(t, rig.request("POST", "/v1/chat/completions", "{}"))
		wantKind(t, "echo "+echo, resp, errkind.BackendCrossed)
		if strings.Contains(body, "not yours") {
			t.Errorf("the response to another attempt was relayed: %s", body)
		}
	}
}

func TestResendsOfClaimedRequests(t *testing.T) {
	var ran atomic.Int64
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/attempts/") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		ran.Add(1)
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get(HeaderFence) == "" || r.Header.Get(HeaderKey) == "" {
			t.Errorf("server saw %v", r.Header)
		}
		if strings.Contains(string(body), "fail") {
			w.WriteHeader(500)
		}
		n := 3
		if strings.Contains(string(body), "long") {
			n = 40000
		}
		_, _ = io.WriteString(w, strings.Repeat("x", n))
	})
	rig := newRig(t, address)
	for _, tc := range []struct {
		key, body string
		status    int
		replayed  string
		kind      errkind.Kind
		ran       int64
	}{
		{"k1", "{}", 200, "", "", 1},
		{"k1", "{}", 200, "yes", "", 1},
		{"k1", `{"other":1}`, 422, "", errkind.KeyConflict, 1},
		{"k2", `{"fail":1}`, 500, "", "", 2},
		{"k2", `{"fail":1}`, 500, "yes", "", 2},
		{"k3", `{"long":1}`, 200, "", "", 3},
		{"k3", `{"long":1}`, 409, "", errkind.AnswerNotKept, 3},
	} {
		resp, _ := do(t, rig.confirmRequest(tc.key, tc.body))
		if resp.StatusCode != tc.status || resp.Header.Get(HeaderReplayed) != tc.replayed ||
			resp.Header.Get(HeaderErrorKind) != string(tc.kind) || ran.Load() != tc.ran {
			t.Errorf("%s %s: %d %v, ran %d", tc.key, tc.body, resp.StatusCode, resp.Header, ran.Load())
		}
	}
	rig.claims.err = errkind.New(errkind.OutcomeUnknown, "lost")
	resp, _ := do(t, rig.confirmRequest("k4", "{}"))
	wantKind(t, "no claim", resp, errkind.NoQuorum)
	rig.claims.err = nil
	rig.permits.refusal = errkind.New(errkind.NoBackend, "none")
	resp, _ = do(t, rig.confirmRequest("k5", "{}"))
	wantKind(t, "no permit", resp, errkind.NoBackend)
	if last := rig.claims.settled[len(rig.claims.settled)-1]; last != controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED || rig.claims.records["club/k5"] != nil {
		t.Errorf("claim of a request that did not run was not released: %v", rig.claims.settled)
	}
}

func TestStartWindowIsCheckedBeforeTheFirstByte(t *testing.T) {
	var ran atomic.Int64
	rig := newRig(t, backend(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	rig.permits.startWindow = -time.Millisecond
	resp, _ := do(t, rig.confirmRequest("k", "{}"))
	wantKind(t, "late", resp, errkind.RetryBudget)
	if ran.Load() != 0 || rig.claims.records["club/k"] != nil {
		t.Errorf("ran %d, record %v", ran.Load(), rig.claims.records["club/k"])
	}
}

func TestAnswersWithoutBody(t *testing.T) {
	for _, status := range []int{204, 304, 404} {
		rig := newRig(t, backend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		for _, method := range []string{"GET", "HEAD"} {
			resp, body := do(t, rig.request(method, "/v1/entries/1", ""))
			if resp.StatusCode != status || body != "" || resp.Header.Get(HeaderOutcome) != string(outcomeOf(status)) {
				t.Errorf("%s %d: %d %q %v", method, status, resp.StatusCode, body, resp.Header)
			}
		}
	}
}

func TestSwappedAnswersReachNobody(t *testing.T) {
	var mu sync.Mutex
	var attempts []string
	both := make(chan struct{})
	address := backend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound) // attempts cannot be queried
			return
		}
		mine := r.Header.Get(HeaderAttempt)
		mu.Lock()
		if attempts = append(attempts, mine); len(attempts) == 2 {
			close(both)
		}
		mu.Unlock()
		<-both
		other := attempts[0]
		if other == mine {
			other = attempts[1]
		}
		w.Header().Set(HeaderAttempt, other)
		_, _ = io.WriteString(w, "the answer of "+other)
	})
	rig := newRig(t, address)
	kinds := make(chan string, 2)
	for i := range 2 {
		go func() {
			resp, err := http.DefaultTransport.RoundTrip(rig.confirmRequest(fmt.Sprint("k", i), "{}"))
			if err != nil {
				kinds <- err.Error()
				return
			}
			_ = resp.Body.Close()
			kinds <- resp.Header.Get(HeaderErrorKind)
		}()
	}
	for range 2 {
		if k := <-kinds; k != string(errkind.BackendCrossed) {
			t.Errorf("a client whose response was swapped received the error kind %q", k)
		}
	}
}

func TestUnknownOutcomeIsSettledByTheServersReport(t *testing.T) {
	for _, tc := range []struct {
		states []AttemptState
		want   errkind.Kind
	}{
		{[]AttemptState{AttemptRunning, AttemptCompleted}, errkind.AnswerNotKept},
		{[]AttemptState{AttemptUnknown, AttemptFailed}, errkind.BackendFailed},
		{nil, errkind.OutcomeUnknown},
	} {
		var queries atomic.Int64
		address := backend(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				panic(http.ErrAbortHandler)
			}
			n := int(queries.Add(1))
			if n > len(tc.states) {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = fmt.Fprintf(w, `{"state":%q}`, tc.states[n-1])
		})
		rig := newRig(t, address)
		resp, _ := do(t, rig.confirmRequest("k", "{}"))
		wantKind(t, "broken", resp, errkind.BackendLost)
		for resp.Header.Get(HeaderErrorKind) != string(tc.want) {
			time.Sleep(20 * time.Millisecond) // ends with the test's own timeout at the latest
			resp, _ = do(t, rig.confirmRequest("k", "{}"))
			if k := errkind.Kind(resp.Header.Get(HeaderErrorKind)); k != errkind.InProgress && k != tc.want {
				t.Fatalf("while the server is queried: kind %q, want %q", k, tc.want)
			}
		}
		if rig.d.metrics.attempts.Count() != 1 {
			t.Errorf("%d attempts", rig.d.metrics.attempts.Count())
		}
	}
}
