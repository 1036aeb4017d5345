package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// dialTimeout limits opening a connection. A backend server accepts within a few
	// milliseconds, while a lost packet is only retransmitted after a second.
	dialTimeout = 400 * time.Millisecond
	// nonIdempotentIdleFraction is the fraction of a connection's idle timeout up to
	// which it may serve non-idempotent requests, which must not be lost because the
	// backend server closes the connection.
	nonIdempotentIdleFraction = 0.5
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
)

// Pool is a pool of connections to backend servers.
type Pool struct {
	mu      sync.Mutex
	servers map[string]*serverPool
	opts    Options
	// startedAt is when the pool was made, and heardAt when a byte was last received from any
	// server, as the time since then.
	startedAt time.Time
	heardAt   atomic.Int64
}

// Options configures a Pool.
type Options struct {
	// OnOpen is called for each connection that is opened, and OnFailure for each that could
	// not be; nil if nothing is to be called.
	OnOpen, OnFailure func()
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// serverPool holds the idle connections to one incarnation of a backend server, and
// the number of all open ones.
type serverPool struct {
	pool      *Pool
	address   string
	mu        sync.Mutex
	idle      []*conn
	openConns int
}

// NewPool returns an empty Pool.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		dialer := rpc.NetDialer(dialTimeout)
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{servers: map[string]*serverPool{}, opts: opts, startedAt: time.Now()}
}

func (p *Pool) recordHeard() { p.heardAt.Store(int64(time.Since(p.startedAt))) }

// SilentSince reports whether nothing was received from any server since at.
func (p *Pool) SilentSince(at time.Time) bool {
	return time.Duration(p.heardAt.Load()) <= at.Sub(p.startedAt)
}

func (s *serverPool) connClosed() {
	s.mu.Lock()
	s.openConns--
	s.mu.Unlock()
}

// Target is one incarnation of a backend server.
type Target struct {
	// ID distinguishes incarnations at the same address.
	ID      string
	Address string
	// MaxConnections limits this router's connections to the backend server; 0 means
	// no limit.
	MaxConnections int
}

func (p *Pool) poolFor(t Target) *serverPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[t.ID]
	if s == nil || s.address != t.Address {
		s = &serverPool{pool: p, address: t.Address}
		p.servers[t.ID] = s
	}
	return s
}

// get returns an idle connection or opens a new one, and whether it did that. Its errors have
// kind unreachable, or queue-full if MaxConnections are in use, and mean that nothing was
// sent.
func (p *Pool) get(ctx context.Context, t Target, nonIdempotent bool) (c *conn, opened bool, err error) {
	if c := p.poolFor(t).takeIdle(nonIdempotent, time.Now()); c != nil {
		return c, false, nil
	}
	c, err = p.open(ctx, t)
	return c, err == nil, err
}

// open opens a connection. Its errors are those of get.
func (p *Pool) open(ctx context.Context, t Target) (*conn, error) {
	s := p.poolFor(t)
	s.mu.Lock()
	if t.MaxConnections > 0 && s.openConns >= t.MaxConnections {
		s.mu.Unlock()
		return nil, errkind.New(errkind.QueueFull, "all %d connections to server %q are in use", t.MaxConnections, t.ID)
	}
	s.openConns++
	s.mu.Unlock()
	raw, err := p.opts.Dial(ctx, t.Address)
	if err != nil {
		s.connClosed()
		if p.opts.OnFailure != nil {
			p.opts.OnFailure()
		}
		return nil, errkind.Wrap(err, errkind.Unreachable, "connect to server %q", t.ID)
	}
	if p.opts.OnOpen != nil {
		p.opts.OnOpen()
	}
	return newConn(raw, s), nil
}

// Refused reports whether the backend server refuses connections, as one does whose process
// has ended.
func (p *Pool) Refused(ctx context.Context, t Target) bool {
	return errors.Is(p.Probe(ctx, t), syscall.ECONNREFUSED)
}

// Probe opens a connection to the backend server and keeps it for the next request. Its
// errors are those of get.
func (p *Pool) Probe(ctx context.Context, t Target) error {
	c, err := p.open(ctx, t)
	if err != nil {
		return err
	}
	c.idleTimeout = defaultIdleTimeout
	p.put(c)
	return nil
}

// takeIdle returns the most recently used idle connection that is still reusable, or
// nil. A connection that has been idle too long for a non-idempotent request stays in
// the pool for other requests.
func (s *serverPool) takeIdle(nonIdempotent bool, now time.Time) *conn {
	for {
		s.mu.Lock()
		n := len(s.idle)
		if n == 0 {
			s.mu.Unlock()
			return nil
		}
		c := s.idle[n-1]
		idle := now.Sub(c.idleSince)
		if nonIdempotent && idle > time.Duration(nonIdempotentIdleFraction*float64(c.idleTimeout)) {
			s.mu.Unlock()
			return nil
		}
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		if idle < c.idleTimeout && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	s := c.pool
	s.mu.Lock()
	s.idle = append(s.idle, c)
	s.mu.Unlock()
}

// Run closes connections that exceed their idle timeout, until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeExpired(time.Now().Add(time.Hour))
			return nil
		case <-tick.C:
			p.closeExpired(time.Now())
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		s.mu.Lock()
		var expired []*conn
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) >= c.idleTimeout {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		empty := s.openConns == len(expired)
		s.mu.Unlock()
		for _, c := range expired {
			_ = c.Close()
		}
		if empty && len(kept) == 0 {
			delete(p.servers, id)
		}
	}
}
