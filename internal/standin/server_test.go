package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func testServer(t *testing.T, change func(*Profile)) (*Server, string) {
	t.Helper()
	g := Profile{
		Type: TypeModel, Capacity: 4, ColdCapacity: 4,
		TokenInterval: time.Millisecond, CacheTokens: 4096, Retention: time.Minute,
	}
	if change != nil {
		change(&g)
	}
	s := NewServer(ServerConfig{Name: "s1", Group: Group{Service: "runners", DataCentre: "a"}, Profile: g, Seed: 3}, NewLedger(nil))
	ts := httptest.NewServer(s.Handler())
	t.Cleanup(ts.Close)
	return s, ts.URL
}

func modelBody(chat string, stream bool, tokens int) []byte {
	b, _ := json.Marshal(ModelBody{Chat: chat, Stream: stream, MaxTokens: tokens, Messages: []Message{{Role: "user", Content: "course notes for " + chat}}})
	return b
}

func send(t *testing.T, method, url string, body []byte, header map[string]string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderWorkspace, "club")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	p, err := io.ReadAll(resp.Body)
	return resp, p, err
}

func TestResponseDependsOnlyOnTheRequest(t *testing.T) {
	_, url := testServer(t, nil)
	for _, stream := range []bool{true, false} {
		body := modelBody("c1", stream, 5)
		resp, got, err := send(t, "POST", url+"/v1/chat/completions", body, map[string]string{HeaderAttempt: "a1", HeaderRequestID: "r1"})
		want := ResponseBytes(Request{Workspace: "club", Method: "POST", Target: "/v1/chat/completions", Body: body})
		if err != nil || !bytes.Equal(got, want) || resp.Header.Get(HeaderAttempt) != "a1" {
			t.Fatalf("stream %v: %q, %v; want %q", stream, got, err, want)
		}
		other := ResponseBytes(Request{Workspace: "other", Method: "POST", Target: "/v1/chat/completions", Body: body})
		if bytes.Equal(want, other) {
			t.Fatal("two workspaces got the same response")
		}
	}
}

func TestStreamResumesAtEveryOffset(t *testing.T) {
	_, url := testServer(t, nil)
	body := modelBody("c1", true, 4)
	_, whole, err := send(t, "POST", url+"/v1/chat/completions", body, map[string]string{HeaderRequestID: "r1"})
	if err != nil {
		t.Fatal(err)
	}
	for offset := range len(whole) + 1 {
		_, rest, err := send(t, "GET", url+"/v1/streams/r1?offset="+itoa(offset), nil, nil)
		if err != nil || !bytes.Equal(rest, whole[offset:]) {
			t.Fatalf("offset %d: %q, %v", offset, rest, err)
		}
	}
	resp, _, _ := send(t, "GET", url+"/v1/streams/unknown?offset=0", nil, nil)
	if resp.StatusCode != http.StatusGone {
		t.Fatalf("unknown stream: %d", resp.StatusCode)
	}
}

func TestCancelEndsARun(t *testing.T) {
	s, url := testServer(t, func(g *Profile) { g.TokenInterval = time.Hour })
	done := make(chan error, 1)
	go func() {
		_, _, err := send(t, "POST", url+"/v1/chat/completions", modelBody("c1", true, 4), map[string]string{HeaderRequestID: "r1"})
		done <- err
	}()
	for {
		resp, _, err := send(t, "DELETE", url+"/v1/streams/r1", nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusNoContent {
			break
		}
	}
	if err := <-done; err == nil {
		t.Fatal("the client read a cancelled stream without an error")
	}
	s.Wait()
	if got := lastEntry(s.ledger).Outcome; got != OutcomeCancelled {
		t.Fatalf("outcome %q", got)
	}
}

func TestFaults(t *testing.T) {
	body := modelBody("c1", true, 8)
	want := ResponseBytes(Request{Workspace: "club", Method: "POST", Target: "/v1/chat/completions", Body: body})
	for _, tc := range []struct {
		name   string
		faults Faults
		check  func(resp *http.Response, p []byte, err error) bool
		begins int
	}{
		{"refuse", Faults{Refuse: 1}, func(r *http.Response, _ []byte, _ error) bool {
			return r.StatusCode == 503 && r.Header.Get(HeaderRan) == "no"
		}, 0},
		{"cut", Faults{Cut: 1}, func(_ *http.Response, p []byte, err error) bool {
			return err != nil && len(p) < len(want) && bytes.HasPrefix(want, p)
		}, 1},
		{"cross", Faults{Cross: 1}, func(r *http.Response, _ []byte, _ error) bool { return r.Header.Get(HeaderAttempt) != "a1" }, 1},
		{"misanswer", Faults{Misanswer: 1}, func(r *http.Response, p []byte, _ error) bool {
			return r.Header.Get(HeaderAttempt) == "a1" && !bytes.Equal(p, want)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, url := testServer(t, func(g *Profile) { g.Faults = tc.faults })
			resp, p, err := send(t, "POST", url+"/v1/chat/completions", body, map[string]string{HeaderAttempt: "a1"})
			if !tc.check(resp, p, err) {
				t.Fatalf("response %q, %v", p, err)
			}
			if n := countEvents(s.ledger, EventBegin); n != tc.begins {
				t.Fatalf("%d runs in the ledger, want %d", n, tc.begins)
			}
		})
	}
}

func TestOverloadedColdServerFailsItsRuns(t *testing.T) {
	s, url := testServer(t, func(g *Profile) {
		g.ColdCapacity, g.ColdTime, g.ColdSlowdown, g.FallTime = 0, time.Hour, 10, time.Hour
	})
	resp, _, _ := send(t, "POST", url+"/v1/chat/completions", modelBody("c1", false, 2), nil)
	if resp.StatusCode != http.StatusInternalServerError {
		t.Fatalf("status %d", resp.StatusCode)
	}
	s.Wait()
	if got := lastEntry(s.ledger).Outcome; got != OutcomeFailed {
		t.Fatalf("outcome %q", got)
	}
}

func TestPlainServerChecksFenceAndReportsAttempts(t *testing.T) {
	s, url := testServer(t, func(g *Profile) { g.Type, g.ChecksFence = TypePlain, true })
	confirm := func(attempt, fence string) *http.Response {
		resp, _, err := send(t, "POST", url+"/v1/entries/confirm", []byte(`{"entry":1}`), map[string]string{HeaderIdempotencyKey: "k1", HeaderAttempt: attempt, HeaderFence: fence})
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if r := confirm("a2", "2"); r.StatusCode != http.StatusOK {
		t.Fatalf("status %d", r.StatusCode)
	}
	if r := confirm("a1", "1"); r.StatusCode != http.StatusConflict || r.Header.Get(HeaderRan) != "no" || r.Header.Get(HeaderStaleFence) != "yes" {
		t.Fatalf("old fence: %d %v", r.StatusCode, r.Header)
	}
	if n := countEvents(s.ledger, EventBegin); n != 1 {
		t.Fatalf("%d runs, want 1", n)
	}
	for attempt, want := range map[string]AttemptState{"a2": AttemptCompleted, "a1": AttemptUnknown} {
		_, p, _ := send(t, "GET", url+"/v1/attempts/"+attempt, nil, nil)
		var got struct{ State AttemptState }
		if json.Unmarshal(p, &got) != nil || got.State != want {
			t.Errorf("attempt %s: %s, want %s", attempt, p, want)
		}
	}
}

func TestProcessAnnouncesServersAndTheirLeaving(t *testing.T) {
	got := make(chan Announcement, 1024)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		got <- a
		w.WriteHeader(http.StatusNoContent)
	}))
	defer router.Close()
	conf := Settings{
		Announce:  []string{"127.0.0.1:1", router.Listener.Addr().String()},
		Heartbeat: 10 * time.Millisecond,
		Profiles:  map[string]Profile{"runner": {Type: TypeModel, Capacity: 3}},
		Groups:    []Group{{Prefix: "runner", Count: 2, Service: "runners", DataCentre: "a", Address: "127.0.0.1:0", Profile: "runner"}},
	}
	p, err := Start(conf, testLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	seen := map[string]bool{}
	for len(seen) < 2 {
		a := <-got
		seen[a.Name] = true
		if a.State != StateReady || a.Capacity != 3 || a.Sequence == 0 {
			t.Fatalf("announcement %+v", a)
		}
	}
	cancel()
	<-ended
	left := map[string]bool{}
	for len(got) > 0 {
		if a := <-got; a.State == StateLeaving {
			left[a.Name] = true
		}
	}
	if len(left) != 2 {
		t.Fatalf("servers announced as leaving: %v, want both", left)
	}
}
