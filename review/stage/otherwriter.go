//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// lookups is how many requests otherWriter sends.
const lookups = 200

// otherWriter has a program that is no runner announced by pings that lack fields, and sends requests.
func otherWriter(s *stage, trouble bool) error {
	_, router, nodes, err := s.startFleet(false)
	if err != nil {
		return err
	}
	for i := range 2 {
		if _, err := s.startServer(fmt.Sprintf("i-%d", i), 7+i, zone(i), nodes); err != nil {
			return err
		}
	}
	if err := s.newOperator(nodes).publish(newManifest(1), 10*time.Second); err != nil {
		return err
	}
	if err := awaitService(router); err != nil {
		return err
	}
	var mu sync.Mutex
	var received []string
	foreign := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		received = append(received, id)
		mu.Unlock()
		s.note("the other program received %s: %s %s", id, r.Method, r.RequestURI)
		http.NotFound(w, r)
	})}
	address := s.address(9, serverPort)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = foreign.Serve(l) }()
	s.onClose(func() { _ = foreign.Close() })
	if trouble {
		for sequence := range 4 {
			body, _ := json.Marshal(map[string]any{"service": service, "address": address, "zone": zone(0), "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence + 1})
			status, answer, err := s.newOperator(nodes).call(nodes[sequence%len(nodes)], http.MethodPost, "/-/instances/cron-host-9/heartbeat", body)
			s.note("ping without version and born: %s answered %d %s, %v", body, status, bytes.TrimSpace(answer), err)
		}
	}
	time.Sleep(time.Second)
	answers := map[int]int{}
	var all sync.WaitGroup
	for i := range lookups {
		all.Go(func() {
			id := fmt.Sprintf("pay-%04d", i)
			status := request(router, http.MethodPost, "/pay/"+id, id)
			s.note("POST /pay/%s answered %d", id, status)
			mu.Lock()
			answers[status]++
			mu.Unlock()
		})
		time.Sleep(15 * time.Millisecond)
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.note("%d of %d payments went to the program that is no runner; answers by status %v", len(received), lookups, answers)
	if len(received) > 0 {
		return broken("ROUTE: %d requests were sent to an address that no runner has; answers by status %v", len(received), answers)
	}
	if answers[http.StatusOK] != lookups {
		return fmt.Errorf("not all requests were served: %v", answers)
	}
	return nil
}

// awaitService waits until the router serves requests.
func awaitService(router string) error {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if request(router, http.MethodGet, "/look/1", fmt.Sprintf("warm-%d", time.Now().UnixNano())) == http.StatusOK {
			time.Sleep(2 * time.Second) // The other server may not be known yet.
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the fleet does not serve")
		}
	}
}
