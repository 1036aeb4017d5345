package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// publishPastASnapshot publishes configurations until the log has been replaced by a snapshot
// everywhere, and some more. It returns the last document.
func (c *cluster) publishPastASnapshot() (document string) {
	c.t.Helper()
	rng := rand.New(rand.NewPCG(11, 1))
	for version := uint64(1); version <= 14; version++ {
		incompressible := make([]byte, snapshotBytes/10)
		for i := range incompressible {
			incompressible[i] = byte(rng.Uint32())
		}
		document = fmt.Sprint(version, " ", string(incompressible))
		c.publish(hosts[0], version, document)
	}
	for h, n := range c.nodes {
		c.eventually("save a snapshot at "+h, func() bool {
			return slices.ContainsFunc(filesIn(c.t, n.fs), func(f string) bool { return strings.HasPrefix(f, "snapshot-") && !strings.HasSuffix(f, ".tmp") })
		})
	}
	return document
}

// restart stops the processes at the same time and starts them again with their disks. Each must be the voter
// that it was.
func (c *cluster) restart(hosts ...string) {
	c.t.Helper()
	disks, ids := map[string]vfs.FS{}, map[string]string{}
	for _, h := range hosts {
		disks[h], ids[h] = c.nodes[h].fs, c.nodes[h].p.store.DiskID()
	}
	c.stop(hosts...)
	for _, h := range hosts {
		if p := c.start(h, disks[h]); p.store.DiskID() != ids[h] || p.setAside != 0 {
			c.t.Errorf("%s started with another disk identity, and %d contents set aside: its folder is sound", h, p.setAside)
		}
	}
}

// Guards against a directory that is lost with its first joint restart after a snapshot, against sound folders that
// are set aside at each planned restart, and against a process with an empty disk that cannot load the snapshot
// which it is sent, since its leader holds no log before it.
func TestProcessesStartAgainFromTheirSnapshots(t *testing.T) {
	c := newCluster(t, 3)
	document := c.publishPastASnapshot()
	c.restart(hosts[:3]...)
	for _, h := range hosts[:3] {
		c.awaitDocument(h, document)
	}
	for _, h := range hosts[:3] {
		c.restart(h)
		c.awaitDocument(h, document)
	}
	c.stop(hosts[2])
	p := c.start(hosts[2], vfs.NewMem())
	c.eventually("admit the new disk", func() bool { return isVoter(p.group.Status().Voters, p.voterManager().id, p.store.DiskID()) })
	if !slices.ContainsFunc(filesIn(t, c.nodes[hosts[2]].fs), func(f string) bool { return strings.HasPrefix(f, "snapshot-") }) {
		t.Error("the process with an empty disk was not sent a snapshot")
	}
	c.awaitDocument(hosts[2], document)
	c.publish(hosts[2], 20, "twenty")
	c.restart(hosts[:3]...)
	c.awaitDocument(hosts[2], "twenty")
}
