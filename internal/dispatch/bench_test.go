package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// benchClient returns a transport with enough idle connections that none is
// dialled in the loop.
func benchClient() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
}

func roundTrip(b *testing.B, t http.RoundTripper, req *http.Request) {
	resp, err := t.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
}

// BenchmarkShortRequest measures time and allocations of a short request, direct
// and through the dispatcher. Client and server are in the same process.
func BenchmarkShortRequest(b *testing.B) {
	address := backend(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	rig := newRig(b, address)
	for _, via := range []string{"direct", "router"} {
		url := "http://" + address
		if via == "router" {
			url = rig.frontend.URL
		}
		b.Run(via, func(b *testing.B) {
			b.ReportAllocs()
			client := benchClient()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req, _ := http.NewRequest("GET", url+"/v1/entries/1", nil)
					req.Header.Set(HeaderWorkspace, "club")
					roundTrip(b, client, req)
				}
			})
		})
	}
}

// BenchmarkStreamedTokens measures the time per event of one stream.
func BenchmarkStreamedTokens(b *testing.B) {
	const events = 2000
	event := []byte("data: {\"token\":\"abcdef\"}\n\n")
	address := backend(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range events {
			_, _ = w.Write(event)
			w.(http.Flusher).Flush()
		}
	})
	rig := newRig(b, address)
	for _, via := range []string{"direct", "router"} {
		url := "http://" + address
		if via == "router" {
			url = rig.frontend.URL
		}
		b.Run(via, func(b *testing.B) {
			client := benchClient()
			for b.Loop() {
				req, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader("{}"))
				req.Header.Set(HeaderWorkspace, "club")
				roundTrip(b, client, req)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/token")
		})
	}
}

// BenchmarkOpenStreams measures the memory (heap and stacks) of open streams that
// wait for their next token: through the router minus direct.
func BenchmarkOpenStreams(b *testing.B) {
	for _, n := range []int{1, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				direct := openStreams(b, n, false)
				routed := openStreams(b, n, true)
				b.ReportMetric(float64(routed-direct)/float64(n), "B/stream")
			}
		})
	}
}

func openStreams(b *testing.B, n int, viaRouter bool) int64 {
	hold := make(chan struct{})
	address := backend(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: x\n\n")
		w.(http.Flusher).Flush()
		<-hold
	})
	url := "http://" + address
	rig := newRig(b, address)
	if viaRouter {
		url = rig.frontend.URL
	}
	before := memoryInUse()
	client := benchClient()
	bodies := make([]io.ReadCloser, n)
	var wg sync.WaitGroup
	for w := range 64 {
		wg.Go(func() {
			for i := w; i < n; i += 64 {
				req, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader("{}"))
				req.Header.Set(HeaderWorkspace, "club")
				resp, err := client.RoundTrip(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.ReadFull(resp.Body, make([]byte, 9))
				bodies[i] = resp.Body
			}
		})
	}
	wg.Wait()
	used := memoryInUse() - before
	close(hold)
	for _, body := range bodies {
		if body != nil {
			_, _ = io.Copy(io.Discard, body)
			_ = body.Close()
		}
	}
	client.CloseIdleConnections()
	return used
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
