package directory

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
)

// damageFolder makes a data folder unreadable: its log remains, its identity does not.
func damageFolder(t *testing.T, fs vfs.FS) {
	t.Helper()
	if err := fs.Remove("data/identity"); err != nil {
		t.Fatal(err)
	}
}

func filesIn(t *testing.T, fs vfs.FS) []string {
	t.Helper()
	names, err := fs.List("data")
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	return names
}

// Guards against a damaged folder that needs an operator although a quorum of the others
// holds everything, and against a process that votes as its former self afterwards. Both a
// follower's and the leader's folder is taken.
func TestADamagedFolderIsReplacedWhileOthersHaveAQuorum(t *testing.T) {
	for _, leaders := range []bool{false, true} {
		c := newCluster(t, 3)
		c.publish(hosts[0], 1, "one")
		victim := ""
		for h, n := range c.nodes {
			if n.p.group.Status().Leading == leaders {
				victim = h
			}
		}
		fs, disk := c.nodes[victim].fs, c.nodes[victim].p.store.DiskID()
		c.stop(victim)
		damageFolder(t, fs)
		p := c.start(victim, fs)
		if p.store.DiskID() == disk {
			t.Fatal("the process came back as the voter that it was")
		}
		c.eventually("admit the new disk", func() bool {
			for h, n := range c.nodes {
				if h != victim && !isVoter(n.p.group.Status().Voters, p.voterManager().id, p.store.DiskID()) {
					return false
				}
			}
			return true
		})
		c.awaitDocument(victim, "one")
		if !slices.ContainsFunc(filesIn(t, fs), func(n string) bool { return strings.HasPrefix(n, "damaged-1-log-") }) {
			t.Errorf("the damaged log is not kept: %v", filesIn(t, fs))
		}
		if p.setAside != 1 {
			t.Errorf("%d contents are counted as set aside, want 1", p.setAside)
		}
		// The group tolerates the loss of another process now.
		for h := range c.nodes {
			if h != victim {
				c.stop(h)
				break
			}
		}
		c.publish(victim, 2, "two")
		for h := range c.nodes {
			c.stop(h)
		}
	}
}

// A process joins while another one's folder is being replaced: two changes of voters at once.
func TestADamagedFolderIsReplacedDuringAChangeOfVoters(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	fs := c.nodes[hosts[1]].fs
	c.stop(hosts[1])
	damageFolder(t, fs)
	joined := c.start(hosts[3], vfs.NewMem())
	replaced := c.start(hosts[1], fs)
	for _, p := range []*Process{joined, replaced} {
		c.eventually("admit "+p.voterManager().id, func() bool {
			return isVoter(c.nodes[hosts[0]].p.group.Status().Voters, p.voterManager().id, p.store.DiskID())
		})
	}
	c.publish(hosts[1], 2, "two")
	for _, h := range hosts[:4] {
		c.awaitDocument(h, "two")
	}
}

// Two of three damaged folders leave no quorum, and all three leave nothing but them: they
// must stay as they are.
func TestDamagedFoldersAreKeptWithoutAQuorum(t *testing.T) {
	for _, damaged := range []int{2, 3} {
		c := newCluster(t, 3)
		c.publish(hosts[0], 1, "one")
		disks := map[string]vfs.FS{}
		for _, h := range hosts[:damaged] {
			disks[h] = c.nodes[h].fs
			c.stop(h)
		}
		type result struct {
			host string
			err  error
		}
		results := make(chan result, damaged)
		ctx, cancel := context.WithCancel(t.Context())
		before := map[string][]string{}
		for h, fs := range disks {
			damageFolder(t, fs)
			before[h] = filesIn(t, fs)
			go func() {
				_, err := OpenOrReplace(ctx, fs, c.settings(h), hclog.NewNullLogger())
				results <- result{h, err}
			}()
		}
		select {
		case r := <-results:
			t.Errorf("%s did not wait: %v", r.host, r.err)
			damaged--
		case <-time.After(2 * quorumPollInterval):
		}
		cancel()
		for range damaged {
			if r := <-results; !errors.Is(r.err, context.Canceled) {
				t.Errorf("%s ended with %v, want the cancellation", r.host, r.err)
			}
		}
		for h, fs := range disks {
			if after := filesIn(t, fs); !slices.Equal(after, before[h]) {
				t.Errorf("the folder of %s changed from %v to %v", h, before[h], after)
			}
		}
		for h := range c.nodes {
			c.stop(h)
		}
	}
}

// Guards against a process that ends again and again since it starts for the first time on a
// full disk: it opens its data folder once there is room, and leaves nothing half written.
func TestAFirstStartOnAFullDiskWaitsForRoom(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	var full atomic.Bool
	full.Store(true)
	fs := newFillableFS(&full)
	type result struct {
		p   *Process
		err error
	}
	open := func(ctx context.Context) chan result {
		done := make(chan result, 1)
		go func() {
			p, err := OpenOrReplace(ctx, fs, c.settings(hosts[3]), hclog.NewNullLogger())
			done <- result{p, err}
		}()
		return done
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := open(ctx)
	select {
	case r := <-stopped:
		t.Fatalf("the process ended on a full disk: %v", r.err)
	case <-time.After(300 * time.Millisecond):
	}
	cancel()
	if r := <-stopped; r.p != nil || !errors.Is(r.err, context.Canceled) {
		t.Errorf("stopped while it waited: %v, %v", r.p, r.err)
	}
	waiting := open(t.Context())
	full.Store(false)
	if r := <-waiting; r.err != nil {
		t.Fatalf("with room again: %v", r.err)
	} else if err := r.p.close(); err != nil {
		t.Error(err)
	}
	p := c.start(hosts[3], fs)
	c.eventually("admit the new disk", func() bool {
		return isVoter(c.nodes[hosts[0]].p.group.Status().Voters, p.voterManager().id, p.store.DiskID())
	})
	c.awaitDocument(hosts[3], "one")
}
