//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	// lostShare is the share of the answers that one of the two servers loses.
	lostShare = 0.4
	// orders is how many requests are sent of each form.
	orders = 150
)

// encodedSlash sends requests that may run at most once, with a slash in the last part of the path, while a server
// loses answers. By its raw path, each is of the route /orders/, which is unsafe; /orders/status/ is safe.
func encodedSlash(s *stage, trouble bool) error {
	_, router, nodes, err := s.startFleet(false)
	if err != nil {
		return err
	}
	var servers []*server
	for i := range 2 {
		v, err := s.startServer(fmt.Sprintf("i-%d", i), 7+i, zone(i), nodes)
		if err != nil {
			return err
		}
		servers = append(servers, v)
	}
	m := newManifest(1)
	safe, unsafe := m.Routes[1], m.Routes[0]
	unsafe.Name, unsafe.Prefix = "r-orders", "/orders/"
	safe.Name, safe.Prefix = "r-status", "/orders/status/"
	open := safe
	open.Name, open.Prefix, open.Anonymous = "r-public", "/orders/public/", true
	m.Routes = append(m.Routes, unsafe, safe, open)
	if err := s.newOperator(nodes).publish(m, 10*time.Second); err != nil {
		return err
	}
	if err := awaitService(router); err != nil {
		return err
	}
	if trouble {
		servers[0].loseAnswers(func(id string) bool {
			h := fnv.New32a()
			_, _ = h.Write([]byte(id))
			return float64(h.Sum32()%1000) < lostShare*1000
		})
	}
	var all sync.WaitGroup
	twice := map[string]int{}
	for i := range orders {
		for form, path := range map[string]string{"plain": "/orders/new-%d", "encoded": "/orders/status%%2F%d"} {
			id, path := fmt.Sprintf("%s-%04d", form, i), fmt.Sprintf(path, i)
			all.Go(func() { s.note("POST %s %s answered %d", path, id, request(router, http.MethodPost, path, id)) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	for _, form := range []string{"plain", "encoded"} {
		for i := range orders {
			id := fmt.Sprintf("%s-%04d", form, i)
			if n := servers[0].runsOf(id) + servers[1].runsOf(id); n > 1 {
				twice[form]++
				s.note("%s ran %d times: %d at %s, %d at %s", id, n, servers[0].runsOf(id), servers[0].id, servers[1].runsOf(id), servers[1].id)
			}
		}
	}
	// Not part of the check: /orders/ needs a key, and /orders/public/ none.
	unknown := map[int]int{}
	for i := range 20 {
		unknown[requestWithKey(router, http.MethodPost, fmt.Sprintf("/orders/public%%2F%d", i), fmt.Sprintf("keyless-%d", i), "")]++
	}
	s.note("20 requests to /orders/public%%2F... without a key: answers by status %v", unknown)
	s.note("requests that ran more than once: %d of %d with a plain path, %d of %d with an encoded slash", twice["plain"], orders, twice["encoded"], orders)
	if n := twice["plain"] + twice["encoded"]; n > 0 {
		return broken("TWICE: %d requests of an unsafe route ran more than once", n)
	}
	return nil
}
