package replication

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// PeerServer answers the other processes of the group.
type PeerServer struct {
	g *Group
	// receiving admits one snapshot at a time.
	receiving sync.Mutex
	// Allow, if set, refuses callers that are not control processes.
	Allow func(ctx context.Context) error
}

var _ pb.DRPCPeerServer = (*PeerServer)(nil)

// PeerServer returns the group's server.
func (g *Group) PeerServer(allow func(ctx context.Context) error) *PeerServer {
	return &PeerServer{g: g, Allow: allow}
}

func (s *PeerServer) allowed(ctx context.Context) error {
	if s.Allow == nil {
		return nil
	}
	return s.Allow(ctx)
}

// Identify tells who this process is.
func (s *PeerServer) Identify(ctx context.Context, _ *pb.IdentifyRequest) (*pb.IdentifyResponse, error) {
	if err := s.allowed(ctx); err != nil {
		return nil, err
	}
	return s.g.identity(), nil
}

// Deliver takes messages in until the sender ends the stream.
func (s *PeerServer) Deliver(stream pb.DRPCPeer_DeliverStream) error {
	ctx := stream.Context()
	if err := s.allowed(ctx); err != nil {
		return err
	}
	for {
		b, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.DeliverResponse{})
		}
		if err != nil {
			return err
		}
		for _, m := range b.Messages {
			s.g.peers.learn(m.From, m.FromAddress)
			if err := s.g.post(ctx, func() { s.g.core.Step(m) }); err != nil {
				return err
			}
		}
	}
}

// InstallSnapshot takes a snapshot in, checks it and hands it to the core.
func (s *PeerServer) InstallSnapshot(stream pb.DRPCPeer_InstallSnapshotStream) error {
	ctx := stream.Context()
	if err := s.allowed(ctx); err != nil {
		return err
	}
	if !s.receiving.TryLock() {
		return errkind.New(errkind.NotReady, "another snapshot is being received")
	}
	defer s.receiving.Unlock()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	m := first.Message
	if m == nil || m.ToDisk != s.g.opt.Config.Disk {
		return errkind.New(errkind.WrongDisk, "the snapshot is meant for another disk")
	}
	rec, err := s.g.opt.Storage.ReceiveSnapshot(func(w io.Writer) error { return copyParts(w, first, stream) })
	if err != nil {
		return err
	}
	m.Snapshot = rec.Meta
	s.g.peers.learn(m.From, m.FromAddress)
	taken := make(chan struct{})
	err = s.g.post(ctx, func() {
		s.g.received = rec
		s.g.core.Step(m)
		close(taken)
	})
	if err != nil {
		return err
	}
	select {
	case <-taken:
	case <-s.g.done:
	}
	return stream.SendAndClose(&pb.DeliverResponse{})
}

func copyParts(w io.Writer, part *pb.SnapshotPart, stream pb.DRPCPeer_InstallSnapshotStream) error {
	for {
		if _, err := w.Write(part.Data); err != nil {
			return err
		}
		next, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		part = next
	}
}
