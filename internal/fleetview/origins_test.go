package fleetview

import (
	"context"
	"testing"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// sentRequests is the sending half of a session.
type sentRequests struct {
	fleetpb.DRPCDirectory_FollowClient
	requests chan *fleetpb.FollowRequest
}

func (s sentRequests) Send(req *fleetpb.FollowRequest) error {
	s.requests <- req
	return nil
}

// Guards against a router that is lost before it has reported which version began a stream:
// an urgent origin leaves at once, without the cost of a confirmation.
func TestUrgentOriginsAreReportedAtOnce(t *testing.T) {
	v, l := newView()
	l.report = make(chan struct{}, 1)
	v.reportTo.Store(l)
	server := streamorigin.Origin{Service: "chat", Version: "v1"}
	v.RecordOrigin(1, server, false)
	if len(l.report) != 0 {
		t.Error("an origin that can wait does not wait")
	}
	v.RecordOrigin(1, server, true)
	if len(l.report) != 0 {
		t.Error("a known origin is reported again")
	}
	v.RecordOrigin(2, server, true)
	if len(l.report) != 1 {
		t.Fatal("an urgent origin waits")
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, done := sentRequests{requests: make(chan *fleetpb.FollowRequest)}, make(chan error, 1)
	go func() { done <- l.send(ctx, stream, make(chan ping, 16)) }()
	if first := <-stream.requests; first.Ping == 0 || len(first.Origins) != 1 || len(first.Origins[0].Streams) != 2 {
		t.Errorf("the first message is %v, want a ping with both origins", first)
	}
	// The messages that the signal causes, and no others, have no ping.
	for s := streamorigin.Stream(3); ; s++ {
		v.RecordOrigin(s, server, true)
		if req := <-stream.requests; req.Ping == 0 {
			break
		}
	}
	cancel()
	go func() {
		for range stream.requests {
		}
	}()
	<-done
	close(stream.requests)
}

// Guards against a request that goes on before the router has taken over the servers that came with
// the answer: it would still know one version alone.
func TestServersThatComeWithAnAnswerAreKnownOnceItArrives(t *testing.T) {
	v, l := newView()
	v.links[l.address] = l
	asked, done := make(chan bool, 1), make(chan []string, 1)
	go func() {
		_, known, serversKnown := v.origins.Lookup(t.Context(), 1, func() { asked <- true }, nil)
		if known || !serversKnown {
			t.Errorf("known %t, servers known %t, want false and true", known, serversKnown)
		}
		done <- v.opts.Fleet.Versions("chat")
	}()
	<-asked
	v.onUpdate(l, update{FollowUpdate: &fleetpb.FollowUpdate{
		Announcements:  []*fleetpb.Announcement{{Id: "new", Born: 1, Sequence: 1, Service: "chat", Address: "h:1", State: fleetpb.ServerState_READY, Version: "v2"}},
		UnknownStreams: []uint64{1}, ServersKnown: true,
	}})
	if got := <-done; len(got) != 1 || got[0] != "v2" {
		t.Errorf("the router knows versions %v, want v2", got)
	}
}
