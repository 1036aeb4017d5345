package directory

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/replication"
)

// awaitVoters waits until the processes at the hosts know just these hosts as voters.
func (c *cluster) awaitVoters(at []string, want ...string) {
	c.t.Helper()
	for _, h := range at {
		c.eventually("voters at "+h, func() bool { return slices.Equal(c.voters(h), want) })
	}
}

// stopWithoutNotice stops processes that do not resign, as if they were killed.
func (c *cluster) stopWithoutNotice(hosts ...string) {
	for _, h := range hosts {
		c.nodes[h].p.voterManager().resigning.Store(true)
	}
	c.stop(hosts...)
}

// Guards against a directory that is lost for good by a planned replacement and a lost disk at once (review/12): of four
// voters one has ended, with or without notice, and another one has a new disk.
func TestAPlannedReplacementAndALostDiskLeaveAQuorum(t *testing.T) {
	for name, notice := range map[string]bool{"ended in order": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.publish(hosts[0], 1, "one")
			c.start(hosts[3], vfs.NewMem())
			c.awaitVoters(hosts[:4], hosts[:4]...)
			if notice {
				c.stop(hosts[0])
				c.stopWithoutNotice(hosts[1])
			} else {
				c.stopWithoutNotice(hosts[0], hosts[1])
			}
			p := c.start(hosts[1], vfs.NewMem())
			c.publish(hosts[2], 2, "two")
			c.eventually("admit the new disk", func() bool {
				return isVoter(c.nodes[hosts[3]].p.group.Status().Voters, p.voterManager().id, p.store.DiskID())
			})
			c.awaitVoters(hosts[1:4], hosts[1:4]...)
			for _, h := range hosts[1:4] {
				c.awaitDocument(h, "two")
			}
			// The next loss is borne as well.
			c.stopWithoutNotice(hosts[2])
			c.publish(hosts[3], 3, "three")
		})
	}
}

// Guards against voters that fall below what the losses call for, since a restart looks like an end: a process resigns
// only from a larger set, and joins again with the disk that it has.
func TestAProcessThatEndsResignsOnlyFromALargerSet(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	fs := c.nodes[hosts[2]].fs
	c.stop(hosts[2])
	if got := c.voters(hosts[0]); !slices.Equal(got, hosts[:3]) {
		t.Errorf("after the end of one of three voters %v are left", got)
	}
	c.start(hosts[2], fs)
	c.start(hosts[3], vfs.NewMem())
	c.awaitVoters(hosts[:4], hosts[:4]...)
	disk, fs := c.nodes[hosts[1]].p.store.DiskID(), c.nodes[hosts[1]].fs
	c.stop(hosts[1])
	rest := []string{hosts[0], hosts[2], hosts[3]}
	c.awaitVoters(rest, rest...)
	p := c.start(hosts[1], fs)
	c.awaitVoters(hosts[:4], hosts[:4]...)
	if p.store.DiskID() != disk {
		t.Error("the process joined again with another disk")
	}

	disks := map[string]vfs.FS{}
	for _, h := range hosts[:4] {
		disks[h] = c.nodes[h].fs
	}
	c.stop(hosts[:4]...)
	for _, h := range hosts[:4] {
		c.start(h, disks[h])
	}
	c.awaitVoters(hosts[:4], hosts[:4]...)
	c.publish(hosts[0], 2, "two")
}

// Guards against a process that waits for a leader which there is not, beyond the time that it has to end.
func TestAProcessThatReachesNoLeaderEndsAllTheSame(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	c.start(hosts[3], vfs.NewMem())
	c.awaitVoters(hosts[:4], hosts[:4]...)
	c.stopWithoutNotice(hosts[0], hosts[1])
	n := c.nodes[hosts[2]]
	n.stop()
	const graceTime = 8 * time.Second // of the users' platform
	select {
	case err := <-n.done:
		if err != nil {
			t.Error(err)
		}
		delete(c.nodes, hosts[2])
	case <-time.After(graceTime):
		t.Errorf("the process has not ended after %s", graceTime)
	}
}

// Guards against evidence from a former process: a request to join that comes late names the disk before, and the voter's
// own disk must not count as replaced.
func TestALateRequestToJoinDoesNotMakeADiskReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 1, "one")
	voter := c.nodes[hosts[1]].p
	for _, h := range hosts[:3] {
		p := c.nodes[h].p
		_, err := p.server.Join(context.Background(), &fleetpb.JoinRequest{Id: voter.voterManager().id, Address: voter.ownAddress, Disk: "a former disk"})
		if err != nil {
			t.Fatal(err)
		}
		if got := p.group.Status().Replaced; len(got) > 0 {
			t.Errorf("%s takes %v for replaced, and the voter runs with it", h, got)
		}
		if n := len(p.voterManager().pendingJoins); n > 0 {
			t.Errorf("%s has %d requests to join, and would remove the voter", h, n)
		}
	}
}

func TestOnlyAReplacedDiskThatIsNotKnownIsLookedInto(t *testing.T) {
	s := groupStatus(nil, "a", "b", "c")
	known := &replication.Status{Voters: s.Voters, Replaced: []string{"disk-b"}}
	for _, tc := range []struct {
		status   *replication.Status
		id, disk string
		want     bool
	}{
		{s, "b", "new", true},
		{s, "b", "disk-b", false},
		{s, "d", "new", false},
		{known, "b", "new", false},
		{known, "c", "new", true},
		{&replication.Status{}, "b", "new", false},
	} {
		if got := replacedVoter(tc.status, join(tc.id, tc.disk)) != nil; got != tc.want {
			t.Errorf("%s with disk %s, known %v: looked into is %v, want %v", tc.id, tc.disk, tc.status.Replaced, got, tc.want)
		}
	}
}
