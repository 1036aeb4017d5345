package backend

import (
	"context"
	"net"
	"slices"
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
	servers map[incarnation]*serverPool
	// stopped is set once Run has ended.
	stopped bool
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
	// IsReplaced reports whether a later incarnation is known at the id or address of a target; nil if nothing
	// is known of incarnations.
	IsReplaced func(t Target) bool
	// StartCall is how servers tell their start; nil if they do not. OnStartCall is called each time that a server was
	// asked, with whether it told its start; nil if nothing is to be called.
	StartCall   *StartCall
	OnStartCall func(told bool)
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// serverPool holds the idle connections to one incarnation of a backend server, and
// the number of all open ones.
type serverPool struct {
	pool *Pool
	incarnation
	address string

	mu sync.Mutex
	// idle begins with the connection that has been idle for the longest time.
	idle []*conn
	// discarded is set once no more requests are to get connections from here. Those that become idle are closed then.
	discarded bool
	// maxConnections is that of the last request's target.
	maxConnections int
	// conns holds the open connections. openConns counts them and those that are being opened.
	conns     map[*conn]bool
	openConns int
	// ranAt is the latest time, by the boot clock, at which the incarnation is known to have run, as it has told since.
	// question is nil unless it is being asked whether it still runs.
	ranAt    time.Duration
	question *startQuestion
	// unframedAt is when the last response without a length began. watching counts the exchanges whose response
	// has none, or is expected to. Meanwhile witness is an open connection that no request uses, or nil, and
	// openingWitness is nil unless one is being opened; it is closed when that is over.
	unframedAt     time.Time
	watching       int
	witness        *conn
	openingWitness chan struct{}
	// retiring holds former witnesses that requests do not use yet, and lent is the former witness that a request uses
	// since the limit was reached, or nil.
	retiring []*conn
	lent     *conn
	// endingKinds holds the kinds of requests to which the server gave a response that ended its connection, and when it last did.
	endingKinds map[string]time.Time
	// guarding is set while guardWitness runs. witnessLife is how long the server is known to leave an idle connection open
	// since it has closed one, by whether that had served a request. No witness is opened until noWitnessUntil.
	guarding       bool
	witnessLife    map[bool]time.Duration
	noWitnessUntil time.Time
}

// NewPool returns an empty Pool.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		dialer := rpc.NetDialer(dialTimeout)
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{servers: map[incarnation]*serverPool{}, opts: opts, startedAt: time.Now()}
}

func (p *Pool) recordHeard() { p.heardAt.Store(int64(time.Since(p.startedAt))) }

// SilentSince reports whether nothing was received from any server since at.
func (p *Pool) SilentSince(at time.Time) bool {
	return time.Duration(p.heardAt.Load()) <= at.Sub(p.startedAt)
}

// connClosed records that c was closed, or could not be opened if it is nil.
func (s *serverPool) connClosed(c *conn) {
	s.mu.Lock()
	s.openConns--
	if c != nil {
		delete(s.conns, c)
		if c == s.lent {
			s.lent = nil
		}
	}
	s.mu.Unlock()
}

// incarnation names one incarnation of a backend server: a server may start again under its id.
type incarnation struct {
	id   string
	born int64
}

// Target is one incarnation of a backend server.
type Target struct {
	// ID is the server's id, and Born the start of the incarnation in Unix milliseconds.
	ID      string
	Born    int64
	Address string
	// MaxConnections limits this router's connections to the backend server; 0 means
	// no limit.
	MaxConnections int
}

func (p *Pool) poolFor(t Target) *serverPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := incarnation{t.ID, t.Born}
	s := p.servers[key]
	if s == nil || s.address != t.Address {
		if s != nil {
			s.discard()
		}
		s = &serverPool{pool: p, incarnation: key, address: t.Address, discarded: p.stopped, conns: map[*conn]bool{}, witnessLife: map[bool]time.Duration{}}
		p.servers[key] = s
	}
	return s
}

// get returns an idle connection or opens a new one, and whether it did that. A witness gives way to a request
// that would be refused otherwise. Its errors have kind unreachable, or queue-full if MaxConnections are in use,
// and mean that nothing was sent.
func (p *Pool) get(ctx context.Context, t Target, r *Request) (c *conn, opened bool, err error) {
	s := p.poolFor(t)
	for last := false; ; last = true {
		if c := s.takeIdle(r, time.Now()); c != nil {
			return c, false, nil
		}
		_, opening := s.currentWitness()
		c, err := s.open(ctx, t.MaxConnections)
		if !errkind.Is(err, errkind.QueueFull) {
			return c, err == nil, err
		}
		w := s.takeOldestIdle()
		if w == nil {
			w = s.takeWitness(r.kind(), t.MaxConnections)
		}
		switch {
		case w != nil && w.serves(r, time.Now()) && w.reusable():
			return w, false, nil
		case w != nil:
			return s.openInPlaceOf(ctx, w, t.MaxConnections)
		case opening == nil || last:
			return nil, false, err
		}
		select {
		case <-ctx.Done():
			return nil, false, err
		case <-opening:
		}
	}
}

// open opens a connection unless maxConnections are open; 0 means no limit. Its errors are those of get.
func (s *serverPool) open(ctx context.Context, maxConnections int) (*conn, error) {
	s.mu.Lock()
	if maxConnections > 0 && s.openConns >= maxConnections {
		s.mu.Unlock()
		return nil, errkind.New(errkind.QueueFull, "all %d connections to server %q are in use", maxConnections, s.id)
	}
	s.openConns++
	s.mu.Unlock()
	opts := &s.pool.opts
	raw, err := opts.Dial(ctx, s.address)
	if err != nil {
		s.connClosed(nil)
		if opts.OnFailure != nil {
			opts.OnFailure()
		}
		return nil, errkind.Wrap(err, errkind.Unreachable, "connect to server %q", s.id)
	}
	if opts.OnOpen != nil {
		opts.OnOpen()
	}
	c := newConn(raw, s)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	return c, nil
}

// openIdle opens a connection for a later request. Its errors are those of get.
func (s *serverPool) openIdle(ctx context.Context, maxConnections int) (*conn, error) {
	c, err := s.open(ctx, maxConnections)
	if err != nil {
		return nil, err
	}
	c.idleTimeout = defaultIdleTimeout
	s.pool.put(c)
	return c, nil
}

// Refused reports whether the backend server refuses connections, as one does whose process
// has ended.
func (p *Pool) Refused(ctx context.Context, t Target) bool {
	return errors.Is(p.Probe(ctx, t), syscall.ECONNREFUSED)
}

// Probe opens a connection to the backend server and keeps it for the next request. Its
// errors are those of get.
func (p *Pool) Probe(ctx context.Context, t Target) error {
	_, err := p.poolFor(t).openIdle(ctx, t.MaxConnections)
	return err
}

// takeIdle returns the most recently used idle connection that is still reusable, or
// nil. A connection that has been idle too long for a non-idempotent request stays in
// the pool for other requests. So does one whose last request has the same id: an extra response to that one would
// pass for the response to this one.
func (s *serverPool) takeIdle(r *Request, now time.Time) *conn {
	for {
		s.mu.Lock()
		i := len(s.idle) - 1
		for i >= 0 && (s.idle[i].repeats(r) || r.NonIdempotent && !s.idle[i].serves(r, now)) {
			i--
		}
		if i < 0 {
			s.mu.Unlock()
			return nil
		}
		c := s.idle[i]
		s.idle = slices.Delete(s.idle, i, i+1)
		s.mu.Unlock()
		if c.serves(r, now) && c.reusable() {
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
	defer s.mu.Unlock()
	if c == s.lent {
		s.lent = nil
		if s.watching > 0 && s.witness == nil {
			s.witness = c
			return
		}
	}
	s.addIdle(c)
}

// addIdle is called with s.mu held. A former witness may have been idle for longer than others.
func (s *serverPool) addIdle(c *conn) {
	if s.discarded {
		go func() { _ = c.Close() }() // Close locks s.mu.
		return
	}
	i := len(s.idle)
	for i > 0 && c.idleSince.Before(s.idle[i-1].idleSince) {
		i--
	}
	s.idle = slices.Insert(s.idle, i, c)
}

// takeOldestIdle returns the idle connection that has been so for the longest time, or nil.
func (s *serverPool) takeOldestIdle() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) == 0 {
		return nil
	}
	c := s.idle[0]
	s.idle = slices.Delete(s.idle, 0, 1)
	return c
}

// discard closes the idle connections, and others once they are idle.
func (s *serverPool) discard() {
	s.mu.Lock()
	s.discarded = true
	idle := s.idle
	s.idle = nil
	s.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Run closes connections that exceed their idle timeout, until ctx is done. It closes all idle ones then, and others once they
// are idle.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stop()
			return nil
		case <-tick.C:
			p.closeExpired(time.Now())
		}
	}
}

func (p *Pool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, s := range p.servers {
		s.discard()
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, s := range p.servers {
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
		empty := len(kept) == 0 && s.openConns == len(expired) && s.openingWitness == nil && s.question == nil
		s.discarded = s.discarded || empty // A request that has found s before may yet open a connection.
		s.mu.Unlock()
		for _, c := range expired {
			_ = c.Close()
		}
		if empty {
			delete(p.servers, key)
		}
	}
}
