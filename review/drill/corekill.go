//go:build review

package main

import (
	"context"
	"sync"
	"time"
)

const (
	// coreKillRequests is the number of requests a second, for coreKillServers servers.
	coreKillRequests, coreKillServers = 300.0, 2
	// coreKillRounds is how often the servers come back cold.
	coreKillRounds = 6
	// coreDown is how long the processes of the core are down: they are back within a second.
	coreDown = 900 * time.Millisecond
)

// runCoreKill lets the servers of a service come back cold together, with heartbeats in time. While they are cold, all processes of
// the core are killed at the same moment and are back within a second.
func runCoreKill(rec *record, trouble bool) (held bool, err error) {
	f, err := startDeployment(rec, 3, 7)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	all := &arrivals{}
	var servers []*server
	crash := func() {
		for _, s := range servers {
			s.crash()
		}
		servers = nil
	}
	defer crash()
	round := 0
	add := func(cold time.Duration) error {
		for range coreKillServers {
			s, err := startLookServer(f, all, round, cold)
			if err != nil {
				return err
			}
			servers = append(servers, s)
			round++
		}
		return nil
	}
	if err := add(0); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	q := newRequester(f, lookHost, lookKey)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { offerLook(ctx, f, q, coreKillRequests) })
	time.Sleep(3 * time.Second)
	for range coreKillRounds {
		crash()
		time.Sleep(time.Second)
		if err := add(coldTime); err != nil {
			return false, err
		}
		rec.say("the servers are back, cold")
		time.Sleep(500 * time.Millisecond)
		if trouble {
			rec.say("all processes of the core are killed, and start again after %s", coreDown)
			for _, n := range f.cores {
				n.kill()
			}
			time.Sleep(coreDown)
			for _, n := range f.cores {
				if err := f.start(n); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(coldTime + 2*time.Second)
	}
	cancel()
	clients.Wait()
	rec.say("answers: %s", q.counts())
	return checkCold(rec, q, all.all()), nil
}
