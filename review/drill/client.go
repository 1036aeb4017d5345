//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requester sends requests over kept connections to the routers.
type requester struct {
	f        *fleet
	rec      *record
	host     string
	key      string
	http     *http.Client
	sentAt   sync.Map
	statuses sync.Map
	serial   atomic.Int64
	prefix   string
}

func newRequester(f *fleet, host, key string) *requester {
	return &requester{f: f, rec: f.rec, host: host, key: key, prefix: fmt.Sprintf("%08x", rand.Uint32()), http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, DisableKeepAlives: false}}}
}

// request sends one request with an id of its own.
func (q *requester) request(ctx context.Context, address, method, path, body string, deadline time.Duration) (id string, status int, retryAfter string) {
	id = fmt.Sprintf("%s%08x", q.prefix, q.serial.Add(1))
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return id, 0, ""
	}
	req.GetBody = nil
	req.Host = q.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Api-Key", q.key)
	q.sentAt.Store(id, time.Now())
	q.rec.add("sent %s to %s", id, address)
	resp, err := q.http.Do(req)
	if err != nil {
		q.rec.add("answer to %s: %v", id, err)
		q.count("no answer")
		return id, 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	q.rec.add("answer to %s: %d %s %v", id, resp.StatusCode, resp.Header.Get("X-Response-Signature"), err)
	q.count(fmt.Sprint(resp.StatusCode))
	return id, resp.StatusCode, resp.Header.Get("Retry-After")
}

func (q *requester) count(status string) {
	n, _ := q.statuses.LoadOrStore(status, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (q *requester) counts() string {
	var parts []string
	q.statuses.Range(func(k, v any) bool {
		parts = append(parts, fmt.Sprintf("%s: %d", k, v.(*atomic.Int64).Load()))
		return true
	})
	return strings.Join(parts, ", ")
}

// reset begins to count anew.
func (q *requester) reset() { q.statuses.Clear() }
