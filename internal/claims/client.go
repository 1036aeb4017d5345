package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

const (
	callTimeout     = time.Second
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	settleWorkers   = 16
	settleQueueSize = 16384
	// settleTimeout bounds the attempts to record an outcome, from when it was queued.
	settleTimeout = 10 * time.Minute
)

// Group is the RPC interface of the control group that a Client uses.
type Group interface {
	// Claim calls Claim of the control process at the address.
	Claim(ctx context.Context, address string, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error)
	// Settle calls Settle of the control process at the address.
	Settle(ctx context.Context, address string, req *controlpb.SettleRequest) error
}

// Options configures a Client. All fields are required.
type Options struct {
	// Addresses are the fleet addresses of the control processes.
	Addresses []string
	Group     Group
	Log       hclog.Logger
	Metrics   *telemetry.Registry
}

// Client claims requests and records their outcomes. It is safe for concurrent use.
type Client struct {
	opts Options
	// preferred is the index of the address that last gave a final response.
	preferred atomic.Uint32
	queue     chan queuedSettle
	waiting   atomic.Int64
	dropped   metrics.Counter
	latency   metrics.Histogram
}

type queuedSettle struct {
	req      *controlpb.SettleRequest
	deadline time.Time
}

// New returns a Client. Outcomes are recorded only while Run is running.
func New(opts Options) *Client {
	c := &Client{
		opts:    opts,
		queue:   make(chan queuedSettle, settleQueueSize),
		dropped: opts.Metrics.Counter("claims.settles_dropped"),
		latency: opts.Metrics.Histogram("claims.claim_us"),
	}
	opts.Metrics.Gauge("claims.settles_waiting", c.waiting.Load)
	return c
}

// Claim requests the right to run and resends the request with the same attempt
// id until it receives a final response or ctx ends. The error is of kind
// no-quorum if the control group could not be reached.
func (c *Client) Claim(ctx context.Context, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	start := time.Now()
	defer func() { c.latency.Update(time.Since(start).Microseconds()) }()
	var resp *controlpb.ClaimResponse
	err := c.callWithRetry(ctx, func(ctx context.Context, address string) (err error) {
		resp, err = c.opts.Group.Claim(ctx, address, req)
		return err
	})
	return resp, err
}

// Settle queues an outcome for recording and returns at once. If the queue is full
// the outcome is dropped and logged.
func (c *Client) Settle(_ context.Context, req *controlpb.SettleRequest) {
	c.waiting.Add(1)
	select {
	case c.queue <- queuedSettle{req: req, deadline: time.Now().Add(settleTimeout)}:
	default:
		c.drop(req, nil)
	}
}

func (c *Client) drop(req *controlpb.SettleRequest, err error) {
	c.waiting.Add(-1)
	c.dropped.Inc(1)
	c.opts.Log.Error("claim outcome dropped without being recorded; the claim stays unknown",
		"service", req.Key.Service, "workspace", req.Key.Workspace, "attempt", req.AttemptId, "state", req.State, "error", err)
}

// Run records queued outcomes until ctx ends. Outcomes still queued then stay queued.
func (c *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range settleWorkers {
		wg.Go(func() { c.settleWorker(ctx) })
	}
	wg.Wait()
	return nil
}

func (c *Client) settleWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-c.queue:
			c.settle(ctx, q)
		}
	}
}

func (c *Client) settle(ctx context.Context, q queuedSettle) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	err := c.callWithRetry(ctx, func(ctx context.Context, address string) error {
		return c.opts.Group.Settle(ctx, address, q.req)
	})
	releaseUnused := q.req.State == controlpb.ClaimState_CLAIM_STATE_UNSPECIFIED
	if err != nil && !(releaseUnused && errkind.Is(err, errkind.NotFound)) {
		c.drop(q.req, err)
		return
	}
	c.waiting.Add(-1)
}

// Flush waits until every queued outcome has been recorded or dropped, or ctx
// ends. It returns the number still queued or in flight.
func (c *Client) Flush(ctx context.Context) int64 {
	ticker := time.NewTicker(minBackoff)
	defer ticker.Stop()
	for c.waiting.Load() > 0 {
		select {
		case <-ctx.Done():
			return c.waiting.Load()
		case <-ticker.C:
		}
	}
	return 0
}

// callWithRetry calls the control processes in turn, starting with the preferred
// one, until one gives a final response or ctx ends. It backs off after each
// round over all addresses.
func (c *Client) callWithRetry(ctx context.Context, f func(ctx context.Context, address string) error) error {
	var last error
	backoff := minBackoff
	for try := 0; ; try++ {
		if n := len(c.opts.Addresses); n > 0 {
			index := (int(c.preferred.Load()) + try) % n
			cctx, cancel := context.WithTimeout(ctx, callTimeout)
			err := f(cctx, c.opts.Addresses[index])
			cancel()
			if !retryable(err) {
				if try > 0 {
					c.preferred.Store(uint32(index))
				}
				return err
			}
			last = err
			if (try+1)%n != 0 && ctx.Err() == nil {
				continue
			}
		}
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return errkind.Wrap(last, errkind.NoQuorum, "no control process gave a final response in time")
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryable reports whether the call can succeed at another control process.
func retryable(err error) bool {
	switch errkind.Of(err) {
	case errkind.NotLeader, errkind.NoQuorum, errkind.Unreachable, errkind.Internal,
		errkind.NotReady, errkind.ShuttingDown, errkind.ChangeUnknown:
		return true
	default:
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// DRPCGroup is a Group that calls the control processes over drpc.
type DRPCGroup struct {
	Dialer *rpc.Dialer
}

// Claim implements Group.
func (r DRPCGroup) Claim(ctx context.Context, address string, req *controlpb.ClaimRequest) (*controlpb.ClaimResponse, error) {
	return controlpb.NewDRPCControlClient(r.Dialer.Conn(ctx, address)).Claim(ctx, req)
}

// Settle implements Group.
func (r DRPCGroup) Settle(ctx context.Context, address string, req *controlpb.SettleRequest) error {
	_, err := controlpb.NewDRPCControlClient(r.Dialer.Conn(ctx, address)).Settle(ctx, req)
	return err
}
