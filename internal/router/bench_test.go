package router

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquathollow/kumquathollow/internal/dispatch"
)

const (
	// halfLoadClients is the number of concurrent clients at half load, maxRateClients
	// that for measuring the maximum rate.
	halfLoadClients = 32
	maxRateClients  = 256
	maxLatencyUs    = 10_000_000
	// sequentialRequests is the number of requests sent one after the other without other
	// load.
	sequentialRequests = 4000
)

// latencies is a histogram in microseconds that is safe for concurrent use.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{hist: hdrhistogram.New(1, maxLatencyUs, 3)} }

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(max(1, d.Microseconds()))
}

func (l *latencies) quantileMs(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1000 }

func sendShortRequest(b *testing.B, client *http.Transport, address string) time.Duration {
	req, _ := http.NewRequest("GET", "http://"+address+"/v1/entries/1", nil)
	req.Header.Set(dispatch.HeaderWorkspace, "club")
	began := time.Now()
	resp, err := client.RoundTrip(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
	return time.Since(began)
}

// BenchmarkWholePath measures the latency that a router with its grantor adds to short
// requests. Clients, router, grantor, control and backend server share the process. It
// first measures the maximum rate through the router. At half of that rate it then
// sends requests alternately through the router and directly to the backend server,
// and finally does the same with one client and no other load.
func BenchmarkWholePath(b *testing.B) {
	f := startFleet(b)
	f.eventually("response", func() bool { status, _ := f.call("GET", "/v1/entries/1", ""); return status == 200 })
	routerAddress := f.router.callers.Addr().String()
	client := &http.Transport{MaxIdleConnsPerHost: 2 * maxRateClients}
	for b.Loop() {
		cpuBefore := cpuTime(b)
		rate := maxRate(b, client, routerAddress, 2*time.Second)
		b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/2, "cores")
		direct, routed := newLatencies(), newLatencies()
		sendAtRate(b, client, map[string]*latencies{f.serverAddress: direct, routerAddress: routed}, rate/2, 4*time.Second)
		directOne, routedOne := newLatencies(), newLatencies()
		for range sequentialRequests {
			directOne.add(sendShortRequest(b, client, f.serverAddress))
			routedOne.add(sendShortRequest(b, client, routerAddress))
		}
		b.ReportMetric(routedOne.quantileMs(50)-directOne.quantileMs(50), "one-caller-added-p50-ms")
		b.ReportMetric(routedOne.quantileMs(99)-directOne.quantileMs(99), "one-caller-added-p99-ms")
		b.ReportMetric(rate, "req/s")
		b.ReportMetric(direct.quantileMs(50), "direct-p50-ms")
		b.ReportMetric(direct.quantileMs(99), "direct-p99-ms")
		b.ReportMetric(routed.quantileMs(50)-direct.quantileMs(50), "added-p50-ms")
		b.ReportMetric(routed.quantileMs(99)-direct.quantileMs(99), "added-p99-ms")
	}
	f.signals <- syscall.SIGTERM
	<-f.exitCode
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func maxRate(b *testing.B, client *http.Transport, address string, d time.Duration) float64 {
	var n atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for range maxRateClients {
		wg.Go(func() {
			for time.Now().Before(end) {
				sendShortRequest(b, client, address)
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(n.Load()) / d.Seconds()
}

// sendAtRate sends requests at the given rate for d, to the targets in turn, and records
// their latencies.
func sendAtRate(b *testing.B, client *http.Transport, targets map[string]*latencies, rate float64, d time.Duration) {
	var wg sync.WaitGroup
	interval := time.Duration(float64(halfLoadClients) / rate * float64(time.Second))
	end := time.Now().Add(d)
	for range halfLoadClients {
		wg.Go(func() {
			for next := time.Now(); next.Before(end); {
				for address, l := range targets {
					time.Sleep(time.Until(next))
					l.add(sendShortRequest(b, client, address))
					next = next.Add(interval)
				}
			}
		})
	}
	wg.Wait()
}
