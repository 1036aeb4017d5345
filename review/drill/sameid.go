//go:build review

package main

import (
	"context"
	"sync"
	"time"
)

const (
	// sameIDRequests is the number of requests a second, for sameIDServers servers.
	sameIDRequests, sameIDServers = 150.0, 3
	// sameIDDown is how long a crashed server is down, and lateBeat how late its first heartbeat arrives.
	sameIDDown, lateBeat = time.Second, 1500 * time.Millisecond
	// crashAt is a rate well above the bound of 26 requests in a second, at which a cold server crashes. It is lost for good then.
	crashAt = 40
)

// runSameID lets servers crash under load, one after the other. Each starts again under its id and at its address, cold, and its
// first heartbeat arrives late. Before, with the disruption or without it, an empty server is added, cold too.
func runSameID(rec *record, trouble bool) (held bool, err error) {
	f, err := startDeployment(rec, 3, 7)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	all := &arrivals{}
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	add := func(cold time.Duration) error {
		s, err := startLookServer(f, all, len(servers), cold)
		if err == nil {
			servers = append(servers, s)
		}
		return err
	}
	for range sameIDServers - 1 {
		if err := add(0); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	q := newRequester(f, lookHost, lookKey)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { offerLook(ctx, f, q, sameIDRequests) })
	time.Sleep(3 * time.Second)
	rec.say("planned: an empty server is added")
	if err := add(coldTime); err != nil {
		return false, err
	}
	time.Sleep(coldTime + 2*time.Second)
	for i, s := range servers {
		if !trouble {
			break
		}
		s.crash()
		time.Sleep(sameIDDown)
		if servers[i], err = s.startAgain(coldTime, lateBeat, crashAt); err != nil {
			return false, err
		}
		rec.say("server %s has crashed and is back under its id after %s; its first heartbeat is late by %s", s.id, sameIDDown, lateBeat)
		time.Sleep(coldTime + 5*time.Second)
	}
	cancel()
	clients.Wait()
	rec.say("answers: %s", q.counts())
	return checkCold(rec, q, all.all()), nil
}
