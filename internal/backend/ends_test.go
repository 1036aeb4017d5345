package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// unframedServer answers without a length. A connection ends when the handler of its request returns.
type unframedServer struct {
	listener net.Listener
	accepted atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

func newUnframedServer(t *testing.T, handle func(path string, c net.Conn)) *unframedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &unframedServer{listener: l, conns: map[net.Conn]bool{}}
	t.Cleanup(s.kill)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					handle(r.URL.Path, c)
				}
			}()
		}
	}()
	return s
}

// endOneByOne closes the listener, and then the connections, each some time after the one before.
func (s *unframedServer) endOneByOne(pause time.Duration) {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
		time.Sleep(pause)
	}
}

// endConnections ends all connections in order, as the kernel does for a killed process.
func (s *unframedServer) endConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// kill ends the connections, and then the listener.
func (s *unframedServer) kill() {
	s.endConnections()
	_ = s.listener.Close()
}

func (s *unframedServer) target() Target {
	return Target{ID: "s", Born: 1, Address: s.listener.Addr().String()}
}

// newRunningPool returns a pool whose sweeps run until the test ends.
func newRunningPool(t *testing.T) *Pool {
	t.Helper()
	pool := NewPool(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = pool.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return pool
}

// get requests a path and returns the body that was read.
func (s *unframedServer) get(t *testing.T, pool *Pool, path string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := pool.Do(ctx, s.target(), &Request{Method: http.MethodGet, Target: path, Host: "h"})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against responses without a length that are cut by the end of the server's process and pass for whole,
// also if another process takes the address at once, or if it ends its connections one by one over longer than an
// end is looked at.
func TestAResponseIsNotWholeIfItsServerEndsWithIt(t *testing.T) {
	for name, end := range map[string]func(s *unframedServer){
		"killed":     (*unframedServer).kill,
		"replaced":   (*unframedServer).endConnections,
		"one by one": func(s *unframedServer) { s.endOneByOne(4 * streamEndTime / 20) },
	} {
		begun := make(chan struct{}, 100)
		s := newUnframedServer(t, func(path string, c net.Conn) {
			_, _ = io.WriteString(c, unframedHead+"part")
			begun <- struct{}{}
			_, _ = c.Read(make([]byte, 1)) // Until the connection ends.
		})
		pool := newRunningPool(t)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				if body, err := s.get(t, pool, "/"); !errors.Is(err, ErrEndUnconfirmed) {
					t.Errorf("%s: read %q, %v, want an end that is not confirmed", name, body, err)
				}
			})
		}
		for range 20 {
			<-begun
		}
		time.Sleep(200 * time.Millisecond) // A response that lasts has a witness.
		end(s)
		wg.Wait()
	}
}

// Guards against an answer that is over at once and passes for whole although its server ended with it, where there
// was no time for a second connection.
func TestAnAnswerThatIsOverAtOnceIsNotWholeIfItsServerEndsWithIt(t *testing.T) {
	var s *unframedServer
	s = newUnframedServer(t, func(path string, c net.Conn) {
		_ = s.listener.Close()
		_, _ = io.WriteString(c, unframedHead+"part")
		s.endConnections()
	})
	if body, err := s.get(t, newRunningPool(t), "/"); !errors.Is(err, ErrEndUnconfirmed) {
		t.Errorf("read %q, %v, want an end that is not confirmed", body, err)
	}
}

// Guards against whole responses without a length that count as cut: the first one of a server, one that is over at once,
// several that end together, and one that lasts longer than the server keeps idle connections.
func TestAResponseWithoutALengthOfALiveServerIsWhole(t *testing.T) {
	together := make(chan struct{})
	s := newUnframedServer(t, func(path string, c net.Conn) {
		_, _ = io.WriteString(c, unframedHead+"a")
		switch path {
		case "/together":
			<-together
		case "/long":
			time.Sleep(6 * time.Second)
		}
		_, _ = io.WriteString(c, "b")
	})
	pool := newRunningPool(t)
	get := func(path string) {
		if body, err := s.get(t, pool, path); body != "ab" || err != nil {
			t.Errorf("%s: read %q, %v", path, body, err)
		}
	}
	for range 3 {
		get("/")
	}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { get("/") })
		wg.Go(func() { get("/together") })
	}
	time.AfterFunc(500*time.Millisecond, func() { close(together) })
	wg.Go(func() { get("/long") })
	wg.Wait()
}

// Guards against connections that are opened only in order to confirm ends: the next request uses them.
func TestConfirmedEndsTakeOneConnectionMore(t *testing.T) {
	const responses = 10 // They take less time than a witness lasts.
	s := newUnframedServer(t, func(path string, c net.Conn) { _, _ = io.WriteString(c, unframedHead+"a") })
	pool := newRunningPool(t)
	for range responses {
		if _, err := s.get(t, pool, "/"); err != nil {
			t.Fatal(err)
		}
		p := pool.poolFor(s.target())
		// The connection may be opened later than the end is confirmed.
		for isIdle, end := false, time.Now().Add(100*time.Millisecond); !isIdle && time.Now().Before(end); time.Sleep(time.Millisecond) {
			p.mu.Lock()
			isIdle = len(p.idle) > 0
			p.mu.Unlock()
		}
	}
	if got := s.accepted.Load(); got > responses+2 {
		t.Errorf("%d connections for %d responses one after another, want at most 2 more", got, responses)
	}
}

// Guards against ends that are confirmed although the response has a length, or no body: these cost nothing.
func TestOnlyEndsOfConnectionsAreConfirmed(t *testing.T) {
	s := newUnframedServer(t, func(path string, c net.Conn) {
		switch path {
		case "/length":
			_, _ = io.WriteString(c, strings.Replace(unframedHead, "Connection: close", "Content-Length: 1", 1)+"a")
		case "/none":
			_, _ = io.WriteString(c, strings.Replace(unframedHead, "200 OK", "204 No Content", 1))
		}
	})
	for _, path := range []string{"/length", "/none"} {
		before := s.accepted.Load()
		if _, err := s.get(t, NewPool(Options{}), path); err != nil {
			t.Error(path, err)
		}
		if got := s.accepted.Load() - before; got != 1 {
			t.Errorf("%s: %d connections, want 1", path, got)
		}
	}
}

// Guards against a response that passes for whole since the server's limit of connections left no room for a witness: another
// response vouches for a server that has closed its listener and ends its connections one by one.
func TestAResponseWithoutAWitnessIsNotWholeIfItsServerRefusesConnections(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		begun, goOn := make(chan struct{}), map[string]chan struct{}{"/first": make(chan struct{}), "/second": make(chan struct{})}
		answer := make(chan struct{})
		s := newUnframedServer(t, func(path string, c net.Conn) {
			begun <- struct{}{}
			<-answer // Both connections are open by then, so that none is left for a witness.
			_, _ = io.WriteString(c, unframedHead+"part")
			<-goOn[path]
		})
		pool, target := newRunningPool(t), s.target()
		target.MaxConnections = 2
		bodies := map[string]io.Reader{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for path := range goOn {
			wg.Go(func() {
				resp, err := pool.Do(t.Context(), target, &Request{Method: http.MethodGet, Target: path, Host: "h"})
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(resp.Close)
				mu.Lock()
				defer mu.Unlock()
				bodies[path] = resp.Body
			})
		}
		<-begun
		<-begun
		close(answer)
		wg.Wait()
		if t.Failed() {
			return
		}
		if refuses {
			_ = s.listener.Close()
		}
		close(goOn["/first"])
		if body, err := io.ReadAll(bodies["/first"]); string(body) != "part" || errors.Is(err, ErrEndUnconfirmed) != refuses || !refuses && err != nil {
			t.Errorf("refuses connections %t: read %q, %v", refuses, body, err)
		}
		if got := s.accepted.Load(); got > 3 {
			t.Errorf("%d connections, want 2 at a time, and the third after the first", got)
		}
		close(goOn["/second"])
	}
}
