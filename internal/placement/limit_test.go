package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// In any limitWindow a server may get limitFactor times what its limit allows, and
	// limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of times in any limitWindow. times are sorted.
func mostInWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Patterns: one server with a limit, and all routers with three times as many requests for it
// as it takes; the same with pauses, after each of which all routers send at once. They
// share the limit without telling each other.
func TestRoutersKeepALimitTogether(t *testing.T) {
	const (
		length = 2 * time.Minute
		step   = 20 * time.Millisecond
		// learned is when all routers know the limit.
		learned = 3 * time.Second
	)
	for _, tc := range []struct {
		routers int
		limit   float64
		// bursts is set if one request of each router is not too much at once.
		bursts bool
		// minUsed is the fraction of the limit that must be used under steady load.
		minUsed float64
	}{{1, 3, true, 0.9}, {7, 3.2, true, 0.7}, {7, 0.5, false, 0.6}, {7, 40, true, 0.9}, {9, 5, true, 0.7}, {67, 3, false, 0.6}, {67, 60, true, 0.7}, {195, 3, false, 0.6}, {195, 20, false, 0.6}} {
		for seed := range uint64(20) {
			for _, bursts := range []bool{false, true} {
				if bursts && !tc.bursts {
					continue
				}
				t.Run(fmt.Sprint(tc, " bursts ", bursts, " seed ", seed), func(t *testing.T) {
					t.Parallel()
					rng := rand.New(rand.NewPCG(seed, uint64(tc.routers)))
					named := Notice{Limit: tc.limit, HasLimit: true}
					limits := make([]serverLimit, tc.routers)
					for i := range limits {
						at := start.Add(time.Duration(rng.Int64N(int64(learned))))
						limits[i].phase = rng.Float64()
						limits[i].record(named, tc.routers, at, at)
					}
					var sent []time.Duration
					for at := learned; at < length; at += step {
						wanted := 3 * tc.limit / float64(tc.routers) * step.Seconds()
						if pattern := at % (20 * time.Second); bursts && pattern < 5*time.Second {
							wanted = 0
						} else if bursts && pattern < 6*time.Second {
							wanted = 1
						}
						now := start.Add(at)
						for i := range limits {
							if rng.Float64() < wanted && limits[i].admit(tc.routers, now) {
								sent = append(sent, at)
								limits[i].record(named, tc.routers, now, now)
							}
						}
					}
					name := fmt.Sprintf("%d routers, %.1f a second, bursts %v, seed %d", tc.routers, tc.limit, bursts, seed)
					if most, allowed := mostInWindow(sent), limitFactor*tc.limit*limitWindow.Seconds()+limitSlack; float64(most) > allowed {
						t.Errorf("%s: %d requests in %s, want at most %.1f", name, most, limitWindow, allowed)
					}
					if used := float64(len(sent)) / (tc.limit * (length - learned).Seconds()); !bursts && used < tc.minUsed {
						t.Errorf("%s: %.2f of the limit was used, want at least %.2f", name, used, tc.minUsed)
					}
				})
			}
		}
	}
}

// Guards against a limit that ends by a response written before the server named it, or that
// outlives the server's need.
func TestALimitEndsWhenTheServerNoLongerNamesIt(t *testing.T) {
	const routers = 2
	named := Notice{Limit: 1, HasLimit: true}
	l, now := &serverLimit{}, start
	if !l.record(named, routers, now, now) || l.record(named, routers, now, now) || l.admit(routers, now) {
		t.Error("a limit is news once, and counts from then on")
	}
	if l.record(Notice{}, routers, now.Add(-time.Second), now) || !l.inForce(routers, now) {
		t.Error("the response to an earlier request ended the limit")
	}
	if wait := l.wait(routers, now); wait != 2*time.Second {
		t.Errorf("this router's next request is due in %s, want 2 s", wait)
	}
	if !l.record(Notice{}, routers, now.Add(time.Second), now.Add(time.Second)) || !l.admit(routers, now.Add(time.Second)) {
		t.Error("a later response without a limit did not end it")
	}
	l.record(named, routers, now, now)
	if l.inForce(routers, now.Add(minLimitTTL+1)) {
		t.Error("a limit that was not repeated is still in force")
	}
}

// A limit must not expire at all routers before each has sent a request within its share.
func TestALimitIsInForceForLongerInALargeFleet(t *testing.T) {
	const routers = 195
	l := &serverLimit{}
	l.record(Notice{Limit: 3, HasLimit: true}, routers, start, start)
	if due := start.Add(65 * time.Second); l.admit(routers, due.Add(-time.Second)) || !l.admit(routers, due) || !l.inForce(routers, due) {
		t.Error("this router's share is one request in 65 s")
	}
}

func TestAServerThatTakesNothingGetsOneRequestOnceItsLimitExpires(t *testing.T) {
	l := &serverLimit{}
	l.record(Notice{HasLimit: true}, 1, start, start)
	if l.admit(1, start.Add(minLimitTTL)) || !l.admit(1, start.Add(minLimitTTL+1)) {
		t.Error("a server with a limit of 0 must get a request only once its limit has expired")
	}
	if wait := l.wait(1, start.Add(minLimitTTL-time.Second)); wait <= 0 || wait > time.Second+1 {
		t.Errorf("the next request is due in %s, want 1 s", wait)
	}
}

// A request that no server takes for their limits is refused with the time until one does.
func TestRefusalsForLimitsNameTheTimeOfTheNextRequest(t *testing.T) {
	w := newFleetSim(t)
	w.join(2, "s")
	w.notify("s0", Notice{Limit: 0.5, HasLimit: true})
	w.notify("s1", Notice{Limit: 0.25, HasLimit: true})
	_, err := w.fleet.Pick(PickRequest{Service: chat, Key: 1}, w.now)
	if after := retryAfterOf(t, err); after < 2*time.Second || after > 2*time.Second+maxStayAwaySpread {
		t.Errorf("Retry-After %s, want 2 s or a little more", after)
	}
	w.now = w.now.Add(2 * time.Second)
	if p := w.pick(PickRequest{Key: 1}); p.ID != "s0" {
		t.Errorf("picked %s, want s0, whose limit allows a request again", p.ID)
	}
}
