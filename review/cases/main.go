//go:build review

// Command cases plays one case of the review: cases NUMBER RECORD.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/kumquathollow/kumquathollow/review/lab"
)

const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// plays holds the cases by number. A case returns held, broken or unplayed; trouble is false if
// it is to be played without its disruption.
var plays = map[string]func(record *lab.Record, trouble bool) (int, error){}

// limit is the longest time that a case takes.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NUMBER RECORD")
		os.Exit(unplayed)
	}
	record, err := lab.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unplayed)
	}
	time.AfterFunc(limit, func() {
		record.Printf("the case took over %s", limit)
		lab.CloseAll()
		os.Exit(unplayed)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		record.Printf("stopped by a signal: %v", <-stop)
		lab.CloseAll()
		os.Exit(unplayed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	result, err := plays[os.Args[1]](record, trouble)
	if err != nil {
		record.Printf("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = unplayed
	}
	record.Printf("result: %d", result)
	os.Exit(result)
}

// core starts three directory processes and two routers and publishes a manifest.
func core(f *lab.Fleet, op *lab.Operator, routers int) (dirs, fronts []*lab.Proc, err error) {
	for n := 1; n <= 3; n++ {
		f.Seeds = append(f.Seeds, f.ControlAddress(n))
	}
	for n := 1; n <= 3; n++ {
		d, err := f.Directory(n, lab.Zones[n-1], true)
		if err != nil {
			return nil, nil, err
		}
		dirs = append(dirs, d)
	}
	for n := 1; n <= routers; n++ {
		r, err := f.Router(n, lab.Zones[(n-1)%3])
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, r)
	}
	for _, p := range append(append([]*lab.Proc(nil), dirs...), fronts...) {
		if err := p.Start(); err != nil {
			return nil, nil, err
		}
	}
	op.SetNodes(f.Seeds...)
	if !op.Order("/-/config/replace", lab.Manifest(1), f.Seeds[0], 20*time.Second) {
		return nil, nil, fmt.Errorf("the first manifest was not accepted")
	}
	return dirs, fronts, nil
}
