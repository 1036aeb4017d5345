package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// skewLimit is the deployment's limit on load skew: a server may hold up to twice the
// mean of its service plus 3 requests when it gets another one.
const skewFactorLimit, skewSlackLimit = 2.0, 3.0

// laggingFleet runs several routers before the same servers in virtual time. Routers
// learn of each other's requests through sums that lag: each reports every
// reportInterval, and the sums return every flushInterval after a further hop.
type laggingFleet struct {
	t       *testing.T
	rng     *rand.Rand
	routers []*fleetSim
	now     time.Time
	// inFlight counts the requests that each server truly holds.
	inFlight map[string]int
	running  requestHeap
	reports  []map[uint32]int
	// delayed is the sum that is on its way to the routers.
	delayed map[uint32]int
	// skewed holds when requests were sent to servers above the limit, sent when any
	// were.
	skewed, sent []time.Time
}

// fragileChat is a service whose cold servers take next to nothing.
var fragileChat = &catalog.Service{Name: chat.Name, ColdRate: 1}

type runningRequest struct {
	ends   time.Time
	server string
	result *PickResult
}

type requestHeap []runningRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].ends.Before(h[j].ends) }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(runningRequest)) }
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newLaggingFleet(t *testing.T, seed uint64, routers, servers, dataCentres int) *laggingFleet {
	l := &laggingFleet{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: start, inFlight: map[string]int{}}
	for i := range routers {
		w := newFleetSim(t)
		w.fleet.routerHash = routing.Hash(fmt.Sprint("router", i))
		for j := range servers {
			w.announce(w.server(fmt.Sprint("s", j), string(rune('a'+j%dataCentres))))
		}
		w.fleet.SetRouters(routers)
		l.routers = append(l.routers, w)
	}
	l.reports = make([]map[uint32]int, routers)
	return l
}

// run sends perSecond requests a second for d, in clumps that arrive together. Each
// lasts about duration; a tenth of them has the same prompt, a quarter has a long one.
func (l *laggingFleet) run(d time.Duration, perSecond float64, clump int, duration, reportInterval, flushInterval time.Duration) {
	const step = time.Millisecond
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(step) {
		for len(l.running) > 0 && !l.running[0].ends.After(l.now) {
			r := heap.Pop(&l.running).(runningRequest)
			l.inFlight[r.server]--
			r.result.Done(Success, duration, l.now)
		}
		l.exchange(reportInterval, flushInterval)
		if l.rng.Float64() < perSecond*step.Seconds()/float64(clump) {
			for range clump {
				l.send(duration)
			}
		}
	}
}

// exchange has each router report, at its own phase, and the sums return.
func (l *laggingFleet) exchange(reportInterval, flushInterval time.Duration) {
	at := l.now.Sub(start)
	for i, w := range l.routers {
		phase := (reportInterval * time.Duration(i) / time.Duration(len(l.routers))).Truncate(time.Millisecond)
		if (at+phase)%reportInterval == 0 {
			l.reports[i] = w.fleet.InFlight()
		}
		if w.now = l.now; at%time.Second == 0 {
			w.advance(0)
		}
	}
	if at%flushInterval != 0 {
		return
	}
	sum := map[uint32]int{}
	for _, report := range l.reports {
		for server, n := range report {
			sum[server] += n
		}
	}
	for _, w := range l.routers {
		forRouter := map[uint32]int{}
		for server, n := range l.delayed {
			forRouter[server] = n
		}
		w.fleet.SetLoads(forRouter, l.now)
	}
	l.delayed = sum
}

func (l *laggingFleet) send(duration time.Duration) {
	w := l.routers[l.rng.IntN(len(l.routers))]
	subject, tokens := l.rng.IntN(300), 800
	switch p := l.rng.Float64(); {
	case p < 0.1:
		subject = 1000
	case p < 0.35:
		tokens = 10_500
	}
	key := routing.Hash(fmt.Sprint("subject", subject))
	req := PickRequest{Service: fragileChat, Key: key, Parts: []uint64{key}, SharedTokens: tokens, TieBreaker: l.rng.Uint64()}
	picked, err := w.fleet.Pick(req, l.now)
	if err != nil {
		l.t.Fatal(err)
	}
	total := 0
	for _, n := range l.inFlight {
		total += n
	}
	mean := float64(total) / float64(len(w.fleet.Servers(chat.Name)))
	if float64(l.inFlight[picked.ID]) > skewFactorLimit*mean+skewSlackLimit {
		l.skewed = append(l.skewed, l.now)
	}
	l.sent = append(l.sent, l.now)
	l.inFlight[picked.ID]++
	lasts := time.Duration((0.5 + l.rng.ExpFloat64()/2) * float64(duration))
	heap.Push(&l.running, runningRequest{ends: l.now.Add(lasts), server: picked.ID, result: picked})
}

// worstWindow returns the most requests that were sent to skewed servers within 5 s,
// and their share.
func (l *laggingFleet) worstWindow() (most int, share float64) {
	within := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Sub(from) < 5*time.Second {
				n++
			}
		}
		return n
	}
	for _, from := range l.skewed {
		if n := within(l.skewed, from); n > most {
			most, share = n, float64(n)/float64(within(l.sent, from))
		}
	}
	return most, share
}

// The pattern: nine routers send 165 requests a second to twelve servers, of which the
// three of one data centre have just been taken out, and one prompt gets a tenth of the
// traffic. The routers hear of each other's requests as late as the directory tells a
// small fleet. Fewer than 20, or less than 3 in 100, of the requests of any 5 s may
// reach a server above the limit on load skew: with even arrivals, and with clumps that
// arrive while two more servers have just been replaced and are cold, so that nearly all
// keys leave their homes and all routers look for room at the same moment, and with a
// third of the traffic.
func TestSkewHoldsWhileCountsLagAndADataCentreIsOut(t *testing.T) {
	const (
		routers, servers, dataCentres = 9, 12, 4
		duration                      = 700 * time.Millisecond
		interval                      = 75 * time.Millisecond
	)
	for _, c := range []struct {
		name      string
		perSecond float64
		clump     int
		cold      []string
	}{
		{"even arrivals", 165, 1, nil},
		{"clumps and cold servers", 165, 3, []string{"s0", "s1"}},
		{"clumps, cold servers and little traffic", 55, 3, []string{"s0", "s1"}},
	} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				l := newLaggingFleet(t, seed, routers, servers, dataCentres)
				l.run(3*time.Second, c.perSecond, c.clump, duration, interval, interval)
				for _, w := range l.routers {
					w.fleet.SetEvacuated([]string{"c"}, func(string) time.Duration { return 0 }, l.now)
					for _, id := range c.cold {
						w.fleet.byID[id].returnToService(l.now, time.Minute)
					}
				}
				l.run(8*time.Second, c.perSecond, c.clump, duration, interval, interval)
				if most, share := l.worstWindow(); most >= 20 && share > 0.03 {
					t.Errorf("%d requests of 5 s, %.0f in 100, reached servers above the limit", most, 100*share)
				}
			})
		}
	}
}
