//go:build review

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/kumquathollow/kumquathollow/review/lab"
)

func init() { plays["1"] = lostVoter }

// lostVoter replaces a core machine by an empty one at another address. Later all core
// processes are killed and one of them returns with an empty disk.
func lostVoter(record *lab.Record, trouble bool) (int, error) {
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
	runner, err := lab.StartRunner(f, "i-1", "reservas", lab.Zones[0], f.Seeds)
	if err != nil {
		return unplayed, err
	}
	defer runner.Close()
	if !serves(record, fronts, 20*time.Second) {
		return unplayed, fmt.Errorf("the fleet does not serve")
	}
	time.Sleep(5 * time.Second)
	if !op.Order("/-/config/replace", lab.Manifest(2), f.Seeds[0], 10*time.Second) {
		return unplayed, fmt.Errorf("version 2 was not accepted")
	}
	time.Sleep(2 * time.Second)

	// The machine in the second zone is gone for good; another one comes a second later.
	dirs[1].Kill()
	time.Sleep(time.Second)
	f.Seeds = []string{f.ControlAddress(1), f.ControlAddress(4), f.ControlAddress(3)}
	replacement, err := f.Directory(4, lab.Zones[1], false)
	if err != nil {
		return unplayed, err
	}
	if err := replacement.Start(); err != nil {
		return unplayed, err
	}
	op.SetNodes(f.Seeds...)
	runner.SetNodes(f.Seeds)
	now := []*lab.Proc{dirs[0], replacement, dirs[2]}
	time.Sleep(15 * time.Second)
	if v, ok := op.Read(5 * time.Second); !ok || v != 2 {
		return unplayed, fmt.Errorf("the manifest could not be read after the replacement")
	}

	if trouble {
		record.Printf("final fault: all core processes are killed; %s loses its disk", dirs[2].Name)
		for _, p := range now {
			p.Signal(syscall.SIGKILL)
		}
		for _, p := range now {
			p.Kill()
		}
		if err := os.RemoveAll(dirs[2].Data); err != nil {
			return unplayed, err
		}
		time.Sleep(time.Second)
		for _, p := range now {
			if err := f.Later(p); err != nil {
				return unplayed, err
			}
			if err := p.Start(); err != nil {
				return unplayed, err
			}
		}
	}
	back := time.Now()
	v, ok := op.Read(40 * time.Second)
	record.Printf("read back %s after the machines were back: version %d, answered: %v", time.Since(back).Round(time.Millisecond), v, ok)
	served := serves(record, fronts, 12*time.Second)
	record.Printf("served: %v", served)
	if !ok || v != 2 || !served {
		return broken, nil
	}
	return held, nil
}

// serves reports whether all routers serve within the time.
func serves(record *lab.Record, fronts []*lab.Proc, within time.Duration) bool {
	end := time.Now().Add(within)
	for _, r := range fronts {
		for {
			_, a := lab.Request(record, r.Clients(), lab.Host, "GET", "/look/x", "", lab.Key, time.Second)
			if a.Err == nil && a.Status == 200 {
				break
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}
