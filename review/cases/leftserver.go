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

func init() { plays["4"] = leftServer }

const (
	// drainTime and contactTime are the bounds drain_ms and contact_ms.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// pingDelay is how late a ping arrives.
	pingDelay = 2500 * time.Millisecond
	// lingerTime is how long the runner goes on serving after its leave was acknowledged.
	lingerTime = 9 * time.Second
)

// leftServer has a runner leave. Then all core processes and one of two routers are killed and
// come back, and a ping arrives that the runner sent before it left.
func leftServer(record *lab.Record, trouble bool) (int, error) {
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
	var stays, leaves *lab.Runner
	if stays, err = lab.StartRunner(f, "i-stays", "reservas", lab.Zones[0], f.Seeds); err != nil {
		return unplayed, err
	}
	defer stays.Close()
	if leaves, err = lab.StartRunner(f, "i-leaves", "reservas", lab.Zones[0], f.Seeds); err != nil {
		return unplayed, err
	}
	defer leaves.Close()
	if !serves(record, fronts, 20*time.Second) {
		return unplayed, fmt.Errorf("the fleet does not serve")
	}
	time.Sleep(5 * time.Second)

	late := leaves.StopPinging()
	sentAt := time.Now()
	if !leaves.Leave(f.Seeds[0]) {
		return unplayed, fmt.Errorf("the leave was not acknowledged")
	}
	left := time.Now()
	time.Sleep(200 * time.Millisecond)
	killed := append(append([]*lab.Proc(nil), dirs...), fronts[0])
	if trouble {
		for _, p := range killed {
			p.Signal(syscall.SIGKILL)
		}
		for _, p := range killed {
			p.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range killed {
			if err := p.Start(); err != nil {
				return unplayed, err
			}
		}
	}
	back := time.Now()
	time.Sleep(time.Until(sentAt.Add(pingDelay)))
	status := late(f.Seeds[1])
	record.Printf("the ping that %s sent %s ago arrives: %d", leaves.ID, time.Since(sentAt).Round(time.Millisecond), status)

	// From here on all machines are in touch, and the time to drain is long over.
	time.Sleep(time.Until(back.Add(contactTime + 200*time.Millisecond)))
	if time.Since(left) < drainTime {
		return unplayed, fmt.Errorf("the time to drain is not over")
	}
	var runs atomic.Int64
	leaves.SetOnRun(func(*http.Request) { runs.Add(1) })
	for i := 0; time.Since(left) < lingerTime; i++ {
		lab.Request(record, fronts[i%len(fronts)].Clients(), lab.Host, "GET", "/look/x", "", lab.Key, time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	record.Printf("%d requests reached %s later than %s after its leave was acknowledged", runs.Load(), leaves.ID, drainTime)
	if runs.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
