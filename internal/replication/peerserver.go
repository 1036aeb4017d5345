package replication

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// PeerServer handles the calls of the other processes of the group.
type PeerServer struct {
	g *Group
	// receiveMu is held from the start of a snapshot's transfer until the snapshot is installed or
	// refused, since the next one is stored in its place.
	receiveMu sync.Mutex
	// Authorise, if set, returns an error for callers that are not members of the
	// control group.
	Authorise func(ctx context.Context) error
}

var _ pb.DRPCPeerServer = (*PeerServer)(nil)

// PeerServer returns the group's server.
func (g *Group) PeerServer(authorise func(ctx context.Context) error) *PeerServer {
	return &PeerServer{g: g, Authorise: authorise}
}

func (s *PeerServer) checkAuthorised(ctx context.Context) error {
	if s.Authorise == nil {
		return nil
	}
	return s.Authorise(ctx)
}

// Identify returns the identity of this process and its voter set.
func (s *PeerServer) Identify(ctx context.Context, _ *pb.IdentifyRequest) (*pb.IdentifyResponse, error) {
	if err := s.checkAuthorised(ctx); err != nil {
		return nil, err
	}
	return s.g.identity(), nil
}

// Deliver passes messages to the core until the sender closes the stream.
func (s *PeerServer) Deliver(stream pb.DRPCPeer_DeliverStream) error {
	ctx := stream.Context()
	if err := s.checkAuthorised(ctx); err != nil {
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
			s.g.peers.setAddress(m.From, m.FromAddress)
			if err := s.g.enqueue(ctx, func() { s.g.core.Step(m) }); err != nil {
				return err
			}
		}
	}
}

// InstallSnapshot receives a snapshot, verifies it and passes it to the core.
func (s *PeerServer) InstallSnapshot(stream pb.DRPCPeer_InstallSnapshotStream) error {
	ctx := stream.Context()
	if err := s.checkAuthorised(ctx); err != nil {
		return err
	}
	if st := s.g.Status(); st.Suspended {
		return suspendedError(st.ID)
	}
	if !s.receiveMu.TryLock() {
		return errkind.New(errkind.NotReady, "another snapshot is being received")
	}
	defer s.receiveMu.Unlock()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	m := first.Message
	if m == nil || m.ToDisk != s.g.opt.Config.Disk {
		return errkind.New(errkind.WrongDisk, "the snapshot is not addressed to this disk")
	}
	rec, err := s.g.opt.Storage.ReceiveSnapshot(func(w io.Writer) error { return copySnapshotParts(w, first, stream) })
	if err != nil {
		return err
	}
	m.Snapshot = rec.Meta
	s.g.peers.setAddress(m.From, m.FromAddress)
	if err := s.g.installReceived(ctx, m, rec); err != nil {
		return err
	}
	return stream.SendAndClose(&pb.DeliverResponse{})
}

// installReceived passes the message of a received snapshot to the core. It returns once the
// snapshot is installed or refused. It fails with kind disk-full if this process is suspended.
func (g *Group) installReceived(ctx context.Context, m *pb.Message, rec *ReceivedSnapshot) error {
	settled, suspended := make(chan struct{}), false
	err := g.enqueue(ctx, func() {
		if suspended = g.suspension.ready != nil; !suspended {
			g.core.Step(m)
		}
		if suspended || g.core.ready.Install != rec.Meta {
			close(settled)
			return
		}
		g.receivedSnapshot, g.snapshotInstalled = rec, settled
	})
	if err != nil {
		return err
	}
	select {
	case <-settled:
		if suspended {
			return suspendedError(m.To)
		}
	case <-g.done:
	}
	return nil
}

// suspendedError tells the sender of a snapshot that it was not taken, so that it sends it again.
func suspendedError(id string) error {
	return errkind.New(errkind.DiskFull, "the disk of %q is full, so it takes no snapshot", id)
}

func copySnapshotParts(w io.Writer, part *pb.SnapshotPart, stream pb.DRPCPeer_InstallSnapshotStream) error {
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
