//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// requesters send lookups at a steady rate to one router after another and count the answers by second.
type requesters struct {
	s       *stage
	routers []string
	prefix  string

	next atomic.Int64
	mu   sync.Mutex
	// answers holds the status of each answer, 0 for none, and when the request was sent.
	answers []answer
}

type answer struct {
	sentAt time.Time
	status int
}

func (s *stage) startRequesters(routers []string, interval time.Duration) *requesters {
	q := &requesters{s: s, routers: routers, prefix: "q"}
	stop := make(chan struct{})
	s.onClose(func() { close(stop) })
	go func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				go q.send()
			}
		}
	}()
	return q
}

func (q *requesters) send() {
	n := q.next.Add(1)
	a := answer{sentAt: time.Now()}
	a.status = request(q.routers[int(n)%len(q.routers)], http.MethodGet, "/look/1", fmt.Sprintf("%s%06d", q.prefix, n))
	q.mu.Lock()
	q.answers = append(q.answers, a)
	q.mu.Unlock()
}

// request sends one request and returns the status of its answer, or 0.
func request(router, method, path, id string) int {
	return requestWithKey(router, method, path, id, apiKey)
}

// requestWithKey is request with another key, or with none if it is empty.
func requestWithKey(router, method, path, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// counts returns the answers to requests that were sent in a span, by status.
func (q *requesters) counts(from, to time.Time) map[int]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[int]int{}
	for _, a := range q.answers {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			out[a.status]++
		}
	}
	return out
}
