//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// cutTime is how long the router is cut off from all core machines.
	cutTime = 5500 * time.Millisecond
	// keyedInterval is the time between the requests of the one requester.
	keyedInterval = 50 * time.Millisecond
)

// keyedRequest is a request that was sent with the key.
type keyedRequest struct {
	id     string
	sentAt time.Time
}

// revokedKey takes a key away while the router is cut off from the core, and goes on with it on an open connection, on a route
// that needs no key.
func revokedKey(s *stage, trouble bool) error {
	_, router, nodes, err := s.startFleet(true)
	if err != nil {
		return err
	}
	v, err := s.startServer("i-1", 7, zone(0), nodes)
	if err != nil {
		return err
	}
	m := newManifest(1)
	open := m.Routes[1]
	open.Name, open.Prefix, open.Anonymous = "r-open", "/open/", true
	m.Routes = append(m.Routes, open)
	o := s.newOperator(nodes)
	if err := o.publish(m, 10*time.Second); err != nil {
		return err
	}
	if err := awaitService(router); err != nil {
		return err
	}
	c, err := net.Dial("tcp", router)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if trouble {
		pid := s.pidOf(frontName)
		s.note("process %d is cut off from all core machines for %s", pid, cutTime)
		for _, l := range s.links {
			l.cut(pid)
			time.AfterFunc(cutTime, func() { l.cut(0) })
		}
	}
	began := time.Now()
	m.Version, m.Tenants[0].Keys = 2, []string{"anfqasnmgkcuyj8pjbvk"}
	acked := make(chan time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		err := o.publish(m, 4*time.Second)
		at := time.Now()
		s.note("manifest 2 without the key: %v", err)
		if err != nil {
			failed <- err
			return
		}
		acked <- at
	}()
	var sent []keyedRequest
	br := bufio.NewReader(c)
	for i := 0; time.Since(began) < cutTime-keyedInterval; i++ {
		r := keyedRequest{id: fmt.Sprintf("open-%04d", i), sentAt: time.Now()}
		_ = c.SetDeadline(r.sentAt.Add(4 * time.Second))
		_, err := fmt.Fprintf(c, "GET /open/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nApi-Key: %s\r\n\r\n", host, r.id, apiKey)
		if err != nil {
			return fmt.Errorf("the open connection ended: %w", err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return fmt.Errorf("the open connection ended: %w", err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		sent = append(sent, r)
		tenant, ran := v.tenantOf(r.id)
		s.note("%s answered %d, ran %t with tenant %q", r.id, resp.StatusCode, ran, tenant)
		time.Sleep(keyedInterval)
	}
	var ackedAt time.Time
	select {
	case ackedAt = <-acked:
	case err := <-failed:
		return err
	}
	late, asTenant := 0, 0
	for _, r := range sent {
		if r.sentAt.Sub(ackedAt) <= keyTime {
			continue
		}
		late++
		if tenant, ran := v.tenantOf(r.id); ran && tenant != "" {
			asTenant++
		}
	}
	s.note("%d requests were sent over %s after the acknowledgement; %d of them ran as the tenant that no longer holds the key", late, keyTime, asTenant)
	switch {
	case late == 0:
		return fmt.Errorf("no request was sent late enough")
	case asTenant > 0:
		return broken("UNASKED, CONFIG: %d of %d requests whose key was taken away over %s before ran as its former tenant", asTenant, late, keyTime)
	}
	return nil
}
