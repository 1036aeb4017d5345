//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// catchUp is catch_up_s of the sheet: a machine that is removed stops counting as lost once its successor has had that time.
	catchUp = 4 * time.Second
	// recoveryTime is recovery_s, and graceTime grace_s.
	recoveryTime, graceTime = 12 * time.Second, 8 * time.Second
)

// addCore starts an empty machine of the core in a zone, at an address of its own.
func (f *fleet) addCore(zone string) (*node, error) {
	n := f.newNode("directory", f.coreCount, 1)
	n.zone = zone
	f.coreCount++
	if err := f.writeSettings(n, false); err != nil {
		return nil, err
	}
	f.cores = append(f.cores, n)
	f.rec.say("an empty machine, %s, joins the core at %s", n.name, n.ip)
	return n, f.start(n)
}

// removeCore takes a machine out of the list of those that serve control. It never comes back.
func (f *fleet) removeCore(n *node) {
	var left []*node
	for _, c := range f.cores {
		if c != n {
			left = append(left, c)
		}
	}
	f.cores, f.removed = left, append(f.removed, n)
}

// wipe has a machine lose its disk: it restarts at its address with an empty data folder.
func (f *fleet) wipe(n *node, down time.Duration) error {
	n.kill()
	if err := os.RemoveAll(filepath.Join(f.dir, n.name+"-data")); err != nil {
		return err
	}
	f.rec.say("%s has lost power and its disk", n.name)
	time.Sleep(down)
	if err := f.writeSettings(n, false); err != nil {
		return err
	}
	f.rec.say("%s is back with an empty disk", n.name)
	return f.start(n)
}

// readManifest reads the manifest at one machine after the other.
func (f *fleet) readManifest(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range f.controlAddresses() {
			status, got, err := call(http.MethodGet, "http://"+a+"/-/config/get", nil)
			f.rec.add("operator: read of the manifest at %s: %d %v %.100s", a, status, err, got)
			if err == nil && status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// versionOf returns the version of a manifest.
func versionOf(manifest []byte) string {
	var m struct {
		Version json.Number `json:"version"`
	}
	_ = json.Unmarshal(manifest, &m) // An unreadable one has no version.
	return m.Version.String()
}

// checkCore changes the manifest and reads it back, as at the end of a day, long after all bounds have passed, and counts what
// requesters are answered then.
func (f *fleet) checkCore(q *requester, version int) (held bool) {
	f.rec.say("answers until now: %s", q.counts())
	q.reset()
	_, ackErr := f.order("/-/config/replace", lookManifest(version), 10*time.Second)
	read := f.readManifest(10 * time.Second)
	time.Sleep(time.Second)
	f.rec.say("answers in the meantime: %s", q.counts())
	f.rec.say("manifest %d: acknowledged %t; the manifest comes when it is read: %t", version, ackErr == nil, read)
	return read
}

// runSuccessor replaces a machine of the core as planned: its successor starts first. Once the successor has had catch_up_s, the old
// one gets SIGTERM and is removed. A second later another machine loses its disk.
func runSuccessor(rec *record, trouble bool) (held bool, err error) {
	f, err := startDeployment(rec, 3, 3)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	all := &arrivals{}
	for i := range 3 {
		s, err := startLookServer(f, all, i, 0)
		if err != nil {
			return false, err
		}
		defer s.crash()
	}
	time.Sleep(2 * time.Second)
	q := newRequester(f, lookHost, lookKey)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer func() {
		cancel()
		clients.Wait()
	}()
	clients.Go(func() { offerLook(ctx, f, q, 20) })
	time.Sleep(4 * time.Second)
	old, other := f.cores[0], f.cores[1]
	if _, err := f.addCore(old.zone); err != nil {
		return false, err
	}
	time.Sleep(catchUp + time.Second)
	rec.say("planned: %s gets SIGTERM, %s after its successor has started", old.name, catchUp+time.Second)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(graceTime):
		old.kill()
	}
	f.removeCore(old)
	rec.say("planned: %s has ended and is removed", old.name)
	if trouble {
		time.Sleep(time.Second)
		if err := f.wipe(other, time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp + recoveryTime)
	return f.checkCore(q, 9), nil
}
