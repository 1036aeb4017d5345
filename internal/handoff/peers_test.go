package handoff

import (
	"fmt"
	"testing"
	"time"
)

// The pattern: half of the routers of a fleet reach no server, and each passes all its
// requests on. The routers that take them over must get equal parts, and one that fails must
// not get more than a request at a time until it has recovered.
func TestRequestsAreHandedOffEvenly(t *testing.T) {
	const routers, requests, concurrent = 8, 4000, 64
	var addresses []string
	for i := range routers {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7", i))
	}
	p, now := NewPeers(), time.Unix(1_700_000_000, 0)
	taken, failing := map[string]int{}, addresses[3]
	var inFlight []string
	for i := range requests {
		now = now.Add(time.Millisecond)
		a := p.Choose(addresses, nil, uint64(i)*0x9E3779B97F4A7C15, now)
		if a == "" {
			t.Fatal("no router was chosen")
		}
		taken[a]++
		if a == failing {
			p.Done(a, true, now)
			continue
		}
		if inFlight = append(inFlight, a); len(inFlight) > concurrent {
			p.Done(inFlight[0], false, now)
			inFlight = inFlight[1:]
		}
	}
	// In 4 s: at first, and after 0.5, 1 and 2 s each.
	if taken[failing] > 4 {
		t.Errorf("the failing router got %d requests, want at most 4", taken[failing])
	}
	for _, a := range addresses {
		if share := float64(requests) / (routers - 1); a != failing && (float64(taken[a]) < 0.7*share || float64(taken[a]) > 1.3*share) {
			t.Errorf("router %s got %d of %d requests, want about %.0f", a, taken[a], requests, share)
		}
	}
	now = now.Add(maxEjection)
	for i := 0; taken[failing] == 0 || i < concurrent; i++ {
		p.Done(p.Choose([]string{failing}, nil, uint64(i), now), false, now)
		taken[failing]++
	}
	if a := p.Choose(addresses[:1], addresses[:1], 1, now); a != "" {
		t.Errorf("router %s was chosen although the request was passed on to it before", a)
	}
}

// A router that failed is tried by one request at a time, after all others.
func TestAFailedRouterIsTriedByOneRequest(t *testing.T) {
	p, now := NewPeers(), time.Unix(1_700_000_000, 0)
	only := []string{"a"}
	p.Done(p.Choose(only, nil, 1, now), true, now)
	if a := p.Choose(only, nil, 2, now); a != "" || p.Available(only, now) {
		t.Errorf("router %q was chosen right after it failed", a)
	}
	now = now.Add(minEjection)
	if a := p.Choose([]string{"a", "b"}, nil, 3, now); a != "b" {
		t.Errorf("router %q was chosen before one that has not failed", a)
	}
	if a := p.Choose(only, nil, 4, now); a != "a" {
		t.Errorf("router %q was chosen after the ejection", a)
	}
	if a := p.Choose(only, nil, 5, now); a != "" {
		t.Error("a second request was sent before the first one showed that the router is usable")
	}
	p.Done("a", false, now)
	if a := p.Choose(only, nil, 6, now); a != "a" {
		t.Error("the router was not used again after a request that it took")
	}
}
