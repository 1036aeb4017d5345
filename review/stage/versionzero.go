//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// contactTime is for how long the manifest is read at least at the end of a day.
const contactTime = 3 * time.Second

// versionZero publishes a first manifest with the number 0, or 1 without the trouble, and reads it back.
func versionZero(s *stage, trouble bool) error {
	_, router, nodes, err := s.startFleet(false)
	if err != nil {
		return err
	}
	if _, err := s.startServer("i-1", 7, zone(0), nodes); err != nil {
		return err
	}
	number := uint64(1)
	if trouble {
		number = 0
	}
	o := s.newOperator(nodes)
	if err := o.publish(newManifest(number), 10*time.Second); err != nil {
		return err
	}
	s.note("manifest %d, the first one, was acknowledged", number)
	time.Sleep(recovery)
	version, rerr := o.read(2 * contactTime)
	s.note("read back: version %d, %v", version, rerr)
	answers := map[int]int{}
	for i := range 40 {
		answers[request(router, http.MethodGet, "/look/1", fmt.Sprintf("z-%d", i))]++
		time.Sleep(20 * time.Millisecond)
	}
	s.note("answers of the router by status: %v", answers)
	if rerr != nil {
		return broken("CONFIG: manifest %d was acknowledged and doesn't come: %v; answers %v", number, rerr, answers)
	}
	if answers[http.StatusOK] == 0 {
		return broken("CONFIG: manifest %d was acknowledged and is not in force: answers %v", number, answers)
	}
	return nil
}
