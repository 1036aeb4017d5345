package directory

import (
	"context"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/publication"
)

// Guards against a first configuration of version 0 that is acknowledged and dropped, and against the next
// one, which is compressed against it, that no process can decompress.
func TestAFirstConfigurationOfVersionZeroIsInForce(t *testing.T) {
	c := newCluster(t, 3)
	c.publish(hosts[0], 0, "zero")
	for _, h := range hosts[:3] {
		c.awaitDocument(h, "zero")
	}
	c.publish(hosts[1], 0, "another zero")
	c.awaitDocument(hosts[1], "zero")
	fs := c.nodes[hosts[2]].fs
	c.stop(hosts[2])
	c.start(hosts[2], fs)
	c.awaitDocument(hosts[2], "zero")
	c.publish(hosts[2], 1, "one after zero")
	for _, h := range hosts[:3] {
		c.awaitDocument(h, "one after zero")
	}
	c.publish(hosts[0], 0, "zero")
	c.awaitDocument(hosts[0], "one after zero")
}

// Guards against processes of an earlier release, which give version 0 no effect, and count other
// revisions than the rest from then on.
func TestVersionZeroWaitsForProcessesThatApplyIt(t *testing.T) {
	has := func(f features) bool { return f.versionZero }
	h, _, _ := leadingHub(t)
	h.updateKnowsAllServers()
	s := newSession(h, "r1")
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", AppliesVersionZero: true})
	if h.obstacle(has) == "" {
		t.Error("a router of an earlier release is no obstacle")
	}
	if call := h.takeCall(newPeer("d:2")); call.req.AppliesVersionZero {
		t.Error("the process says that all its routers apply version 0, and one does not")
	}
	h.handleRequest(s, &fleetpb.FollowRequest{Ping: 1, AppliesVersionZero: true})
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2"})
	if h.obstacle(has) == "" {
		t.Error("a directory process of an earlier release is no obstacle")
	}
	h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", AppliesVersionZero: true})
	if o := h.obstacle(has); o != "" {
		t.Errorf("%s is an obstacle, although all apply version 0", o)
	}
}

// Guards against an acknowledgement of version 0 while a process of an earlier release would drop it.
func TestVersionZeroIsNotAcknowledgedBesideAnEarlierRelease(t *testing.T) {
	c := newCluster(t, 1)
	p := c.nodes[hosts[0]].p
	c.eventually("a leader", func() bool { return p.group.Status().Leading })
	earlier := &session{router: "r1", queue: make(chan *fleetpb.FollowUpdate, sessionQueueSize), cancel: func() {}}
	p.hub.post(t.Context(), func() { p.hub.openSession(earlier) })
	if err := p.Publish(context.Background(), 0, []byte("zero")); !errkind.Is(err, errkind.NotReady) || p.machine.State().Configuration != nil {
		t.Errorf("beside a router of an earlier release: %v, want not-ready", err)
	}
	p.hub.post(t.Context(), func() { p.hub.closeSession(earlier) })
	c.publish(hosts[0], 0, "zero")
	c.awaitDocument(hosts[0], "zero")
}

// Guards against logs of earlier releases that have another effect than they had: processes that apply them
// again would count other revisions than those that restore a snapshot.
func TestVersionZeroOfAnEarlierReleaseStaysWithoutEffect(t *testing.T) {
	packed, err := publication.Compress([]byte("zero"), nil)
	if err != nil {
		t.Fatal(err)
	}
	empty := &publication.State{}
	after, err := empty.Apply(&fleetpb.Command{Op: &fleetpb.Command_Publish{Publish: &fleetpb.Publish{Document: packed}}})
	if err != nil || after != empty {
		t.Errorf("state %+v, error %v, want the empty state", after, err)
	}
}
