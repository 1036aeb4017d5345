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
	// attemptTimeout bounds one call to one control process.
	attemptTimeout = 3 * time.Second
	// roundPause is the wait after every control process was asked in vain.
	roundPause = 200 * time.Millisecond
)

// client asks the control processes one after the other until one answers.
type client struct {
	addresses []string
	dialer    *rpc.Dialer
	timeout   time.Duration
}

// call runs f against the control processes until one gives an answer that
// another would not better, or the time is up. f may be run several times.
func (c *client) call(ctx context.Context, f func(context.Context, controlpb.DRPCControlClient) error) error {
	_, err := c.callNoting(ctx, f)
	return err
}

// callNoting is call; lost tells that some attempt was sent and its answer lost,
// so that it may have had its effect whatever the error says.
func (c *client) callNoting(ctx context.Context, f func(context.Context, controlpb.DRPCControlClient) error) (lost bool, err error) {
	if len(c.addresses) == 0 {
		return false, errkind.New(errkind.Usage, "no control process is named; give --control ADDRESS or a settings file")
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		for _, addr := range c.addresses {
			e := c.attempt(ctx, addr, f)
			if e == nil {
				return lost, nil
			}
			k := answerKind(e)
			if k == "" || k == errkind.ChangeUnknown {
				lost = true
			}
			if k == errkind.Unauthenticated {
				e = errkind.Wrap(e, k, "%s", addr)
			}
			if !worthAsking(k) {
				return lost, e
			}
			err = better(err, e, addr)
		}
		select {
		case <-ctx.Done():
			return lost, err
		case <-time.After(roundPause):
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

// answerKind returns the kind that the control process, or the failed dial,
// stated; empty if the connection broke without an answer.
func answerKind(err error) errkind.Kind {
	if rpc.IsTLSAlert(err) {
		return errkind.Unauthenticated
	}
	k := errkind.Of(err)
	var own *errkind.Error
	if k == errkind.Internal && !errors.As(err, &own) && !hasCode(err) {
		return ""
	}
	return k
}

// hasCode reports whether the error came as an answer with a kind.
func hasCode(err error) bool {
	type coded interface{ Code() uint64 }
	var c coded
	return errors.As(err, &c) && c.Code() != 0
}

// worthAsking reports whether another control process may answer better.
func worthAsking(k errkind.Kind) bool {
	switch k {
	case "", errkind.Unreachable, errkind.NotLeader, errkind.NoQuorum, errkind.NotReady, errkind.ShuttingDown, errkind.ChangeUnknown:
		return true
	}
	return false
}

// better returns the more telling of two errors: a lost quorum says more than
// a process that could not be reached.
func better(old, now error, addr string) error {
	if answerKind(now) == "" {
		now = errkind.Wrap(now, errkind.Unreachable, "%s gave no answer", addr)
	}
	if old == nil || rank(now) >= rank(old) {
		return now
	}
	return old
}

func rank(err error) int {
	switch errkind.Of(err) {
	case errkind.NoQuorum:
		return 3
	case errkind.NotLeader, errkind.NotReady, errkind.ShuttingDown:
		return 2
	}
	return 1
}
