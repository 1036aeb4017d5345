package backend

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// dialTimeout bounds opening a connection; a server answers within a few
	// milliseconds, and a lost packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// fragileIdle is the part of a connection's idle time within which it serves
	// requests that must not be lost to the server's close.
	fragileIdle = 0.5
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
)

// Pool keeps connections to servers.
type Pool struct {
	mu      sync.Mutex
	servers map[string]*serverPool
	// opened counts connections that were opened.
	opened func()
}

// serverPool holds the idle connections to one incarnation of a server.
type serverPool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	open    int
}

// NewPool returns an empty Pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{servers: map[string]*serverPool{}, opened: opened}
}

func (s *serverPool) gone() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// Target names a server's incarnation.
type Target struct {
	// ID tells incarnations at one address apart.
	ID      string
	Address string
	// MaxConnections bounds this router's connections to the server.
	MaxConnections int
}

func (p *Pool) server(t Target) *serverPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[t.ID]
	if s == nil || s.address != t.Address {
		s = &serverPool{address: t.Address}
		p.servers[t.ID] = s
	}
	return s
}

// get returns an idle connection, or opens one. Errors say that nothing was
// sent: kind unreachable, or queue-full at the bound of connections.
func (p *Pool) get(ctx context.Context, t Target, fragile bool) (*conn, error) {
	s := p.server(t)
	if c := s.reuse(fragile, time.Now()); c != nil {
		return c, nil
	}
	s.mu.Lock()
	if t.MaxConnections > 0 && s.open >= t.MaxConnections {
		s.mu.Unlock()
		return nil, errkind.New(errkind.QueueFull, "all %d connections to server %q are in use", t.MaxConnections, t.ID)
	}
	s.open++
	s.mu.Unlock()
	raw, err := rpc.NetDialer(dialTimeout).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		s.gone()
		return nil, errkind.Wrap(err, errkind.Unreachable, "connect to server %q", t.ID)
	}
	p.opened()
	return &conn{Conn: raw, br: bufio.NewReaderSize(raw, readBuffer), pool: s}, nil
}

// reuse takes the connection that was used last, if it is still good. One that is
// too old for a fragile request stays for others.
func (s *serverPool) reuse(fragile bool, now time.Time) *conn {
	for {
		s.mu.Lock()
		n := len(s.idle)
		if n == 0 {
			s.mu.Unlock()
			return nil
		}
		c := s.idle[n-1]
		idle := now.Sub(c.idleSince)
		if fragile && idle > time.Duration(fragileIdle*float64(c.idleTime)) {
			s.mu.Unlock()
			return nil
		}
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		if idle < c.idleTime && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	s := c.pool
	s.mu.Lock()
	s.idle = append(s.idle, c)
	s.mu.Unlock()
}

// Run closes connections that were idle for too long, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Now().Add(time.Hour))
			return nil
		case <-tick.C:
			p.sweep(time.Now())
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		s.mu.Lock()
		var old []*conn
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) >= c.idleTime {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		empty := s.open == len(old)
		s.mu.Unlock()
		for _, c := range old {
			_ = c.Close()
		}
		if empty && len(kept) == 0 {
			delete(p.servers, id)
		}
	}
}
