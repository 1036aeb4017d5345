package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Guards against a router that is stopped, or too busy to look at its witnesses before the deadline, and takes the end
// of a killed server's response for whole.
func TestWitnessesAreLookedAtAfterTheDeadline(t *testing.T) {
	s := newUnframedServer(t, func(_ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	w, err := newRunningPool(t).poolFor(s.target()).open(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.Close() }()
	tick, deadline, outlasted := make(chan time.Time), make(chan time.Time), make(chan bool, 1)
	go func() {
		ok, err := outlast(t.Context(), []*conn{w}, tick, deadline)
		outlasted <- ok || err != nil
	}()
	tick <- time.Now()
	time.Sleep(20 * time.Millisecond) // The look after this tick is the last one before the deadline.
	s.kill()
	for w.isOpen() {
		time.Sleep(time.Millisecond)
	}
	deadline <- time.Now()
	if <-outlasted {
		t.Error("a witness that ended before the deadline was passed confirms the end")
	}
}

// Guards against whole streams that count as cut because their witness was replaced: by a connection that was opened for
// another request later, or within the time in which their ends are looked at.
func TestAStreamOutlastsItsWitness(t *testing.T) {
	s := newUnframedServer(t, func(path string, c net.Conn) {
		if path == "/length" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
			_, _ = c.Read(make([]byte, 1)) // Until the connection ends.
			return
		}
		lasts, err := time.ParseDuration(path[1:])
		if err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(c, unframedHead+"a")
		time.Sleep(lasts)
		_, _ = io.WriteString(c, "b")
	})
	var wg sync.WaitGroup
	for _, other := range []bool{false, true} {
		for lasts := 2500 * time.Millisecond; lasts < 5*time.Second; lasts += 25 * time.Millisecond {
			wg.Go(func() {
				pool := newRunningPool(t)
				if other {
					time.AfterFunc(1500*time.Millisecond, func() {
						if _, err := s.getWhole(t, pool, "/length"); err != nil {
							t.Error(err)
						}
					})
				}
				if body, err := s.get(t, pool, "/"+lasts.String()); body != "ab" || err != nil {
					t.Errorf("%v, other request %t: read %q, %v", lasts, other, body, err)
				}
			})
		}
	}
	wg.Wait()
}

// getWhole requests a path whose response has a length, so that its connection is used again.
func (s *unframedServer) getWhole(t *testing.T, pool *Pool, path string) ([]byte, error) {
	t.Helper()
	resp, err := pool.Do(t.Context(), s.target(), &Request{Method: http.MethodGet, Target: path, Host: "h"})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	return resp.ReadAll(100, func(int64) error { return nil })
}

// Guards against whole responses that count as cut because all connections that a router may open are in use by them.
func TestManyResponsesAtTheLimitOfConnectionsAreWhole(t *testing.T) {
	const limit = 4
	for range 25 {
		s := newUnframedServer(t, func(_ string, c net.Conn) { _, _ = io.WriteString(c, unframedHead+"ab") })
		pool, target := newRunningPool(t), s.target()
		target.MaxConnections = limit
		var wg sync.WaitGroup
		for range limit {
			wg.Go(func() {
				resp, err := pool.Do(t.Context(), target, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
				if !MayHaveBeenSent(err) && err != nil {
					return // The witness may take the connection of a request.
				}
				if err != nil {
					t.Error(err)
					return
				}
				defer resp.Close()
				if body, err := io.ReadAll(resp.Body); string(body) != "ab" || err != nil {
					t.Errorf("read %q, %v", body, err)
				}
			})
		}
		wg.Wait()
	}
}

// Guards against whole responses that count as cut since their server closes idle connections soon, or takes few
// connections and resets others.
func TestServersThatCloseWitnessesSoonAreWatched(t *testing.T) {
	const idle = time.Second
	for _, limit := range []int64{0, 2} {
		var open atomic.Int64
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if limit > 0 && open.Load() >= limit {
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
					continue
				}
				open.Add(1)
				go func() {
					defer open.Add(-1)
					defer func() { _ = c.Close() }()
					_ = c.SetReadDeadline(time.Now().Add(idle))
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					lasts, _ := time.ParseDuration(r.URL.Path[1:])
					_, _ = io.WriteString(c, unframedHead+"a")
					time.Sleep(lasts)
					_, _ = io.WriteString(c, "b")
				}()
			}
		}()
		s := &unframedServer{listener: l}
		pool := newRunningPool(t)
		if _, err := s.get(t, pool, "/1.5s"); err != nil { // The first shows for how long.
			t.Errorf("limit %d, the first response: %v", limit, err)
		}
		var wg sync.WaitGroup
		for i := range 40 {
			if limit > 0 && i >= 8 {
				break
			}
			get := func() {
				lasts := time.Duration(50*i) * time.Millisecond
				if body, err := s.get(t, pool, "/"+lasts.String()); body != "ab" || err != nil {
					t.Errorf("limit %d, %v: read %q, %v", limit, lasts, body, err)
				}
			}
			if limit > 0 {
				get()
			} else {
				wg.Go(get)
			}
		}
		wg.Wait()
	}
}

// Guards against an answer that was over at once, is read late, since the router was stopped, and passes for whole
// although its server ended with it: another process has the address by then, or is known to.
func TestAnAnswerThatIsReadLateNeedsAWitness(t *testing.T) {
	for name, tc := range map[string]struct {
		late, dial      time.Duration
		replaced, sound bool
	}{
		"read at once":              {0, 0, false, true},
		"read late":                 {3 * maxLateRead, 0, false, false},
		"read after a probe":        {rpc.KeepAliveIdle + maxLateRead/2, 0, false, false},
		"connected late":            {0, 3 * maxLateRead / 2, false, false},
		"known to have a successor": {0, 0, true, false},
	} {
		s := newUnframedServer(t, func(_ string, c net.Conn) { _, _ = io.WriteString(c, unframedHead+"part") })
		pool := newRunningPool(t)
		pool.opts.IsReplaced = func(got Target) bool { return tc.replaced && got == s.target() }
		var dials atomic.Int64
		dial := pool.opts.Dial
		pool.opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				time.Sleep(tc.dial)
			}
			return dial(ctx, address)
		}
		resp, err := pool.Do(t.Context(), s.target(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		first := resp.conn
		if tc.late > 0 || tc.replaced {
			for first.isOpen() {
				time.Sleep(time.Millisecond)
			}
			// No witness was there when the answer ended: one that was shows that the process lives, whatever is known of it.
			pool.poolFor(s.target()).mu.Lock()
			first.hasWitness, first.seenOpenAt = false, first.openedAt
			pool.poolFor(s.target()).mu.Unlock()
			time.Sleep(tc.late)
		}
		_, err = io.ReadAll(resp.Body)
		resp.Close()
		if tc.sound != (err == nil) || err != nil && !errors.Is(err, ErrEndUnconfirmed) {
			t.Errorf("%s: %v, want a whole answer: %t", name, err, tc.sound)
		}
	}
}
