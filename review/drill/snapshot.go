//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// manyChanges is the number of manifests, changeGap the time between them and changedRoutes the number of routes that
	// each adds in place of those that the one before had added.
	manyChanges, changeGap, changedRoutes = 280, 140 * time.Millisecond, 380
	// finalDown is how long the processes are down in the final fault.
	finalDown = 700 * time.Millisecond
)

func randomName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}

// changedManifest is lookManifest with routes that no other version has.
func changedManifest(version int) map[string]any {
	m := lookManifest(version)
	routes := m["routes"].([]any)
	for range changedRoutes {
		routes = append(routes, map[string]any{
			"name": "r-" + randomName(7), "host": lookHost, "path_prefix": "/" + randomName(7) + "/", "kind": "safe", "timeout_ms": 3000 + rand.IntN(1000), "target_latency_ms": 300, "priority": 0,
			"service": lookService, "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "stream_resume": false,
		})
	}
	m["routes"] = routes
	return m
}

// runSnapshot sends many manifests. Right after the last one was acknowledged all processes are killed and start again, with their
// disks.
func runSnapshot(rec *record, trouble bool) (held bool, err error) {
	f, err := startDeployment(rec, 3, 3)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	all := &arrivals{}
	for i := range 3 {
		s, err := startLookServer(f, all, i, 0)
		if err != nil {
			return false, err
		}
		defer s.crash()
	}
	time.Sleep(2 * time.Second)
	q := newRequester(f, lookHost, lookKey)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer func() {
		cancel()
		clients.Wait()
	}()
	clients.Go(func() { offerLook(ctx, f, q, 20) })
	version := 7
	for next := time.Now(); version < 7+manyChanges; time.Sleep(time.Until(next)) {
		next = next.Add(changeGap)
		version++
		if _, err := f.order("/-/config/replace", changedManifest(version), 10*time.Second); err != nil {
			return false, err
		}
	}
	rec.say("manifest %d was acknowledged", version)
	if trouble {
		rec.say("final fault: all processes are killed, and start again after %s with their disks", finalDown)
		for _, n := range f.nodes() {
			n.kill()
		}
		time.Sleep(finalDown)
		for _, n := range f.nodes() {
			if err := f.start(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(catchUp + recoveryTime)
	read, found := f.findManifest(10*time.Second, version)
	rec.say("answers until now: %s", q.counts())
	q.reset()
	time.Sleep(3 * time.Second)
	rec.say("answers in the 3 s after: %s", q.counts())
	rec.say("the manifest comes when it is read: %t; it is version %d: %t", read, version, found)
	return read && found, nil
}

// findManifest reads the manifest until it comes, and reports whether it has the version.
func (f *fleet) findManifest(within time.Duration, version int) (read, found bool) {
	for end := time.Now().Add(within); time.Now().Before(end) && !read; time.Sleep(200 * time.Millisecond) {
		for _, a := range f.controlAddresses() {
			status, got, err := call("GET", "http://"+a+"/-/config/get", nil)
			f.rec.add("operator: read of the manifest at %s: %d %v, %d bytes", a, status, err, len(got))
			if err == nil && status == 200 {
				return true, versionOf(got) == fmt.Sprint(version)
			}
		}
	}
	return false, false
}
