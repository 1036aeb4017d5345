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
	// benchCallers send at half load, rateCallers when the greatest rate is sought.
	benchCallers = 32
	rateCallers  = 256
	maxLatencyUs = 10_000_000
	// oneCallerCalls are sent one after the other, with no other load.
	oneCallerCalls = 4000
)

// latencies collects microseconds from many goroutines.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{h: hdrhistogram.New(1, maxLatencyUs, 3)} }

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(max(1, d.Microseconds()))
}

func (l *latencies) ms(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }

func shortCall(b *testing.B, client *http.Transport, address string) time.Duration {
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

// BenchmarkWholePath sends short requests through a router with its grantor, and
// directly to the backend server, in one run. Callers, router, grantor, control
// and server share the process. First the greatest rate through the router is
// found, then latencies are taken at half of it, direct and through in turn.
func BenchmarkWholePath(b *testing.B) {
	f := startFleet(b)
	f.eventually("answer", func() bool { status, _ := f.call("GET", "/v1/entries/1", ""); return status == 200 })
	through := f.router.callers.Addr().String()
	client := &http.Transport{MaxIdleConnsPerHost: 2 * rateCallers}
	for b.Loop() {
		used := processorTime(b)
		rate := greatestRate(b, client, through, 2*time.Second)
		b.ReportMetric((processorTime(b)-used).Seconds()/2, "cores")
		direct, via := newLatencies(), newLatencies()
		paced(b, client, map[string]*latencies{f.server: direct, through: via}, rate/2, 4*time.Second)
		one, oneVia := newLatencies(), newLatencies()
		for range oneCallerCalls {
			one.add(shortCall(b, client, f.server))
			oneVia.add(shortCall(b, client, through))
		}
		b.ReportMetric(oneVia.ms(50)-one.ms(50), "one-caller-added-p50-ms")
		b.ReportMetric(oneVia.ms(99)-one.ms(99), "one-caller-added-p99-ms")
		b.ReportMetric(rate, "req/s")
		b.ReportMetric(direct.ms(50), "direct-p50-ms")
		b.ReportMetric(direct.ms(99), "direct-p99-ms")
		b.ReportMetric(via.ms(50)-direct.ms(50), "added-p50-ms")
		b.ReportMetric(via.ms(99)-direct.ms(99), "added-p99-ms")
	}
	f.signals <- syscall.SIGTERM
	<-f.code
}

// processorTime is what the process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func greatestRate(b *testing.B, client *http.Transport, address string, d time.Duration) float64 {
	var n atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for range rateCallers {
		wg.Go(func() {
			for time.Now().Before(end) {
				shortCall(b, client, address)
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(n.Load()) / d.Seconds()
}

// paced sends requests at the rate, to each address in turn.
func paced(b *testing.B, client *http.Transport, targets map[string]*latencies, rate float64, d time.Duration) {
	var wg sync.WaitGroup
	interval := time.Duration(float64(benchCallers) / rate * float64(time.Second))
	end := time.Now().Add(d)
	for range benchCallers {
		wg.Go(func() {
			for next := time.Now(); next.Before(end); {
				for address, l := range targets {
					time.Sleep(time.Until(next))
					l.add(shortCall(b, client, address))
					next = next.Add(interval)
				}
			}
		})
	}
	wg.Wait()
}
