package replay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

// singleServerFleet starts a server that passes requests to a stand-in, with the
// headers that a router would add, and the admin endpoints of a router. It returns
// the settings for a replay against them.
func singleServerFleet(t *testing.T, faults standin.Faults) Settings {
	t.Helper()
	ledger := standin.NewLedger(nil)
	s := standin.NewServer(standin.ServerConfig{
		Name:    "s1",
		Profile: standin.Profile{Type: standin.TypeModel, Capacity: 100, CacheTokens: 1 << 16, TokenInterval: 100 * time.Microsecond, Retention: time.Minute, Faults: faults},
	}, ledger)
	back := s.Handler()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rest, ok := strings.CutPrefix(r.URL.Path, "/v1/resume/"); ok {
			r.URL.Path = "/v1/streams/" + rest
			back.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get(standin.HeaderIdempotencyKey)
		if id == "" {
			id = r.URL.String() + time.Now().String()
		}
		id = strings.Map(func(c rune) rune {
			if c == '/' || c == ' ' || c == '?' || c == '+' || c == ':' {
				return '-'
			}
			return c
		}, id)
		r.Header.Set(standin.HeaderRequestID, id)
		w.Header().Set(standin.HeaderRequestID, id)
		back.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"config.epoch":{"value":1},"config.revision":{"value":7},"control.bytes.in":{"count":10}}`))
	}))
	t.Cleanup(admin.Close)
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	p := trace.Profiles()["maracas"]
	p.Duration, p.Rate, p.ResendFraction = time.Second, 60, 0
	if err := trace.Write(f, trace.Generate(p, 4)); err != nil {
		t.Fatal(err)
	}
	_ = f.Close()
	return Settings{
		Trace: path, Speed: 1, Seed: 1, CallerTimeout: 10 * time.Second,
		Routers: []Router{{Name: "router-1", Address: front.Listener.Addr().String(), Admin: admin.Listener.Addr().String()}},
		Ledgers: []string{front.URL + "/ledger"},
	}
}

func play(t *testing.T, conf Settings) Report {
	t.Helper()
	o, err := Play(context.Background(), conf)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.Results) != len(o.Records) || len(o.Records) == 0 {
		t.Fatalf("%d results of %d records", len(o.Results), len(o.Records))
	}
	return NewReport(o)
}

func TestPlayOfFaultlessServer(t *testing.T) {
	r := play(t, singleServerFleet(t, standin.Faults{}))
	if r.Violations() != 0 {
		t.Fatalf("violations: %+v", r.Promises)
	}
	if r.Finals["model / completed"] == 0 || r.Finals["once / completed"] == 0 || r.CacheReuse <= 0 || len(r.Latencies) == 0 {
		t.Fatalf("report %+v", r)
	}
	var text strings.Builder
	r.WriteText(&text)
	for _, want := range []string{"cache reuse", "own answer, whole", "model / completed", "control traffic"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("text does not contain %q", want)
		}
	}
}

func TestPlayResumesCutStreams(t *testing.T) {
	conf := singleServerFleet(t, standin.Faults{Cut: 0.5})
	o, err := Play(context.Background(), conf)
	if err != nil {
		t.Fatal(err)
	}
	r := NewReport(o)
	if r.Resumes == 0 {
		t.Fatal("no stream was resumed")
	}
	for _, p := range r.Promises {
		if p.Name == "own answer, whole" && len(p.Violations) > 0 {
			t.Fatalf("violations: %v", p.Violations)
		}
	}
	for _, res := range o.Results {
		if o.Records[res.Record].Kind == trace.KindModel && res.Final != FinalCompleted {
			t.Fatalf("record %d ended %s", res.Record, res.Final)
		}
	}
}

func TestPlayDetectsResponseToAnotherCaller(t *testing.T) {
	r := play(t, singleServerFleet(t, standin.Faults{Misanswer: 0.1}))
	for _, p := range r.Promises {
		if p.Name == "own answer, whole" && len(p.Violations) == 0 {
			t.Fatal("response to another caller was not detected")
		}
	}
}

func TestExpandTraceRenamesLaterRounds(t *testing.T) {
	records := []trace.Record{{AtMs: 0, Kind: trace.KindOnce, Key: "k"}, {AtMs: 1000, Kind: trace.KindModel, Chat: "c"}}
	got := expandTrace(records, 2*time.Second, 2)
	if len(got) < 6 || got[2].Key != "k-r1" || got[3].Chat != "c-r1" || got[3].AtMs != 1000 {
		t.Fatalf("expanded trace: %+v", got)
	}
}

func TestServiceIsSplitByMovesOfDataCentres(t *testing.T) {
	o := compliantObservation(t)
	o.Results = []Result{{Record: 0, Final: FinalCompleted, Total: time.Second}}
	if r := NewReport(o); r.Quiet.Requests != 1 || r.Moving.Requests != 0 || r.Quiet.P50 < 999 {
		t.Errorf("before the move: quiet %+v, moving %+v", r.Quiet, r.Moving)
	}
	o.Exchanges[0].Sent, o.Exchanges[1].Sent = at(25_000), at(25_100)
	if r := NewReport(o); r.Moving.Requests != 1 || r.Moving.Whole != 1 {
		t.Errorf("5 s after the return: quiet %+v, moving %+v", r.Quiet, r.Moving)
	}
}

func TestCutsAtUndisturbedRoutersAreCounted(t *testing.T) {
	o := compliantObservation(t)
	o.Events = append(o.Events, event(ActionKill, 100, "router-3"), event(ActionStart, 900, "router-3"))
	cut := Exchange{Sent: at(50), Ended: at(110), Error: "unexpected EOF", Verdict: VerdictNone}
	for _, name := range []string{"router-1", "router-3"} {
		cut.Router = name
		o.Exchanges = append(o.Exchanges, cut)
	}
	if r := NewReport(o); r.Broken != 2 || r.BrokenUndisturbed != 1 {
		t.Errorf("%d cut, %d of them undisturbed; want 2 and 1", r.Broken, r.BrokenUndisturbed)
	}
}
