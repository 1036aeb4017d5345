package telemetry

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
)

// Readiness holds the reasons why a process does not accept new work. The process is
// ready if there are none. Readiness is safe for concurrent use.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]struct{}
}

// NewReadiness returns a Readiness with the given reasons for not being ready.
func NewReadiness(reasons ...string) *Readiness {
	r := &Readiness{reasons: map[string]struct{}{}}
	for _, reason := range reasons {
		r.reasons[reason] = struct{}{}
	}
	return r
}

// SetReason adds the reason, or removes it if holds is false.
func (r *Readiness) SetReason(reason string, holds bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if holds {
		r.reasons[reason] = struct{}{}
		return
	}
	delete(r.reasons, reason)
}

// Reasons returns the reasons for not being ready, sorted. It is empty if the process
// is ready.
func (r *Readiness) Reasons() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.reasons))
	for reason := range r.reasons {
		out = append(out, reason)
	}
	sort.Strings(out)
	return out
}

// Ready reports whether the process accepts new work.
func (r *Readiness) Ready() bool { return len(r.Reasons()) == 0 }

// Handler returns the handler for readiness checks. It responds with status 200 if the
// process is ready, else with 503 and the reasons as JSON.
func (r *Readiness) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reasons := r.Reasons()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		if len(reasons) > 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(readyBody{Ready: len(reasons) == 0, Reasons: reasons})
	})
}

type readyBody struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// healthHandler handles health checks. It responds with status 200 as long as the
// process runs.
func healthHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{\"healthy\":true}\n"))
}

// AdminHandler returns a handler for GET /metrics, /healthz and /readyz.
func AdminHandler(reg *Registry, ready *Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", reg.Handler())
	mux.HandleFunc("GET /healthz", healthHandler)
	mux.Handle("GET /readyz", ready.Handler())
	return mux
}
