package directory

import (
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// lastSync returns the last sync that the router was told, and whether a server was announced to it before.
func lastSync(s *session, id string) (sync uint64, announced bool) {
	for _, u := range drain(s) {
		for _, a := range u.Announcements {
			announced = announced || a.Id == id && sync == 0
		}
		if u.Synced != 0 {
			sync = u.Synced
		}
	}
	return sync, announced
}

// Guards against a router that takes the incarnations that it knows for those that run, although another process was
// told of a later one, or its own has not sent it yet.
func TestASyncIsAnsweredAfterTheServersOfAllProcesses(t *testing.T) {
	h, _, now := leadingHub(t)
	*now = now.Add(time.Minute)
	h.updateKnowsAllServers()
	*now = now.Add(learnTime)
	h.updateKnowsAllServers()
	relay := func(announcements ...*fleetpb.Announcement) {
		*now = now.Add(10 * time.Millisecond)
		h.receiveSpread(&fleetpb.SpreadRequest{From: "d:2", Announcements: announcements})
	}
	relay()
	relay()
	s := newSession(h, "r1")
	h.handleRequest(s, &fleetpb.FollowRequest{Ping: 1, Load: &fleetpb.Load{}, Sync: 5})
	h.flush()
	relay()
	h.flush()
	if sync, _ := lastSync(s, "x"); sync != 0 {
		t.Errorf("sync %d is answered after one call of the other process, which may have begun before the question", sync)
	}
	relay(&fleetpb.Announcement{Id: "x", Born: 2, Sequence: 1, Service: "chat", Address: "x:1", DataCentre: "a", State: fleetpb.ServerState_READY, Version: "v2"})
	h.flush()
	if sync, announced := lastSync(s, "x"); sync != 5 || !announced {
		t.Errorf("sync %d is answered, after the server: %t, want 5 after it", sync, announced)
	}
	h.merge(inventory.Server{ID: "y", Born: 1, Sequence: 1, Service: "chat", Address: "y:1", DataCentre: "a", State: inventory.Ready, LastSeen: *now}, true)
	h.handleRequest(s, &fleetpb.FollowRequest{Ping: 2, Sync: 6, Load: &fleetpb.Load{}})
	relay()
	relay()
	h.flush()
	if sync, announced := lastSync(s, "y"); sync != 6 || !announced {
		t.Errorf("sync %d is answered, after a server that waits to be sent: %t, want 6 after it", sync, announced)
	}
}

// Guards against streams that no router continues since a directory process was lost.
func TestASyncDoesNotWaitForASilentProcess(t *testing.T) {
	h, _, now := leadingHub(t)
	h.updateKnowsAllServers()
	*now = now.Add(learnTime)
	h.updateKnowsAllServers()
	s := newSession(h, "r1")
	h.handleRequest(s, &fleetpb.FollowRequest{Ping: 1, Load: &fleetpb.Load{}, Sync: 5})
	*now = now.Add(peerLoadTTL)
	h.flush()
	if sync, _ := lastSync(s, ""); sync != 5 {
		t.Errorf("sync %d is answered, want 5", sync)
	}
	// A process that learns of the servers itself answers none.
	h.knowsAllServers, h.quorumSince = false, *now
	h.handleRequest(s, &fleetpb.FollowRequest{Ping: 2, Sync: 6, Load: &fleetpb.Load{}})
	h.flush()
	if sync, _ := lastSync(s, ""); sync != 0 {
		t.Errorf("sync %d is answered by a process that does not know the servers", sync)
	}
}
