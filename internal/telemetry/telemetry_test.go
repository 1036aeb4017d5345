package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/settings"
)

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

func TestReadinessFollowsItsReasons(t *testing.T) {
	ready := NewReadiness("no configuration")
	h := AdminHandler(NewRegistry(), ready)
	if w := get(h, "/readyz"); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "no configuration") {
		t.Errorf("with a reason: %d %s", w.Code, w.Body)
	}
	ready.SetReason("no configuration", false)
	if w := get(h, "/readyz"); w.Code != http.StatusOK {
		t.Errorf("without a reason: %d", w.Code)
	}
	if w := get(h, "/healthz"); w.Code != http.StatusOK {
		t.Errorf("health: %d", w.Code)
	}
}

func TestMetricsAreServedAsJSON(t *testing.T) {
	reg := NewRegistry()
	reg.Counter("requests").Inc(3)
	reg.Histogram("wait_us").Update(7)
	var got map[string]map[string]any
	if err := json.Unmarshal(get(reg.Handler(), "/metrics").Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got["requests"]["count"] != float64(3) || got["wait_us"]["max"] != float64(7) {
		t.Errorf("metrics = %v", got)
	}
}

func TestLoggerFormatAndLevel(t *testing.T) {
	var out bytes.Buffer
	log := NewLoggerTo("kqrouter", settings.Log{Level: "warn", Format: FormatJSON}, &out)
	log.Info("dropped")
	log.Warn("kept", "n", 1)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("want one JSON line, got %q", out.String())
	}
	if line["@message"] != "kept" || line["@module"] != "kqrouter" {
		t.Errorf("line = %v", line)
	}
}

func TestAProcessGoesOnWithoutItsAdminAddress(t *testing.T) {
	var out bytes.Buffer
	log := NewLoggerTo("router", settings.Log{}, &out)
	first := ListenAdmin("127.0.0.1:0", log)
	if first == nil {
		t.Fatal(out.String())
	}
	defer func() { _ = first.Close() }()
	if second := ListenAdmin(first.Addr().String(), log); second != nil {
		t.Error("two listeners on the same address")
	}
	if !strings.Contains(out.String(), "metrics are not served") {
		t.Errorf("logged: %s", out.String())
	}
}
