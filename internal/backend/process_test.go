package backend

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/clock"
)

// startCall is how the servers of these tests tell their start: the body is a number.
var startCall = &StartCall{Path: "/start", Parse: func(status int, body []byte) (int64, bool) {
	born, err := strconv.ParseInt(string(body), 10, 64)
	return born, status == 200 && err == nil
}}

func startAnswer(status int, body string, headers ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "\r\n" + body
}

// Guards against answers that are taken for what they do not say: a process that is not understood, or not reached in time, neither
// runs nor has ended.
func TestWhatAServerSaysOfItsStartIsTakenAsItIs(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		want   Run
	}{
		"the start":                  {startAnswer(200, "1"), Runs},
		"another start":              {startAnswer(200, "2"), Replaced},
		"ends the connection":        {startAnswer(200, "1", "Connection: close"), Runs},
		"another, and ends":          {startAnswer(200, "2", "Connection: close"), Replaced},
		"an interim response before": {"HTTP/1.1 103 Early Hints\r\n\r\n" + startAnswer(200, "1"), Runs},
		"no start":                   {startAnswer(200, "x"), Untold},
		"does not know the call":     {startAnswer(404, "1"), Untold},
		"no length":                  {"HTTP/1.1 200 OK\r\n\r\n1", Unclear},
		"too long":                   {startAnswer(200, strings.Repeat("1", maxStartCallBytes+1)), Unclear},
		"nothing":                    {"", Unclear},
		"not HTTP":                   {"born 1\r\n\r\n", Unclear},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUnframedServer(t, func(_ string, c net.Conn) { _, _ = c.Write([]byte(tc.answer)) })
			pool := NewPool(Options{StartCall: startCall})
			run, err := pool.RunsSince(t.Context(), s.target(), clock.SinceBoot())
			if run != tc.want || (err == nil) != (run == Runs) {
				t.Errorf("got %d, %v, want %d", run, err, tc.want)
			}
		})
	}
	s := newUnframedServer(t, func(string, net.Conn) { time.Sleep(2 * startCallTimeout) })
	pool := NewPool(Options{StartCall: startCall})
	if run, err := pool.RunsSince(t.Context(), s.target(), clock.SinceBoot()); run != Unclear || err == nil {
		t.Errorf("a server that does not answer: %d, %v", run, err)
	}
	s.kill()
	if run, err := pool.RunsSince(t.Context(), s.target(), clock.SinceBoot()); run != Unreached || err == nil {
		t.Errorf("a server that has ended: %d, %v", run, err)
	}
}

// Guards against a connection for each of the requests that ask about one server at the same time, and against an answer to
// what was asked before a request asked.
func TestRequestsThatAskAtTheSameTimeShareTheAnswer(t *testing.T) {
	var asked atomic.Int64
	s := newUnframedServer(t, func(_ string, c net.Conn) {
		asked.Add(1)
		time.Sleep(50 * time.Millisecond)
		_, _ = c.Write([]byte(startAnswer(200, "1")))
	})
	pool := NewPool(Options{StartCall: startCall})
	at := clock.SinceBoot()
	var done sync.WaitGroup
	for range 20 {
		done.Go(func() {
			if run, err := pool.RunsSince(t.Context(), s.target(), at); run != Runs {
				t.Errorf("got %d, %v", run, err)
			}
		})
	}
	done.Wait()
	if n := asked.Load(); n != 1 {
		t.Errorf("%d calls for one answer", n)
	}
	if run, _ := pool.RunsSince(t.Context(), s.target(), clock.SinceBoot()); run != Runs || asked.Load() != 2 {
		t.Errorf("got %d after %d calls, want an answer to a later one", run, asked.Load())
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if run, err := pool.RunsSince(ctx, s.target(), clock.SinceBoot()); run != Unclear || err == nil {
		t.Errorf("a request that has ended got %d, %v", run, err)
	}
}

// Guards against a process that is taken for an incarnation on a connection that was opened after it was known to run.
func TestAConnectionIsKnownIfItsIncarnationRanLater(t *testing.T) {
	s := &serverPool{incarnation: incarnation{id: "s", born: 1}}
	told, other := &conn{pool: s, told: true, born: 1, connectedAt: 5}, &conn{pool: s, told: true, born: 2, connectedAt: 5}
	early, late := &conn{pool: s, connectedAt: 9}, &conn{pool: s, connectedAt: 11}
	s.recordRan(other, 20)
	if s.processOf(early).Told {
		t.Error("known by another process")
	}
	s.recordRan(told, 10)
	s.recordRan(told, 7)
	if p := s.processOf(early); !p.Told || p.Born != 1 {
		t.Errorf("opened before the incarnation ran: %+v", p)
	}
	if s.processOf(late).Told {
		t.Error("opened after the incarnation ran, and known")
	}
	if p := s.processOf(other); !p.Told || p.Born != 2 {
		t.Errorf("the other process: %+v", p)
	}
}
