//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a runner of the application service.
type server struct {
	s           *stage
	id, address string
	zone        string
	born        int64
	nodes       []string

	mu       sync.Mutex
	sequence int
	runs     map[string]int
	// tenants holds the X-Tenant-Id of each request that ran.
	tenants map[string]string
	// losesAnswer, if set, says whether the answer to a request that ran is lost: the connection is reset.
	losesAnswer func(id string) bool
}

func (s *stage) startServer(id string, hostNumber int, zone string, nodes []string) (*server, error) {
	v := &server{s: s, id: id, address: s.address(hostNumber, serverPort), zone: zone, born: time.Now().UnixMilli(), nodes: nodes, runs: map[string]int{}, tenants: map[string]string{}}
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return nil, err
	}
	hs := &http.Server{Handler: http.HandlerFunc(v.serve)}
	go func() { _ = hs.Serve(l) }()
	stop := make(chan struct{})
	go v.announce(stop)
	s.onClose(func() {
		close(stop)
		_ = hs.Close()
	})
	return v, nil
}

func (v *server) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	v.mu.Lock()
	v.runs[id]++
	v.tenants[id] = r.Header.Get("X-Tenant-Id")
	loses := v.losesAnswer
	v.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if loses != nil && loses(id) {
		v.s.note("server %s ran %s (%s %s) and loses the answer", v.id, id, r.Method, r.RequestURI)
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "3e1b."+id)
	w.Header().Set("X-Instance-Id", v.id)
	w.Header().Set("X-Instance-Load", "1,0,6")
	_, _ = fmt.Fprintf(w, "ran %s with %d bytes\n", id, len(body))
}

// announce sends heartbeats every 1.2 s, to one node after another until one acknowledges.
func (v *server) announce(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for first := 0; ; {
		for i := range v.nodes {
			v.mu.Lock()
			v.sequence++
			sequence := v.sequence
			v.mu.Unlock()
			body, _ := json.Marshal(map[string]any{
				"service": service, "address": v.address, "zone": v.zone, "version": "v1", "slots": 6, "state": "ready",
				"cold_remaining_ms": 0, "stage": "both", "models": []any{}, "sequence": sequence, "born": v.born,
			})
			node := v.nodes[(first+i)%len(v.nodes)]
			resp, err := client.Post("http://"+node+"/-/instances/"+v.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					first = (first + i) % len(v.nodes)
					break
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// loseAnswers has the server lose the answers for which lost returns true.
func (v *server) loseAnswers(lost func(id string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.losesAnswer = lost
}

// runsOf returns how often the server ran a request.
func (v *server) runsOf(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[id]
}

// tenantOf returns the tenant with which a request ran, and whether it ran.
func (v *server) tenantOf(id string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	tenant, ran := v.tenants[id]
	return tenant, ran
}
