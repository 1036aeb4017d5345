//go:build review

package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Operator sends orders as the platform's operator does: to one node after another, one second
// each, until one acknowledges.
type Operator struct {
	Record *Record
	mu     sync.Mutex
	nodes  []string
}

// SetNodes sets the nodes that serve control.
func (o *Operator) SetNodes(nodes ...string) {
	o.mu.Lock()
	o.nodes = nodes
	o.mu.Unlock()
}

// Try sends one call to one node. Each call has a connection of its own, which is closed if no
// answer came within a second.
func (o *Operator) Try(method, node, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		o.Record.Printf("operator: %s %s to %s: no answer (%v)", method, path, node, err)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	o.Record.Printf("operator: %s %s to %s: %d", method, path, node, resp.StatusCode)
	return resp.StatusCode, answer
}

// Order sends an order until it is acknowledged, to the nodes in turn from the first one on.
func (o *Operator) Order(path string, body []byte, first string, within time.Duration) bool {
	o.mu.Lock()
	nodes := append([]string(nil), o.nodes...)
	o.mu.Unlock()
	for i, n := range nodes {
		if n == first {
			nodes = append(append([]string(nil), nodes[i:]...), nodes[:i]...)
			break
		}
	}
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		status, _ := o.Try("POST", nodes[i%len(nodes)], path, body)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(min(time.Duration(50+50*i)*time.Millisecond, 500*time.Millisecond))
	}
	return false
}

// Read reads the manifest until one node answers.
func (o *Operator) Read(within time.Duration) (version uint64, ok bool) {
	o.mu.Lock()
	nodes := append([]string(nil), o.nodes...)
	o.mu.Unlock()
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		if status, answer := o.Try("GET", nodes[i%len(nodes)], "/-/config/get", nil); status == 200 {
			var d struct {
				Version uint64 `json:"version"`
			}
			if json.Unmarshal(answer, &d) == nil {
				return d.Version, true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, false
}

// Runner is a backend server.
type Runner struct {
	ID, Service, Zone, Address string
	Born                       int64
	Slots                      int
	Record                     *Record

	mu sync.Mutex
	// onRun, if set, is called when a request begins to run.
	onRun    func(r *http.Request)
	nodes    []string
	sequence atomic.Uint64
	state    atomic.Pointer[string]
	server   *http.Server
	stop     context.CancelFunc
}

// StartRunner starts a runner of a service that announces itself to nodes.
func StartRunner(f *Fleet, id, service, zone string, nodes []string) (*Runner, error) {
	r := &Runner{ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli(), Slots: 6, Record: f.Record, nodes: nodes}
	l, err := net.Listen("tcp", f.Network+".3.1:0")
	if err != nil {
		return nil, err
	}
	r.Address = l.Addr().String()
	ready := "ready"
	r.state.Store(&ready)
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go r.beat(ctx)
	return r, nil
}

// SetNodes sets the nodes that serve control.
func (r *Runner) SetNodes(nodes []string) {
	r.mu.Lock()
	r.nodes = nodes
	r.mu.Unlock()
}

// SetOnRun sets what is called when a request begins to run.
func (r *Runner) SetOnRun(f func(*http.Request)) {
	r.mu.Lock()
	r.onRun = f
	r.mu.Unlock()
}

// Close ends the runner.
func (r *Runner) Close() {
	r.stop()
	_ = r.server.Close()
}

func (r *Runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	next := ""
	for i := 0; ctx.Err() == nil; {
		r.mu.Lock()
		nodes := r.nodes
		r.mu.Unlock()
		node := next
		if node == "" {
			node = nodes[i%len(nodes)]
			i++
		}
		if next = r.ping(client, node); next == "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// StopPinging ends the pings. It returns a function that delivers one more ping, made now, to a
// node and returns the status of the answer.
func (r *Runner) StopPinging() (deliver func(node string) int) {
	r.stop()
	body := r.announcement()
	return func(node string) int {
		client := &http.Client{Timeout: time.Second}
		resp, err := client.Post("http://"+node+"/-/instances/"+r.ID+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
}

// Leave says that the runner leaves, and reports whether that was acknowledged.
func (r *Runner) Leave(node string) bool {
	body, _ := json.Marshal(map[string]any{"born": r.Born})
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+node+"/-/instances/"+r.ID+"/leave", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	r.Record.Printf("runner %s leaves, told to %s: %d", r.ID, node, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

func (r *Runner) announcement() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": *r.state.Load(),
		"cold_remaining_ms": 0, "sequence": r.sequence.Add(1), "born": r.Born,
	})
	return body
}

// ping announces the runner to a node and returns the address for the next call, or "".
func (r *Runner) ping(client *http.Client, node string) string {
	resp, err := client.Post("http://"+node+"/-/instances/"+r.ID+"/heartbeat", "application/json", bytes.NewReader(r.announcement()))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var answer struct {
		Next string `json:"heartbeat_addr"`
	}
	if resp.StatusCode != 200 || json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&answer) != nil {
		return ""
	}
	if answer.Next == "" {
		return node
	}
	return answer.Next
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", r.ID)
	if req.URL.Path == "/health" {
		return
	}
	w.Header().Set("X-Request-Id", id)
	if e := req.Header.Get("X-Expect-Instance"); e != "" && e != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Record.Printf("runner %s (%s, %s) runs %s %s %s", r.ID, r.Service, r.Zone, req.Method, req.URL.Path, id)
	r.mu.Lock()
	onRun := r.onRun
	r.mu.Unlock()
	if onRun != nil {
		onRun(req)
	}
	_, _ = io.Copy(io.Discard, req.Body)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("X-Response-Signature", "sig-"+r.ID+"-"+id)
	w.Header().Set("X-Instance-Load", "1,0,"+strconv.Itoa(r.Slots))
	fmt.Fprintf(w, "answer of %s to %s", r.ID, id)
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

var requestNumber atomic.Int64

// Request sends one request on a connection of its own.
func Request(rec *Record, node, host, method, path, body, key string, within time.Duration) (id string, a Answer) {
	id = fmt.Sprintf("%x-%d", time.Now().UnixNano(), requestNumber.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		return id, Answer{Err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(within.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		a.Err = err
	} else {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a = Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
	}
	rec.Printf("client: %s %s %s at %s: %d (%v)", method, path, id, node, a.Status, a.Err)
	return id, a
}

// Manifest returns a manifest with one safe and one unsafe route to the service.
func Manifest(version int) []byte {
	m := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-look", "host": "ficu95.example", "path_prefix": "/look/", "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "reservas", "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "stream_resume": false},
			map[string]any{"name": "r-pay", "host": "ficu95.example", "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "reservas", "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "stream_resume": false},
		},
		"services": []any{map[string]any{"name": "reservas", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
	data, _ := json.Marshal(m)
	return data
}

// Host, Key are those of the manifest.
const (
	Host = "ficu95.example"
	Key  = "n2ctnfzs989anu6wsjnb"
)
