package ctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// attemptTimeout limits one call to one control process.
	attemptTimeout = 3 * time.Second
	// retryInterval is the wait after no control process has given a final response.
	retryInterval = 200 * time.Millisecond
)

// client calls the control processes in turn until one gives a final response.
type client struct {
	addresses []string
	dialer    *rpc.Dialer
	timeout   time.Duration
}

// call runs f against the control processes in turn until one succeeds or
// returns an error that is not retryable, or the timeout expires. f may run
// several times.
func (c *client) call(ctx context.Context, f func(context.Context, controlpb.DRPCControlClient) error) error {
	_, err := c.callTrackingLoss(ctx, f)
	return err
}

// callTrackingLoss is call, with lost reporting that an attempt was sent and its
// response lost: the attempt may have taken effect whatever the error says.
func (c *client) callTrackingLoss(ctx context.Context, f func(context.Context, controlpb.DRPCControlClient) error) (lost bool, err error) {
	if len(c.addresses) == 0 {
		return false, errkind.New(errkind.Usage, "no control process is configured; give --control ADDRESS or a settings file")
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		for _, addr := range c.addresses {
			e := c.attempt(ctx, addr, f)
			if e == nil {
				return lost, nil
			}
			k := responseKind(e)
			if k == "" || k == errkind.ChangeUnknown {
				lost = true
			}
			if k == errkind.Unauthenticated {
				e = errkind.Wrap(e, k, "%s", addr)
			}
			if !isRetryable(k) {
				return lost, e
			}
			err = moreSpecificError(err, e, addr)
		}
		select {
		case <-ctx.Done():
			return lost, err
		case <-time.After(retryInterval):
		}
	}
}

func (c *client) attempt(ctx context.Context, addr string, f func(context.Context, controlpb.DRPCControlClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	conn := c.dialer.Conn(ctx, addr)
	defer conn.Close()
	return f(ctx, controlpb.NewDRPCControlClient(conn))
}

// responseKind returns the kind of an error that the control process returned or
// that the dial failed with; empty if the connection broke without a response.
func responseKind(err error) errkind.Kind {
	if rpc.IsTLSAlert(err) {
		return errkind.Unauthenticated
	}
	k := errkind.Of(err)
	var typed *errkind.Error
	if k == errkind.Internal && !errors.As(err, &typed) && !hasCode(err) {
		return ""
	}
	return k
}

// hasCode reports whether the error is a response with an error code.
func hasCode(err error) bool {
	type coded interface{ Code() uint64 }
	var c coded
	return errors.As(err, &c) && c.Code() != 0
}

// isRetryable reports whether another control process, or the same one later, may
// succeed.
func isRetryable(k errkind.Kind) bool {
	switch k {
	case "", errkind.Unreachable, errkind.NotLeader, errkind.NoQuorum, errkind.NotReady, errkind.ShuttingDown, errkind.ChangeUnknown:
		return true
	}
	return false
}

// moreSpecificError returns the more specific of two errors; of two equally
// specific ones, the newer. A lost quorum is more specific than an unreachable
// process.
func moreSpecificError(old, latest error, addr string) error {
	if responseKind(latest) == "" {
		latest = errkind.Wrap(latest, errkind.Unreachable, "%s did not respond", addr)
	}
	if old == nil || errorRank(latest) >= errorRank(old) {
		return latest
	}
	return old
}

func errorRank(err error) int {
	switch errkind.Of(err) {
	case errkind.NoQuorum:
		return 3
	case errkind.NotLeader, errkind.NotReady, errkind.ShuttingDown:
		return 2
	}
	return 1
}
