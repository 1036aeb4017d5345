package replication

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

const (
	// peerQueueSize bounds the messages queued for one peer. Further messages are
	// dropped; the protocol tolerates lost messages.
	peerQueueSize = 1024
	// maxBatchMessages bounds the messages of one batch.
	maxBatchMessages = 64
	// sendTimeout bounds the dial and each send, in case the peer does not read.
	sendTimeout = 5 * time.Second
	// redialDelay is the wait before reconnecting after a connection has failed.
	redialDelay = 100 * time.Millisecond
	// snapshotPartSize is the size of the parts in which a snapshot is sent.
	snapshotPartSize = 256 << 10
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 5 * time.Minute
)

// peers sends messages to the other processes of the group, in order per peer.
type peers struct {
	g  *Group
	wg sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string
	queues    map[string]chan *pb.Message
}

func newPeers(g *Group) *peers {
	p := &peers{g: g, addresses: map[string]string{}, queues: map[string]chan *pb.Message{}}
	for _, v := range g.opt.DeclaredVoters {
		p.addresses[v.Id] = v.Address
	}
	return p
}

func (p *peers) wait() { p.wg.Wait() }

// setAddress records the address of a process; an empty address is ignored.
func (p *peers) setAddress(id, address string) {
	if address == "" {
		return
	}
	p.mu.Lock()
	p.addresses[id] = address
	p.mu.Unlock()
}

func (p *peers) address(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[id]
}

func (p *peers) send(ctx context.Context, ms []*pb.Message) {
	for _, m := range ms {
		m.FromAddress = p.g.opt.Address
		if v := findVoter(p.g.core.members(), m.To); v != nil && v.Address != "" {
			p.setAddress(v.Id, v.Address)
		}
		if m.Type == pb.MessageType_SNAPSHOT {
			p.wg.Add(1)
			go p.sendSnapshot(ctx, m)
			continue
		}
		select {
		case p.queue(ctx, m.To) <- m:
		default:
		}
	}
}

func (p *peers) queue(ctx context.Context, id string) chan *pb.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[id]
	if q == nil {
		q = make(chan *pb.Message, peerQueueSize)
		p.queues[id] = q
		p.wg.Add(1)
		go p.runQueue(ctx, id, q)
	}
	return q
}

func (p *peers) runQueue(ctx context.Context, id string, q chan *pb.Message) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		if err := p.deliver(ctx, id, q); err != nil && ctx.Err() == nil {
			p.g.opt.Log.Debug("connection to voter failed", "voter", id, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// deliver waits for a message, then opens a connection and sends the queued
// messages over it until it fails.
func (p *peers) deliver(ctx context.Context, id string, q chan *pb.Message) error {
	var first *pb.Message
	select {
	case <-ctx.Done():
		return ctx.Err()
	case first = <-q:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(sendTimeout, cancel)
	defer watchdog.Stop()
	conn := p.g.opt.Dialer.Conn(ctx, p.address(id))
	defer conn.Close()
	s, err := pb.NewDRPCPeerClient(conn).Deliver(ctx)
	if err != nil {
		return err
	}
	for {
		watchdog.Reset(sendTimeout)
		if err := s.Send(&pb.MessageBatch{Messages: nextBatch(first, q)}); err != nil {
			return err
		}
		watchdog.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first = <-q:
		}
	}
}

func nextBatch(first *pb.Message, q chan *pb.Message) []*pb.Message {
	out := []*pb.Message{first}
	for len(out) < maxBatchMessages {
		select {
		case m := <-q:
			out = append(out, m)
			if len(m.Entries) > 0 {
				return out
			}
		default:
			return out
		}
	}
	return out
}

func (p *peers) sendSnapshot(ctx context.Context, m *pb.Message) {
	defer p.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	index := m.Snapshot.Index
	err := p.streamSnapshot(ctx, m)
	if err == nil {
		_ = p.g.enqueue(ctx, func() { p.g.core.ReportSnapshotSent(m.To, index) })
		return
	}
	p.g.opt.Log.Warn("failed to send snapshot", "voter", m.To, "error", err)
	_ = p.g.enqueue(ctx, func() { p.g.core.ReportSnapshotFailure(m.To) })
}

func (p *peers) streamSnapshot(ctx context.Context, m *pb.Message) error {
	f, meta, err := p.g.opt.Storage.OpenSnapshot()
	if err != nil {
		return err
	}
	defer f.Close()
	m.Snapshot = meta
	conn := p.g.opt.Dialer.Conn(ctx, p.address(m.To))
	defer conn.Close()
	s, err := pb.NewDRPCPeerClient(conn).InstallSnapshot(ctx)
	if err != nil {
		return err
	}
	part := &pb.SnapshotPart{Message: m}
	buf := make([]byte, snapshotPartSize)
	for {
		n, err := io.ReadFull(f, buf)
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return err
		}
		part.Data = buf[:n]
		if n > 0 || part.Message != nil {
			if err := s.Send(part); err != nil {
				return err
			}
		}
		if n < len(buf) {
			_, err := s.CloseAndRecv()
			return err
		}
		part = &pb.SnapshotPart{}
	}
}
