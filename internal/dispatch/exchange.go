package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// exchange is one client request and its response.
type exchange struct {
	d  *Dispatcher
	w  http.ResponseWriter
	rc *http.ResponseController
	q  *request
	// baseID is the part of the request id that does not depend on the server.
	baseID string
	// requestID is the request id including the server of the last attempt; empty
	// before the first attempt.
	requestID string
	body      *requestBody
	ctx       context.Context
	startedAt time.Time
	deadline  time.Time
	excluded  []string
	attempts  int
	// claim is set on routes that may not be repeated.
	claim *claim
	// mayHaveRun is set once an attempt may have run. On routes that may not be
	// repeated, it ran at serverAddress.
	mayHaveRun    bool
	serverAddress string
	// reservedBytes is the memory reserved for the request body.
	reservedBytes int64
	// bodyRead is set once the request body has been read completely.
	bodyRead bool
	// headerSent is set once a status has been sent to the client.
	headerSent bool
}

func (x *exchange) currentID() string {
	if x.requestID != "" {
		return x.requestID
	}
	return x.baseID
}

// attemptResult is the result of one attempt. A nil err means that the client has
// its response.
type attemptResult struct {
	err error
	// mayHaveRun is false only if the attempt certainly did not run.
	mayHaveRun bool
	// retryable is set if an attempt at another server may succeed.
	retryable bool
}

// runAttempts makes attempts until the client has its response or no further
// attempt is allowed. It is the only place from which a request is retried.
func (x *exchange) runAttempts() error {
	var unknown error
	for {
		res := x.attempt()
		if res.err == nil {
			return nil
		}
		if res.mayHaveRun && unknown == nil {
			unknown = res.err
			x.mayHaveRun = true
		}
		err := res.err
		if unknown != nil {
			err = unknown // an earlier attempt may have run, so an error that states "not run" would be wrong
		}
		if !x.canRetry(res) {
			return err
		}
		if !x.d.budget.allowRetry(x.d.opts.Now(), x.q.policy.retryRatio) {
			if unknown != nil {
				return unknown
			}
			return errkind.Wrap(err, errkind.RetryBudget, "the request did not run and the router's retry budget is exhausted")
		}
		x.d.metrics.retries.Inc(1)
	}
}

// canRetry reports whether the result of the last attempt and the maximum number
// of attempts allow another one.
func (x *exchange) canRetry(res attemptResult) bool {
	if !res.retryable || x.headerSent || x.ctx.Err() != nil {
		return false
	}
	if x.attempts >= x.q.policy.maxAttempts {
		return false
	}
	return !res.mayHaveRun || x.q.route.repeatable
}

func (x *exchange) attempt() attemptResult {
	permit, dataCentre, err := x.acquirePermit()
	if err != nil {
		return attemptResult{err: err}
	}
	x.attempts++
	x.d.metrics.attempts.Inc(1)
	x.serverAddress = permit.Address()
	x.requestID = requestIDWithServer(x.baseID, x.q.route.service.Name, dataCentre, permit.Server())
	r := newAttempt(x, permit)
	res := r.execute()
	if res.err != nil {
		x.excluded = append(x.excluded, permit.Server())
	}
	return res
}

// acquirePermit obtains a permit in the first data centre of the chat's order
// that grants one.
func (x *exchange) acquirePermit() (Permit, string, error) {
	startedAt := x.d.opts.Now()
	defer func() { x.d.metrics.permitWait.Update(x.d.opts.Now().Sub(startedAt).Microseconds()) }()
	order := x.d.opts.DataCentreOrder(x.q.set, x.q.route.service.Name, x.q.chatHash, startedAt)
	if len(order) == 0 {
		return nil, "", errkind.New(errkind.DataCentreOut, "no data centre serves service %s now", x.q.route.service.Name)
	}
	var firstErr error
	var openingDataCentres []string
	for i, dataCentre := range order {
		hasNext := i < len(order)-1
		permit, err := x.acquirePermitIn(dataCentre, startedAt, hasNext)
		if err == nil {
			return permit, dataCentre, nil
		}
		if !x.canAskNext(err) {
			return nil, "", err
		}
		if firstErr == nil {
			firstErr = err
		}
		if hasNext && errkind.Is(err, errkind.NoGrantor) {
			openingDataCentres = append(openingDataCentres, dataCentre)
		}
	}
	// No other data centre granted a permit, so wait for those whose grantor may have a
	// new term that is still opening.
	for _, dataCentre := range openingDataCentres {
		permit, err := x.acquirePermitIn(dataCentre, startedAt, false)
		if err == nil {
			return permit, dataCentre, nil
		}
		if !x.canAskNext(err) {
			return nil, "", err
		}
	}
	return nil, "", firstErr
}

// canAskNext reports whether the next data centre may be asked after a refusal.
func (x *exchange) canAskNext(err error) bool {
	return x.ctx.Err() == nil && grantableElsewhere(errkind.Of(err))
}

// acquirePermitIn asks one data centre for a permit. If hasNext is set there are
// more data centres to ask, and a grantor whose term is still opening refuses
// instead of making the request wait. The error is of a kind that states "not
// run".
func (x *exchange) acquirePermitIn(dataCentre string, startedAt time.Time, hasNext bool) (Permit, error) {
	ask := x.newAsk(startedAt)
	ask.NotWhileOpening = hasNext
	permit, err := x.d.opts.Permits.Acquire(x.ctx, dataCentre, ask)
	switch {
	case err == nil:
		return permit, nil
	case x.ctx.Err() != nil:
		return nil, x.notSentError()
	default:
		return nil, notRunError(err)
	}
}

func (x *exchange) newAsk(startedAt time.Time) *grantpb.Ask {
	remaining := x.deadline.Sub(x.d.opts.Now())
	wait := min(x.q.route.maxWait-x.d.opts.Now().Sub(startedAt), remaining)
	return &grantpb.Ask{
		Service:      x.q.route.service.Name,
		Model:        x.q.model,
		Workspace:    x.q.workspace,
		Chat:         x.q.chatHash,
		Priority:     x.q.route.priority,
		WaitMs:       millis(wait),
		RunMs:        millis(remaining),
		Excluded:     x.excluded,
		PromptTokens: uint32(len(x.q.body) / bytesPerToken),
	}
}

// bytesPerToken is the mean number of body bytes per prompt token that the
// estimate of PromptTokens assumes.
const bytesPerToken = 4

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// grantableElsewhere reports whether another data centre may grant what one has
// refused with an error of this kind.
func grantableElsewhere(k errkind.Kind) bool {
	switch k {
	case errkind.NoBackend, errkind.NoGrantor, errkind.QueueFull, errkind.DataCentreOut,
		errkind.DeadlineUnmeetable, errkind.Unreachable, errkind.NotReady, errkind.ShuttingDown:
		return true
	default:
		return false
	}
}

// notRunError returns err if its kind states "not run", and otherwise wraps it in
// one that does: no request has run if it has no permit.
func notRunError(err error) error {
	if errkind.Lookup(errkind.Of(err)).Outcome == errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.NoGrantor, "could not obtain a permit")
}

// notSentError returns the error for a request whose context ended before
// anything was sent.
func (x *exchange) notSentError() error {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineUnmeetable, "the deadline passed before the request was sent")
	}
	return errkind.New(errkind.ClientGone, "the client closed its connection before the request was sent")
}
