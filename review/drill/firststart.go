//go:build review

package main

import (
	"context"
	"sync"
	"time"
)

// firstLife is how long the machine runs that is lost at the first start.
const firstLife = 30 * time.Millisecond

// runFirstStart loses a machine of the core for good right after the first start of all. An empty one comes in its place.
func runFirstStart(rec *record, trouble bool) (held bool, err error) {
	f, err := newFleet(rec, 3, 3)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	// All start within 0.3 s of each other, this one last.
	n := f.cores[2]
	for _, other := range f.nodes() {
		if other != n {
			if err := f.start(other); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(250 * time.Millisecond)
	if err := f.start(n); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(firstLife)
		n.kill()
		f.removeCore(n)
		rec.say("%s is lost for good", n.name)
		time.Sleep(time.Second)
		if _, err := f.addCore(n.zone); err != nil {
			return false, err
		}
	}
	q := newRequester(f, lookHost, lookKey)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer func() {
		cancel()
		clients.Wait()
	}()
	clients.Go(func() { offerLook(ctx, f, q, 20) })
	time.Sleep(catchUp + recoveryTime)
	return f.checkCore(q, 9), nil
}
