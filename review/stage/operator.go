//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

type manifest struct {
	Version  uint64            `json:"version"`
	Routes   []manifestRoute   `json:"routes"`
	Services []manifestService `json:"services"`
	Limits   map[string]int    `json:"limits"`
	Tenants  []manifestTenant  `json:"tenants"`
}

type manifestRoute struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeout_ms"`
	TargetMs    int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Anonymous   bool    `json:"allow_anonymous"`
	Affinity    bool    `json:"session_affinity"`
	Resume      bool    `json:"stream_resume"`
	GapMs       float64 `json:"target_gap_ms,omitempty"`
}

type manifestService struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStart      float64 `json:"cold_start_s"`
	ColdPerS       float64 `json:"cold_per_s"`
}

type manifestTenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

const (
	host    = "ficu95.example"
	apiKey  = "n2ctnfzs989anu6wsjnb"
	service = "wuno96b"
)

// newManifest returns a manifest with a route of each kind.
func newManifest(version uint64) *manifest {
	return &manifest{
		Version: version,
		Routes: []manifestRoute{
			{Name: "r-pay", Host: host, Prefix: "/pay/", Kind: "unsafe", TimeoutMs: 4000, TargetMs: 300, Priority: 2, Service: service, MaxAttempts: 1},
			{Name: "r-look", Host: host, Prefix: "/look/", Kind: "safe", TimeoutMs: 4000, TargetMs: 300, Priority: 2, Service: service, MaxAttempts: 2},
		},
		Services: []manifestService{{Name: service, HealthPath: "/health", MaxConnections: 100, Protocol: "h1"}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  []manifestTenant{{Name: "hule930", Keys: []string{apiKey}, Priority: 1}},
	}
}

const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789"

func randomName(r *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = nameLetters[r.IntN(len(nameLetters))]
	}
	return string(b)
}

// addRoutes adds routes with names of the form in which the pages show them.
func (m *manifest) addRoutes(r *rand.Rand, n int) {
	for range n {
		m.Routes = append(m.Routes, manifestRoute{
			Name: "r-" + randomName(r, 7), Host: randomName(r, 6) + ".example", Prefix: "/" + randomName(r, 7) + "/", Kind: "safe",
			TimeoutMs: 1000 + r.IntN(14000), TargetMs: 300, Priority: r.IntN(3), Service: service, MaxAttempts: 1 + r.IntN(2),
		})
	}
}

// operator sends orders as the pages say: to one node after another, until an answer is clear.
type operator struct {
	s      *stage
	nodes  []string
	client *http.Client
}

func (s *stage) newOperator(nodes []string) *operator {
	return &operator{s: s, nodes: nodes, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// callTime is how long a call waits for its answer. Manifests here are large.
const callTime = 2 * time.Second

func (o *operator) call(node, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// publish sends a manifest until it is acknowledged, for at most the given time.
func (o *operator) publish(m *manifest, within time.Duration) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	last := ""
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		status, answer, err := o.call(o.nodes[i%len(o.nodes)], http.MethodPost, "/-/config/replace", body)
		switch {
		case err != nil:
			last = err.Error()
		case status == http.StatusOK:
			return nil
		case status < 500 && status != 408 && status != 429:
			return fmt.Errorf("manifest %d refused with %d: %s", m.Version, status, answer)
		default:
			last = fmt.Sprintf("%d: %.200s", status, answer)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("manifest %d (%d bytes) not acknowledged within %s; last: %s", m.Version, len(body), within, last)
}

// read reads the manifest until it comes, for at most the given time, and returns its version.
func (o *operator) read(within time.Duration) (uint64, error) {
	last := ""
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		status, answer, err := o.call(o.nodes[i%len(o.nodes)], http.MethodGet, "/-/config/get", nil)
		var got manifest
		if err == nil && status == http.StatusOK {
			if err = json.Unmarshal(answer, &got); err == nil {
				return got.Version, nil
			}
		}
		last = fmt.Sprintf("status %d, %v, %.200s", status, err, answer)
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("no manifest within %s; last: %s", within, last)
}
