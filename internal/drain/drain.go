// Package drain decides which requests a process that stops still takes.
//
// A process that was asked to stop is sent requests until the load balancer has noticed, and has
// a limited time for all of them. A request that would outlast that time would be cut while a
// backend server runs it. So it is refused at once, and its client sends it to another process.
//
// How long a request takes is not known beforehand, but how long others of its route took is. The
// gate counts them in a few buckets for each route.
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
	// minCount is from how many requests on the counts of a route are relied on.
	minCount = 20
	// maxRoutes limits the routes whose requests are counted. Routes come and go.
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

// Gate counts the durations of requests and, once the process stops, compares them with the
// time that is left. The zero Gate is ready for use, and safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	routes map[string]*durations
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
func (g *Gate) Record(route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.routes[route]
	if c == nil {
		if g.routes == nil {
			g.routes = map[string]*durations{}
		}
		if len(g.routes) >= maxRoutes {
			for name := range g.routes {
				delete(g.routes, name)
				break
			}
		}
		c = &durations{}
		g.routes[route] = c
	}
	c.add(took)
}

// Left returns what is left of the time for requests, and false if the process does not stop.
func (g *Gate) Left(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.end.Sub(now)), !g.end.IsZero()
}

// Takes reports whether a request that may take up to limit is taken: the process does not stop,
// or the request will most likely end in time, as no request of its route took longer lately than is
// left now.
func (g *Gate) Takes(route string, limit time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end.IsZero() {
		return true
	}
	left := g.end.Sub(now)
	if left >= limit {
		return true
	}
	c := g.routes[route]
	return left > 0 && c != nil && c.total >= minCount && c.longer(left) == 0
}
