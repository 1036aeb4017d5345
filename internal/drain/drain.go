// Package drain decides which requests a process that stops still takes.
//
// A process that was asked to stop is sent requests until the load balancer has noticed, and has
// a limited time for all of them. A request that would outlast that time would be cut while a
// backend server runs it. So it is refused at once, and its client sends it to another process.
//
// How long a request takes is not known beforehand, but how long others of its route took is. The
// gate counts them in a few buckets for each route, and for each service, whose counts stand for
// routes with few requests that may be repeated.
package drain

import (
	"sync"
	"time"
)

const (
	// minDuration is the upper bound of the first bucket; that of each further one is bucketRatio
	// times as large, up to two minutes.
	minDuration = 62500 * time.Microsecond
	bucketRatio = 1.25
	numBuckets  = 34
	// maxCount is the number of a route's requests at which all its counts are halved, so
	// that they follow changes of the load.
	maxCount = 1 << 10
	// minCount is from how many requests on counts are relied on.
	minCount = 20
	// repeatableShare is the share of requests that may take longer than what is left of the
	// time if their clients can send them again.
	repeatableShare = 0.05
	// maxRoutes limits the routes and services whose requests are counted. Routes come and go.
	maxRoutes = 1 << 12
)

// bucketOf returns the bucket of a duration. The last one holds all that are longer than two minutes.
func bucketOf(d time.Duration) int {
	i := 0
	for bound := float64(minDuration); i < numBuckets-1 && float64(d) > bound; bound *= bucketRatio {
		i++
	}
	return i
}

// durations counts the requests of one route by how long they took.
type durations struct {
	counts [numBuckets]uint16
	total  int
}

func (c *durations) add(d time.Duration) {
	c.counts[bucketOf(d)]++
	c.total++
	if c.total < maxCount {
		return
	}
	c.total = 0
	for i := range c.counts {
		c.counts[i] /= 2
		c.total += int(c.counts[i])
	}
}

// longer returns the number of requests that may have taken longer than d.
func (c *durations) longer(d time.Duration) (n int) {
	for _, count := range c.counts[bucketOf(d):] {
		n += int(count)
	}
	return n
}

// Key names a route of a service, or with an empty Route all routes of the service.
type Key struct {
	Service, Route string
}

// Gate counts the durations of requests and, once the process stops, compares them with the
// time that is left. The zero Gate is ready for use, and safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// counts holds those of routes and of services.
	counts map[Key]*durations
	// end is when the requests in flight are cut; zero while the process does not stop.
	end time.Time
}

// Stop announces that requests in flight will be cut at end.
func (g *Gate) Stop(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end = end
}

// Record counts a request that ended after it was sent to a backend server.
func (g *Gate) Record(route Key, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.durationsOf(route).add(took)
	g.durationsOf(Key{Service: route.Service}).add(took)
}

func (g *Gate) durationsOf(k Key) *durations {
	if c := g.counts[k]; c != nil {
		return c
	}
	if g.counts == nil {
		g.counts = map[Key]*durations{}
	}
	if len(g.counts) >= maxRoutes {
		for other := range g.counts {
			delete(g.counts, other)
			break
		}
	}
	c := &durations{}
	g.counts[k] = c
	return c
}

// Left returns what is left of the time for requests of a process that stops.
func (g *Gate) Left(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.end.Sub(now))
}

// Takes reports whether a request that may take up to limit is taken: the process does not stop,
// or the request will most likely end in time. One that may not be repeated is taken only if no
// request of its route took longer lately than is left now.
func (g *Gate) Takes(route Key, repeatable bool, limit time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end.IsZero() {
		return true
	}
	left := g.end.Sub(now)
	if left >= limit {
		return true
	}
	c := g.counts[route]
	if repeatable && (c == nil || c.total < minCount) {
		c = g.counts[Key{Service: route.Service}]
	}
	if left <= 0 || c == nil || c.total < minCount {
		return false
	}
	longer := c.longer(left)
	return longer == 0 || repeatable && float64(longer) <= repeatableShare*float64(c.total)
}
