//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server and that the server began to work on.
type arrival struct {
	id, server string
	at         time.Time
	cold       bool
}

// arrivals are those at all servers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	a.list = append(a.list, x)
	a.mu.Unlock()
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival{}, a.list...)
}

// server is a stand-in of a runner: it announces itself, tells its load and its start, and answers each request after some
// work.
type server struct {
	id, service, zone, address, version string
	slots                               int
	work                                time.Duration
	born                                int64
	coldUntil                           time.Time
	arrivals                            *arrivals
	rec                                 *record
	controls                            []string
	sequence                            atomic.Int64
	running, waiting                    atomic.Int64
	places                              chan struct{}
	state                               atomic.Value
	http                                *http.Server
	cancel                              context.CancelFunc
	// firstBeat is how late the first heartbeat arrives.
	firstBeat time.Duration
	// crashAt is how many requests within a second end the server while it is cold; 0 if none do.
	crashAt int
	mu      sync.Mutex
	recent  []time.Time
}

// startServer starts a server at a free port of ip.
func startServer(f *fleet, all *arrivals, ip, service, zone string, slots int, work, cold time.Duration) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	now := time.Now()
	s := &server{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, address: l.Addr().String(), version: "v1", slots: slots, work: work,
		born: now.UnixMilli(), coldUntil: now.Add(cold), arrivals: all, rec: f.rec, controls: f.controlAddresses(), places: make(chan struct{}, slots),
	}
	s.state.Store("ready")
	s.serve(l)
	return s, nil
}

func (s *server) serve(l net.Listener) {
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.rec.add("server %s of %s in %s started at %s, born %d, cold for %s, first heartbeat late by %s", s.id, s.service, s.zone, s.address, s.born, s.coldLeft().Round(time.Millisecond), s.firstBeat)
	go s.beat(ctx)
}

// startAgain starts a crashed server under the id and the address that it had. It knows nothing of before.
func (s *server) startAgain(cold, firstBeat time.Duration, crashAt int) (*server, error) {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	now := time.Now()
	next := &server{
		id: s.id, service: s.service, zone: s.zone, address: s.address, version: s.version, slots: s.slots, work: s.work, born: now.UnixMilli(), coldUntil: now.Add(cold),
		arrivals: s.arrivals, rec: s.rec, controls: s.controls, places: make(chan struct{}, s.slots), firstBeat: firstBeat, crashAt: crashAt,
	}
	next.state.Store("ready")
	next.serve(l)
	return next, nil
}

func (s *server) coldLeft() time.Duration { return max(0, time.Until(s.coldUntil)) }

// beat sends a heartbeat about every 1.2 s, to the next control machine where one fails.
func (s *server) beat(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(s.firstBeat):
	}
	for at := rand.IntN(len(s.controls)); ; {
		body := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": s.state.Load(), "cold_remaining_ms": s.coldLeft().Milliseconds(),
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": s.sequence.Add(1), "born": s.born,
		}
		wait := 1200 * time.Millisecond
		if status, _, err := call(http.MethodPost, "http://"+s.controls[at]+"/-/instances/"+s.id+"/heartbeat", body); err != nil || status/100 != 2 {
			at, wait = (at+1)%len(s.controls), 50*time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=30")
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/-/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":%d,"running":%d,"kv_used":0,"kv_total":500000,"handles":0,"born":%d}`, s.waiting.Load(), s.running.Load(), s.born)
		return
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		h.Set("X-Instance-Id", s.id)
		h.Set("X-Cold-Ms", strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
		return
	}
	at, id := time.Now(), r.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(r.Body)
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.waiting.Add(1)
	select {
	case s.places <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	defer func() { <-s.places }()
	s.running.Add(1)
	defer s.running.Add(-1)
	cold := s.coldLeft() > 0
	s.arrivals.add(arrival{id: id, server: s.id, at: at, cold: cold})
	s.rec.add("run %s at %s, cold %t, tenant %s", id, s.id, cold, r.Header.Get("X-Tenant-Id"))
	if cold && s.overrun(at) {
		s.rec.say("server %s crashes: it got %d requests within a second while it was cold, and holds %d", s.id, s.crashAt, s.running.Load())
		s.crash()
		return
	}
	time.Sleep(s.work)
	text := fmt.Sprintf("answer to %s, %d bytes", id, len(body))
	h.Set("X-Response-Signature", "sig-"+s.id+"-"+id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// overrun reports whether the cold server has got so many requests within a second that it crashes.
func (s *server) overrun(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, now)
	for now.Sub(s.recent[0]) > time.Second {
		s.recent = s.recent[1:]
	}
	return s.crashAt > 0 && len(s.recent) == s.crashAt
}

// crash ends the server without a word.
func (s *server) crash() {
	s.cancel()
	_ = s.http.Close()
	s.rec.add("server %s crashed", s.id)
}
