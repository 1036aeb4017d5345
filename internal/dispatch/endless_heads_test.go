package dispatch

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against heads without end, of short lines with different names, that together take a
// router's memory: they cost 25 times their bytes. Half of the smallest VM, one of 184 MB, must be
// enough for 100 at once.
func TestManyEndlessHeadsCostBoundedMemory(t *testing.T) {
	const (
		concurrent   = 100
		maxHeap      = 92 << 20
		endlessBytes = 4 << 20
	)
	var lines strings.Builder
	for i := 0; lines.Len() < 512<<10; i++ {
		fmt.Fprintf(&lines, "A%x: 1\r\n", i)
	}
	rest := []byte(lines.String()) // All servers write this copy, so that they take no memory.
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
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
				for written := 0; written < endlessBytes && err == nil; written += len(rest) {
					_, err = c.Write(rest)
				}
			}()
		}
	}()
	transport := newTransport()
	runtime.GC() // The tests before leave long bodies.
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	var wg sync.WaitGroup
	for range concurrent {
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", nil)
			if err != nil {
				t.Error(err)
				return
			}
			if resp, err := transport.RoundTrip(req); err == nil {
				_ = resp.Body.Close()
				t.Error("a head without end was taken for a response")
			}
		})
	}
	wg.Wait()
	close(stop)
	most := <-peak
	t.Logf("%d requests took the heap to %d MB", concurrent, most>>20)
	if most > maxHeap {
		t.Errorf("%d requests took the heap to %d MB, want at most %d", concurrent, most>>20, maxHeap>>20)
	}
}
