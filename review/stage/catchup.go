//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

const (
	// changes is how many manifests the day had before, and changedRoutes how many routes each replaced.
	changes       = 600
	changedRoutes = 350
)

// catchUpOfLostDisk loses the disk of one core machine, waits until it counts as caught up, and loses that of another one.
func catchUpOfLostDisk(s *stage, trouble bool) error {
	cores, router, nodes, err := s.startFleet(true)
	if err != nil {
		return err
	}
	if _, err := s.startServer("i-1", 7, zone(0), nodes); err != nil {
		return err
	}
	o := s.newOperator(nodes)
	r := rand.New(rand.NewPCG(1, 2))
	var m *manifest
	for v := range uint64(changes) {
		m = newManifest(v + 1)
		m.addRoutes(r, changedRoutes)
		if err := o.publish(m, 10*time.Second); err != nil {
			return err
		}
		if v%50 == 0 {
			s.note("manifest %d acknowledged", m.Version)
		}
	}
	s.note("manifest %d acknowledged", m.Version)
	version, err := o.read(5 * time.Second)
	if err != nil || version != m.Version {
		return fmt.Errorf("before the disruption: version %d, %w", version, err)
	}
	q := s.startRequesters([]string{router}, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	before := q.counts(time.Now().Add(-2*time.Second), time.Now())
	s.note("before: answers by status %v", before)
	if before[200] < 50 {
		return fmt.Errorf("the fleet does not serve before the disruption: %v", before)
	}
	if trouble {
		for _, lost := range cores[:2] {
			if err := loseDisk(lost); err != nil {
				return err
			}
			time.Sleep(catchUp + 500*time.Millisecond)
		}
	}
	time.Sleep(recovery)
	s.note("all machines are back for over %s", recovery)
	version, err = o.read(10 * time.Second)
	now := time.Now()
	after := q.counts(now.Add(-5*time.Second), now)
	s.note("read: version %d, %v; answers of the last 5 s by status %v", version, err, after)
	perr := o.publish(newManifest(m.Version+1), 5*time.Second)
	s.note("next manifest: %v", perr)
	switch {
	case err != nil:
		return broken("manifest %d was acknowledged and can't be read: %v; answers %v", m.Version, err, after)
	case version < m.Version:
		return broken("manifest %d was acknowledged, read was %d", m.Version, version)
	}
	return nil
}

// loseDisk kills a core machine, which comes back a second later with an empty disk.
func loseDisk(p *process) error {
	p.kill()
	if err := os.RemoveAll(p.data); err != nil {
		return err
	}
	p.s.note("%s has lost its disk", p.name)
	time.Sleep(time.Second)
	if err := p.writeDirectorySettings(zone(p.host-1), p.s.seeds(), false, true); err != nil {
		return err
	}
	return p.start()
}
