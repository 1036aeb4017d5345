//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kumquathollow/kumquathollow/review/lab"
)

const (
	// evacuateTime is the bound evacuate_ms.
	evacuateTime = 5 * time.Second
	// freezeMargin is how long the process stays frozen after the last order.
	freezeMargin = 500 * time.Millisecond
	// staleOrderRounds is how often the orders are given, each time with another process frozen.
	staleOrderRounds = 10
	// staleOrderTime is when no further round begins.
	staleOrderTime = 98 * time.Second
)

func init() { plays["3"] = staleOrder }

// staleOrder evacuates a zone, takes it back and evacuates it again, while the core process that
// is asked first to take it back is frozen. The zone has to stay evacuated.
func staleOrder(record *lab.Record, trouble bool) (int, error) {
	f, err := lab.NewFleet(record)
	if err != nil {
		return unplayed, err
	}
	defer f.Close()
	op := &lab.Operator{Record: record}
	dirs, fronts, err := core(f, op, 2)
	if err != nil {
		return unplayed, err
	}
	var runsInZone atomic.Int64
	for i, z := range lab.Zones {
		r, err := lab.StartRunner(f, fmt.Sprint("i-", i), "reservas", z, f.Seeds)
		if err != nil {
			return unplayed, err
		}
		defer r.Close()
		if i == 0 {
			r.SetOnRun(func(*http.Request) { runsInZone.Add(1) })
		}
	}
	if !serves(record, fronts, 20*time.Second) {
		return unplayed, fmt.Errorf("the fleet does not serve")
	}
	time.Sleep(4 * time.Second)
	zone := "/-/evacuations/" + lab.Zones[0]
	for n := 0; n < staleOrderRounds && record.Since() < staleOrderTime; n++ {
		frozen := dirs[n%len(dirs)]
		others := []string{dirs[(n+1)%len(dirs)].Control(), dirs[(n+2)%len(dirs)].Control()}
		op.SetNodes(append([]string{frozen.Control()}, others...)...)
		if !op.Order(zone+"/start", nil, others[0], 5*time.Second) {
			return unplayed, fmt.Errorf("the first evacuation was not acknowledged")
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			frozen.Signal(syscall.SIGSTOP)
		}
		if !op.Order(zone+"/finish", nil, frozen.Control(), 10*time.Second) {
			return unplayed, fmt.Errorf("the end of the evacuation was not acknowledged")
		}
		time.Sleep(500 * time.Millisecond)
		if !op.Order(zone+"/start", nil, others[0], 10*time.Second) {
			return unplayed, fmt.Errorf("the second evacuation was not acknowledged")
		}
		acknowledged := time.Now()
		time.Sleep(freezeMargin)
		if trouble {
			frozen.Signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(acknowledged.Add(evacuateTime + 500*time.Millisecond)))
		before := runsInZone.Load()
		for i := range 40 {
			lab.Request(record, fronts[i%len(fronts)].Clients(), lab.Host, "GET", "/look/x", "", lab.Key, time.Second)
		}
		got := runsInZone.Load() - before
		record.Printf("round %d: %d of 40 requests ran in the evacuated zone, %s after its evacuation was acknowledged", n, got, time.Since(acknowledged).Round(time.Millisecond))
		if got > 0 {
			return broken, nil
		}
		op.SetNodes(f.Seeds...)
		if !op.Order(zone+"/finish", nil, others[0], 5*time.Second) {
			return unplayed, fmt.Errorf("the end of the second evacuation was not acknowledged")
		}
		time.Sleep(500 * time.Millisecond)
	}
	return held, nil
}
