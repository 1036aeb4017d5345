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
	// peerQueue bounds the messages that wait for one peer; more are dropped, as
	// a network may.
	peerQueue = 1024
	// peerBatch bounds the messages sent together.
	peerBatch = 64
	// sendTimeout bounds one send to a peer that takes nothing.
	sendTimeout = 5 * time.Second
	// redialPause is the wait after a failed connection.
	redialPause = 100 * time.Millisecond
	// snapshotPartSize is the size of the parts in which a snapshot travels.
	snapshotPartSize = 256 << 10
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 5 * time.Minute
)

// peers sends messages to the other processes, in order for each.
type peers struct {
	g  *Group
	wg sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string
	queues    map[string]chan *pb.Message
}

func newPeers(g *Group) *peers {
	p := &peers{g: g, addresses: map[string]string{}, queues: map[string]chan *pb.Message{}}
	for _, v := range g.opt.Declared {
		p.addresses[v.Id] = v.Address
	}
	return p
}

func (p *peers) wait() { p.wg.Wait() }

// learn remembers where a sender takes messages.
func (p *peers) learn(id, address string) {
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
			p.learn(v.Id, v.Address)
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
		q = make(chan *pb.Message, peerQueue)
		p.queues[id] = q
		p.wg.Add(1)
		go p.run(ctx, id, q)
	}
	return q
}

func (p *peers) run(ctx context.Context, id string, q chan *pb.Message) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		if err := p.stream(ctx, id, q); err != nil && ctx.Err() == nil {
			p.g.opt.Log.Debug("connection to voter ended", "voter", id, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// stream opens one connection on the first message and sends until it fails.
func (p *peers) stream(ctx context.Context, id string, q chan *pb.Message) error {
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
		if err := s.Send(&pb.MessageBatch{Messages: gather(first, q)}); err != nil {
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

func gather(first *pb.Message, q chan *pb.Message) []*pb.Message {
	out := []*pb.Message{first}
	for len(out) < peerBatch {
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
	err := p.streamSnapshot(ctx, m)
	if err == nil {
		return
	}
	p.g.opt.Log.Warn("snapshot was not delivered", "voter", m.To, "error", err)
	_ = p.g.post(ctx, func() { p.g.core.SnapshotFailed(m.To) })
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
