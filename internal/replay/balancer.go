package replay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/kumquathollow/kumquathollow/internal/config"
)

const (
	probeInterval  = 200 * time.Millisecond
	probeTimeout   = time.Second
	sampleInterval = 500 * time.Millisecond
)

// Balancer probes the readiness of the routers, like the platform's load balancer,
// and samples their state. It is safe for concurrent use.
type Balancer struct {
	client *http.Client

	mu      sync.Mutex
	rand    *rand.Rand
	routers []Router
	ready   map[string]bool
	samples []Sample
}

// NewBalancer returns a balancer for which no router is ready yet.
func NewBalancer(routers []Router, seed uint64) *Balancer {
	return &Balancer{
		client:  &http.Client{Timeout: probeTimeout},
		rand:    rand.New(rand.NewPCG(seed, 3)),
		routers: routers,
		ready:   map[string]bool{},
	}
}

// Run probes and samples the routers until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, r := range b.routers {
		wg.Go(func() { runEvery(ctx, probeInterval, func() { b.probe(ctx, r) }) })
		wg.Go(func() { runEvery(ctx, sampleInterval, func() { b.sample(ctx, r) }) })
	}
	wg.Wait()
}

// Pick returns a random ready router. It returns the one to avoid only if no other is
// ready.
func (b *Balancer) Pick(avoid string) (Router, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []Router
	for _, r := range b.routers {
		if b.ready[r.Name] && r.Name != avoid {
			ready = append(ready, r)
		}
	}
	if len(ready) > 0 {
		return ready[b.rand.IntN(len(ready))], true
	}
	for _, r := range b.routers {
		if r.Name == avoid && b.ready[r.Name] {
			return r, true
		}
	}
	return Router{}, false
}

// MarkNotReady marks a router as not ready until its next probe.
func (b *Balancer) MarkNotReady(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[name] = false
}

// ReadyCount returns the number of ready routers.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, ok := range b.ready {
		if ok {
			n++
		}
	}
	return n
}

// Samples returns the samples so far.
func (b *Balancer) Samples() []Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Sample(nil), b.samples...)
}

func (b *Balancer) probe(ctx context.Context, r Router) {
	ok := false
	if req, err := sling.New().Get("http://" + r.Admin + "/readyz").Request(); err == nil {
		if resp, err := b.client.Do(req.WithContext(ctx)); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[r.Name] = ok
}

func (b *Balancer) sample(ctx context.Context, r Router) {
	s := Sample{At: time.Now(), Router: r.Name}
	m, err := b.fetchMetrics(ctx, r)
	if err == nil {
		s.Reached = true
		s.Revision = config.Revision{Epoch: uint64(m.get(metricEpoch)), Number: uint64(m.get(metricNumber))}
		for name := range m {
			if strings.HasPrefix(name, metricControlBytes) {
				s.ControlBytes += m.get(name)
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Ready = b.ready[r.Name]
	b.samples = append(b.samples, s)
}

// Names of the router metrics that are sampled; the last one is a prefix.
const (
	metricEpoch        = "config.epoch"
	metricNumber       = "config.revision"
	metricControlBytes = "control.bytes"
)

// metricSet is the JSON document of a router's metrics.
type metricSet map[string]struct {
	Value *float64 `json:"value"` // of a gauge
	Count *float64 `json:"count"` // of a counter or meter
}

func (m metricSet) get(name string) int64 {
	v := m[name]
	switch {
	case v.Value != nil:
		return int64(*v.Value)
	case v.Count != nil:
		return int64(*v.Count)
	}
	return 0
}

func (b *Balancer) fetchMetrics(ctx context.Context, r Router) (metricSet, error) {
	req, err := sling.New().Get("http://" + r.Admin + "/metrics").Request()
	if err != nil {
		return nil, err
	}
	resp, err := b.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	m := metricSet{}
	return m, json.NewDecoder(resp.Body).Decode(&m)
}

// runEvery calls f immediately and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
