//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// coldRate and coldTime are cold_per_s and cold_start_s of the Brinco deployment.
	coldRate, coldTime = 14.0, 3 * time.Second
	lookService        = "kiosk"
	lookKey            = "n2ctnfzs989anu6wsjnb"
	lookHost           = "ficu95.example"
)

// lookManifest has one safe route to one service, whose servers have a cold start.
func lookManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-look", "host": lookHost, "path_prefix": "/look/", "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 0,
			"service": lookService, "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "stream_resume": false,
		}},
		"services": []any{map[string]any{"name": lookService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldRate}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{lookKey}, "priority": 1}},
	}
}

// startDeployment starts a fleet and has the first manifest accepted.
func startDeployment(rec *record, cores, fronts int) (*fleet, error) {
	f, err := newFleet(rec, cores, fronts)
	if err != nil {
		return nil, err
	}
	if err = f.startAll(); err == nil {
		_, err = f.order("/-/config/replace", lookManifest(7), 20*time.Second)
	}
	if err == nil {
		err = f.awaitReady(20 * time.Second)
	}
	if err != nil {
		f.stopAll()
		return nil, err
	}
	return f, nil
}

// startLookServer starts the i-th server of lookService.
func startLookServer(f *fleet, all *arrivals, i int, cold time.Duration) (*server, error) {
	return startServer(f, all, fmt.Sprintf("%s.%d", f.network, 60+i), lookService, zoneNames[i%3], 64, 20*time.Millisecond, cold)
}

// offerLook sends requests at a mean rate, each to a router by chance.
func offerLook(ctx context.Context, f *fleet, q *requester, perSecond float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		address := f.frontAddress(f.fronts[rand.IntN(len(f.fronts))])
		wg.Go(func() { q.request(context.Background(), address, "GET", "/look/2f", "", 4*time.Second) })
	}
}

// checkCold checks that no cold server got more requests in one second than its bound: those that were sent and arrived
// inside that second.
func checkCold(rec *record, q *requester, all []arrival) (held bool) {
	bound := int(coldRate*brincoBounds()["cold_burst_factor"].(float64)) + brincoBounds()["cold_slack"].(int)
	sentAt := func(a arrival) time.Time {
		at, _ := q.sentAt.Load(a.id)
		return at.(time.Time)
	}
	byServer := map[string][]arrival{}
	for _, a := range all {
		if a.cold {
			byServer[a.server] = append(byServer[a.server], a)
		}
	}
	held = true
	for server, list := range byServer {
		sort.Slice(list, func(i, j int) bool { return sentAt(list[i]).Before(sentAt(list[j])) })
		most, mostAt := 0, time.Time{}
		for i := range list {
			begin, n := sentAt(list[i]), 0
			for _, a := range list[i:] {
				if a.at.Before(begin.Add(time.Second)) {
					n++
				}
			}
			if n > most {
				most, mostAt = n, begin
			}
		}
		rec.say("cold server %s: %d requests while it was cold, at most %d that were sent and arrived within one second (from %.3f on); the bound is %d", server, len(list), most, rec.at(mostAt), bound)
		held = held && most <= bound
	}
	return held
}
