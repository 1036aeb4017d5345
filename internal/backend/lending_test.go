package backend

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// newMixedServer answers /long without a length, until end is closed, /wait with one, until then, and other paths at once with a
// length and an open connection.
func newMixedServer(t *testing.T, end <-chan struct{}) *unframedServer {
	const framed = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\na"
	return newUnframedServer(t, func(path string, c net.Conn) {
		for br := bufio.NewReader(c); ; {
			kind, id := splitPath(path)
			switch kind {
			case "/long/":
				_, _ = io.WriteString(c, unframedHead+"a")
				<-end
				_, _ = io.WriteString(c, "b")
				return
			case "/wait/":
				_, _ = fmt.Fprintf(c, framed, id)
				<-end
				_, _ = io.WriteString(c, "b")
			default:
				_, _ = fmt.Fprintf(c, framed+"b", id)
			}
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			path = r.URL.Path
		}
	})
}

var requestIDs atomic.Int64

// splitPath returns the kind and the id of the request in a path.
func splitPath(path string) (kind, id string) {
	i := strings.LastIndexByte(path, '/')
	return path[:i+1], path[i+1:]
}

// begin sends a request with an id of its own, which its path ends with, and reads the first byte of its response.
func (s *unframedServer) begin(t *testing.T, pool *Pool, target Target, r Request) (*Response, error) {
	t.Helper()
	r.Method, r.Host, r.ID, r.IDHeader = http.MethodGet, "h", fmt.Sprint(requestIDs.Add(1)), "X-Id"
	r.Kind, r.Target = cmp.Or(r.Kind, r.Target), r.Target+"/"+r.ID
	resp, err := pool.Do(t.Context(), target, &r)
	if err != nil {
		return nil, err
	}
	t.Cleanup(resp.Close)
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	return resp, err
}

// awaitWitnessOf waits until the response has a witness.
func awaitWitnessOf(t *testing.T, resp *Response) {
	t.Helper()
	s := resp.conn.pool
	for recorded := false; !recorded; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		recorded = resp.conn.hasWitness
		s.mu.Unlock()
	}
}

// Guards against a long response without a length whose witness leaves no connection for other requests, and against one that
// counts as cut since its witness gave way.
func TestAWitnessGivesWayToRequests(t *testing.T) {
	const requests = 200
	for name, tc := range map[string]struct {
		limit         int
		nonIdempotent bool
		idle          time.Duration
	}{
		"limit 2":                     {2, false, 0},
		"limit 3":                     {3, false, 0},
		"non-idempotent":              {2, true, 0},
		"non-idempotent, old witness": {2, true, defaultIdleTimeout * 3 / 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := make(chan struct{})
			s := newMixedServer(t, end)
			pool, target := newRunningPool(t), s.target()
			target.MaxConnections = tc.limit
			long, err := s.begin(t, pool, target, Request{Target: "/long"})
			if err != nil {
				t.Fatal(err)
			}
			if tc.idle > 0 {
				awaitWitnessOf(t, long)
				sp := long.conn.pool
				sp.mu.Lock()
				sp.witness.idleSince = time.Now().Add(-tc.idle)
				sp.mu.Unlock()
			}
			for i := range requests {
				resp, err := s.begin(t, pool, target, Request{Target: "/length", NonIdempotent: tc.nonIdempotent})
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				if _, err := resp.ReadAll(10, func(int64) error { return nil }); err != nil {
					t.Fatal(err)
				}
				resp.Close()
			}
			awaitWitnessOf(t, long)
			// It ends while a request uses its witness.
			for range tc.limit - 1 {
				if _, err := s.begin(t, pool, target, Request{Target: "/length"}); err != nil {
					t.Fatal(err)
				}
			}
			close(end)
			if rest, err := io.ReadAll(long.Body); string(rest) != "b" || err != nil {
				t.Errorf("read %q, %v", rest, err)
			}
		})
	}
}

// Guards against a cut response that passes for whole since its witness served a request when the server's process ended, also if
// another process has the address at once.
func TestAResponseWhoseWitnessGaveWayIsNotWholeIfItsServerEnds(t *testing.T) {
	for name, kill := range map[string]func(s *unframedServer){"killed": (*unframedServer).kill, "replaced": (*unframedServer).endConnections} {
		for _, other := range []string{"/wait", "/long"} { // The form of the second response is not known when it begins.
			end := make(chan struct{})
			s := newMixedServer(t, end)
			pool, target := newRunningPool(t), s.target()
			target.MaxConnections = 2
			long, err := s.begin(t, pool, target, Request{Target: "/long", Kind: "long"})
			if err != nil {
				t.Fatal(err)
			}
			awaitWitnessOf(t, long)
			second, err := s.begin(t, pool, target, Request{Target: other, Kind: "other"})
			if err != nil {
				t.Fatal(err)
			}
			kill(s)
			var wg sync.WaitGroup
			for which, resp := range map[string]*Response{"first": long, "second": second} {
				wg.Go(func() {
					if rest, err := io.ReadAll(resp.Body); err == nil || other == "/long" && !errors.Is(err, ErrEndUnconfirmed) {
						t.Errorf("%s, %s beside %s: read %q, %v", name, which, other, rest, err)
					}
				})
			}
			wg.Wait()
			close(end)
		}
	}
}

// Guards against witnesses that give way to requests whose responses end their connections: two that end together would have no
// witness.
func TestAWitnessDoesNotGiveWayToAResponseThatEndsItsConnection(t *testing.T) {
	end := make(chan struct{})
	s := newMixedServer(t, end)
	pool, target := newRunningPool(t), s.target()
	target.MaxConnections = 2
	long, err := s.begin(t, pool, target, Request{Target: "/long", Kind: "long"})
	if err != nil {
		t.Fatal(err)
	}
	awaitWitnessOf(t, long)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := pool.Do(ctx, target, &Request{Method: http.MethodGet, Target: "/long", Host: "h", Kind: "long"}); !errkind.Is(err, errkind.QueueFull) {
		t.Errorf("second response without a length: %v, want queue-full", err)
	}
	close(end)
	if rest, err := io.ReadAll(long.Body); string(rest) != "b" || err != nil {
		t.Errorf("read %q, %v", rest, err)
	}
}

// Guards against a server that closes one witness soon, gets new connections from then on as if it closed all, and
// refused requests at the limit of connections meanwhile.
func TestOneWitnessThatEndsSoonCostsFewConnections(t *testing.T) {
	const (
		lasts, idle = 5 * time.Second, 350 * time.Millisecond
		// maxConnections are the response's, the witness that ends, and those that are opened while the time doubles for which
		// they are known to last. One of half that time in each would be 28.
		maxConnections = 14
	)
	for _, limit := range []int{0, 4} {
		t.Run(fmt.Sprint("limit ", limit), func(t *testing.T) {
			t.Parallel()
			end := make(chan struct{})
			s := newMixedServer(t, end)
			pool, target := newRunningPool(t), s.target()
			target.MaxConnections = limit
			long, err := s.begin(t, pool, target, Request{Target: "/long"})
			if err != nil {
				t.Fatal(err)
			}
			awaitWitnessOf(t, long)
			sp := long.conn.pool
			sp.mu.Lock()
			witness := sp.witness.LocalAddr().String()
			sp.mu.Unlock()
			time.Sleep(idle)
			s.endConnectionOf(witness)
			for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				if limit == 0 {
					continue
				}
				resp, err := s.begin(t, pool, target, Request{Target: "/length"})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := resp.ReadAll(10, func(int64) error { return nil }); err != nil {
					t.Fatal(err)
				}
				resp.Close()
			}
			awaitWitnessOf(t, long)
			close(end)
			if rest, err := io.ReadAll(long.Body); string(rest) != "b" || err != nil {
				t.Errorf("read %q, %v", rest, err)
			}
			if got := s.accepted.Load(); got > maxConnections {
				t.Errorf("%d connections in %v, want at most %d", got, lasts, maxConnections)
			}
		})
	}
}

// endConnectionOf ends the connection with a remote address.
func (s *unframedServer) endConnectionOf(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.RemoteAddr().String() == address {
			_ = c.Close()
		}
	}
}
