package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// A server may start again under its id and address, and announce that late. Only the process behind a connection can
// tell which incarnation it is: a connection does not outlive its process.

// Process is the process that a connection leads to.
type Process struct {
	// ConnectedAt is when the connection was opened, by the boot clock.
	ConnectedAt time.Duration
	// Told is set if the process has told its start, and Born is that start in Unix milliseconds.
	Told bool
	Born int64
}

// StartCall is the call by which a server tells its start.
type StartCall struct {
	Path string
	// Parse returns the start in Unix milliseconds, and false if the response does not tell it.
	Parse func(status int, body []byte) (born int64, told bool)
}

const (
	// startCallTimeout limits the call. A server answers within a few milliseconds, since it takes none of its slots.
	startCallTimeout = 250 * time.Millisecond
	// runTimeout limits RunsSince, connecting included, on each of two connections.
	runTimeout = 400 * time.Millisecond
	// maxStartCallBytes limits the body of the response.
	maxStartCallBytes = 64 << 10
)

// processOf returns what is known of the process that c leads to. An incarnation that was known before a connection
// was opened, and still ran later, ran when it was opened.
func (s *serverPool) processOf(c *conn) Process {
	if c.told {
		return Process{ConnectedAt: c.connectedAt, Told: true, Born: c.born}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.connectedAt <= s.ranAt {
		return Process{ConnectedAt: c.connectedAt, Told: true, Born: s.born}
	}
	return Process{ConnectedAt: c.connectedAt}
}

// identify asks the process that c leads to for its start, unless that is known or was asked before. After an error the
// connection cannot be used.
func (p *Pool) identify(ctx context.Context, c *conn, r *Request) error {
	if p.opts.StartCall == nil || c.asked || c.pool.processOf(c).Told {
		return nil
	}
	err := p.askStart(ctx, c, r)
	if err == nil && c.ends {
		err = errkind.New(errkind.Unreachable, "server %q ended the connection on which it was asked for its start", c.pool.id)
	}
	return err
}

// askStart asks the process that c leads to for its start.
func (p *Pool) askStart(ctx context.Context, c *conn, r *Request) error {
	ctx, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	askedAt := clock.SinceBoot()
	err := p.callStart(ctx, c, r)
	if p.opts.OnStartCall != nil {
		p.opts.OnStartCall(err == nil && c.told)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.BackendLost, "ask server %q for its start", c.pool.id)
	}
	c.pool.recordRan(c, askedAt)
	return nil
}

func (p *Pool) callStart(ctx context.Context, c *conn, r *Request) (err error) {
	stop := c.abortOnDone(ctx)
	defer func() {
		if !stop() && err == nil {
			err = ctx.Err()
		}
		_ = c.SetDeadline(time.Time{}) // If it fails, so does the next write.
	}()
	if _, err := io.WriteString(c.Conn, "GET "+p.opts.StartCall.Path+" HTTP/1.1\r\nHost: "+c.pool.address+"\r\n\r\n"); err != nil {
		return err
	}
	req, meter := &http.Request{Method: http.MethodGet}, &headMeter{reserve: r.ReserveHead}
	for range maxResponses {
		resp, err := c.readHead(req, meter)
		switch {
		case err != nil:
			return err
		case resp.StatusCode < 200:
			continue
		case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
			return errors.New("the response has no length")
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxStartCallBytes+1))
		switch {
		case err != nil:
			return err
		case len(body) > maxStartCallBytes:
			return errors.Newf("the response exceeds the limit of %d bytes", maxStartCallBytes)
		}
		// The call has no id. A response that names a request repeats an earlier one.
		if r.IDHeader != "" && resp.Header.Get(r.IDHeader) != "" {
			continue
		}
		c.hasResponded, c.asked, c.ends = true, true, resp.Close
		c.updateIdleTimeout(resp.Header)
		c.born, c.told = p.opts.StartCall.Parse(resp.StatusCode, body)
		return nil
	}
	return errMismatchedResponse
}

// recordRan records that the process that c leads to ran at a time by the boot clock.
func (s *serverPool) recordRan(c *conn, at time.Duration) {
	if !c.told || c.born != s.born {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranAt = max(s.ranAt, at)
}

// Run says whether an incarnation still runs.
type Run int

const (
	// Runs: its process has told its start.
	Runs Run = iota + 1
	// Replaced: another process has told its start at the address.
	Replaced
	// Unreached: no connection could be opened.
	Unreached
	// Untold: the process did not tell its start.
	Untold
	// Unclear: the connection failed, nothing came in time, or all connections were in use.
	Unclear
)

// startQuestion is a call of RunsSince that is under way for one incarnation.
type startQuestion struct {
	askedAt time.Duration
	// run and err are valid once done is closed.
	run  Run
	err  error
	done chan struct{}
}

// RunsSince reports whether the incarnation that the target names, which was known at a time by the boot clock, has run without
// interruption since then. Callers that ask at the same time share the answer. The error is the reason unless the run is Runs.
func (p *Pool) RunsSince(ctx context.Context, t Target, at time.Duration) (Run, error) {
	s := p.poolFor(t)
	for {
		s.mu.Lock()
		q := s.question
		switch {
		case s.ranAt >= at:
			s.mu.Unlock()
			return Runs, nil
		case q == nil:
			q = &startQuestion{askedAt: clock.SinceBoot(), done: make(chan struct{})}
			s.question = q
			go func() {
				q.run, q.err = p.askRun(t, s)
				s.mu.Lock()
				s.question = nil
				s.mu.Unlock()
				close(q.done)
			}()
		}
		s.mu.Unlock()
		select {
		case <-q.done:
			if q.askedAt >= at {
				return q.run, q.err
			}
		case <-ctx.Done():
			return Unclear, ctx.Err()
		}
	}
}

// askRun asks the server, and once more on another connection if that failed.
func (p *Pool) askRun(t Target, s *serverPool) (run Run, err error) {
	for range 2 {
		if run, err = p.askRunOnce(t, s); run != Unclear {
			break
		}
	}
	return run, err
}

func (p *Pool) askRunOnce(t Target, s *serverPool) (Run, error) {
	if p.opts.StartCall == nil {
		return Untold, errors.New("servers do not tell their start")
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	r := &Request{}
	c, _, err := p.get(ctx, t, r)
	switch {
	case errkind.Is(err, errkind.Unreachable):
		return Unreached, err
	case err != nil:
		return Unclear, err
	}
	err = p.askStart(ctx, c, r)
	if err != nil || c.ends || !c.told || c.born != s.born {
		_ = c.Close()
	} else {
		p.put(c)
	}
	switch {
	case err != nil:
		return Unclear, err
	case !c.told:
		return Untold, errkind.New(errkind.BackendLost, "server %q does not tell its start", s.id)
	case c.born != s.born:
		return Replaced, errkind.New(errkind.BackendLost, "the process at server %q started at %d, and not at %d", s.id, c.born, s.born)
	}
	return Runs, nil
}
