//go:build review

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/kumquathollow/kumquathollow/review/lab"
)

func init() { plays["2"] = twoRemoved }

const (
	// successorTime is how long the successors run before the old machines are stopped; the
	// bound catch_up_s is 4 s.
	successorTime = 10 * time.Second
	// graceTime is the bound grace_s.
	graceTime = 8 * time.Second
	// calmTime is the time from the end of the replacement to the loss of a disk.
	calmTime = 20 * time.Second
)

// twoRemoved replaces two core machines as planned work: their successors start first, then the
// old machines get SIGTERM together. Later one core machine loses its disk.
func twoRemoved(record *lab.Record, trouble bool) (int, error) {
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
	var successors []*lab.Proc
	for n := 4; n <= 5; n++ {
		p, err := f.Directory(n, lab.Zones[n-3], false)
		if err != nil {
			return unplayed, err
		}
		if err := p.Start(); err != nil {
			return unplayed, err
		}
		successors = append(successors, p)
	}
	time.Sleep(successorTime)
	now := []*lab.Proc{dirs[0], successors[0], successors[1]}
	f.Seeds = nil
	for _, p := range now {
		f.Seeds = append(f.Seeds, p.Control())
	}
	op.SetNodes(f.Seeds...)
	runner.SetNodes(f.Seeds)
	for _, p := range now {
		if err := f.Later(p); err != nil {
			return unplayed, err
		}
	}
	for _, old := range dirs[1:] {
		old.Signal(syscall.SIGTERM)
	}
	for _, old := range dirs[1:] {
		for end := time.Now().Add(graceTime); old.Running() && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		record.Printf("%s has ended by itself: %v", old.Name, !old.Running())
		if old.Running() {
			old.Kill()
		}
	}
	time.Sleep(calmTime)
	if !op.Order("/-/config/replace", lab.Manifest(2), f.Seeds[0], 10*time.Second) {
		return unplayed, fmt.Errorf("version 2 was not accepted after the replacement")
	}
	if !serves(record, fronts, 5*time.Second) {
		return unplayed, fmt.Errorf("the fleet does not serve after the replacement")
	}

	if trouble {
		lost := successors[0]
		record.Printf("%s loses its disk", lost.Name)
		lost.Kill()
		if err := os.RemoveAll(lost.Data); err != nil {
			return unplayed, err
		}
		time.Sleep(time.Second)
		if err := lost.Start(); err != nil {
			return unplayed, err
		}
	}
	back := time.Now()
	time.Sleep(12 * time.Second)
	v, ok := op.Read(25 * time.Second)
	record.Printf("read back %s after the machine was back: version %d, answered: %v", time.Since(back).Round(time.Millisecond), v, ok)
	served := serves(record, fronts, 5*time.Second)
	record.Printf("served: %v", served)
	if !ok || v != 2 || !served {
		return broken, nil
	}
	return held, nil
}
