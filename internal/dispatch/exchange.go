package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// exchange is one caller's request and its answer.
type exchange struct {
	d  *Dispatcher
	w  http.ResponseWriter
	rc *http.ResponseController
	q  *request
	// base is the request id without the place of its run.
	base string
	// id is the request id with the place of the last attempt; empty before it.
	id       string
	body     *sentBody
	ctx      context.Context
	began    time.Time
	deadline time.Time
	excluded []string
	attempts int
	// claim is set on routes that may not be repeated.
	claim *heldClaim
	// mayHaveRun is true once an attempt may have run, at the server with address.
	mayHaveRun bool
	address    string
	// bodyHeld is the memory counted for the caller's body.
	bodyHeld int64
	// bodyRead is true once the caller's body has been read to its end.
	bodyRead bool
	// headerSent is true once the caller has been sent a status.
	headerSent bool
}

func (x *exchange) shownID() string {
	if x.id != "" {
		return x.id
	}
	return x.base
}

// attemptResult is what one attempt came to. A nil err means that the caller
// has its answer.
type attemptResult struct {
	err error
	// mayHaveRun is true unless the attempt surely did not run.
	mayHaveRun bool
	// again is true if another server may do better.
	again bool
}

// run makes attempts until the caller has its answer or none may follow. It is
// the only place from which a request is tried again.
func (x *exchange) run() error {
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
			err = unknown // an earlier attempt may have run, so "not run" would be false
		}
		if !x.mayRetry(res) {
			return err
		}
		if !x.d.budget.allow(x.d.opts.Now(), x.q.limits.retryRatio) {
			if unknown != nil {
				return unknown
			}
			return errkind.Wrap(err, errkind.RetryBudget, "the request did not run, and the router may make no more attempts now")
		}
		x.d.metrics.retries.Inc(1)
	}
}

// mayRetry reports whether the rules on outcomes allow another attempt.
func (x *exchange) mayRetry(res attemptResult) bool {
	if !res.again || x.headerSent || x.ctx.Err() != nil {
		return false
	}
	if x.attempts >= x.q.limits.maxAttempts {
		return false
	}
	return !res.mayHaveRun || x.q.route.repeatable
}

func (x *exchange) attempt() attemptResult {
	permit, dataCentre, err := x.ask()
	if err != nil {
		return attemptResult{err: err}
	}
	x.attempts++
	x.d.metrics.attempts.Inc(1)
	x.address = permit.Address()
	x.id = withServer(x.base, x.q.route.service.Name, dataCentre, permit.Server())
	r := newRun(x, permit)
	res := r.do()
	if res.err != nil {
		x.excluded = append(x.excluded, permit.Server())
	}
	return res
}

// ask gets a permit in the first data centre of the chat's order that gives one.
func (x *exchange) ask() (Permit, string, error) {
	began := x.d.opts.Now()
	defer func() { x.d.metrics.permit.Update(x.d.opts.Now().Sub(began).Microseconds()) }()
	order := x.d.opts.Order(x.q.set, x.q.route.service.Name, x.q.chat, began)
	if len(order) == 0 {
		return nil, "", errkind.New(errkind.DataCentreOut, "no data centre serves %s now", x.q.route.service.Name)
	}
	var first error
	var opening []string
	for i, dataCentre := range order {
		others := i < len(order)-1
		permit, err := x.askIn(dataCentre, began, others)
		if err == nil {
			return permit, dataCentre, nil
		}
		if !x.mayAskOn(err) {
			return nil, "", err
		}
		if first == nil {
			first = err
		}
		if others && errkind.Is(err, errkind.NoGrantor) {
			opening = append(opening, dataCentre)
		}
	}
	// No other could help, so wait for those whose grantor may be new.
	for _, dataCentre := range opening {
		permit, err := x.askIn(dataCentre, began, false)
		if err == nil {
			return permit, dataCentre, nil
		}
		if !x.mayAskOn(err) {
			return nil, "", err
		}
	}
	return nil, "", first
}

// mayAskOn reports whether another data centre may be asked after a refusal.
func (x *exchange) mayAskOn(err error) bool {
	return x.ctx.Err() == nil && elsewhere(errkind.Of(err))
}

// askIn asks one data centre. others says that there are more to ask, so that a
// grantor whose tenure is still opening is not waited for. The error is of a
// kind that states "not run".
func (x *exchange) askIn(dataCentre string, began time.Time, others bool) (Permit, error) {
	a := x.newAsk(began)
	a.NotWhileOpening = others
	permit, err := x.d.opts.Permits.Ask(x.ctx, dataCentre, a)
	switch {
	case err == nil:
		return permit, nil
	case x.ctx.Err() != nil:
		return nil, x.endedBeforeSending()
	default:
		return nil, asRefusal(err)
	}
}

func (x *exchange) newAsk(began time.Time) *grantpb.Ask {
	left := x.deadline.Sub(x.d.opts.Now())
	wait := min(x.q.route.maxWait-x.d.opts.Now().Sub(began), left)
	return &grantpb.Ask{
		Service:      x.q.route.service.Name,
		Model:        x.q.model,
		Workspace:    x.q.workspace,
		Chat:         x.q.chat,
		Priority:     x.q.route.priority,
		WaitMs:       millis(wait),
		RunMs:        millis(left),
		Excluded:     x.excluded,
		PromptTokens: uint32(len(x.q.body) / bytesPerToken),
	}
}

const bytesPerToken = 4

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// elsewhere reports whether another data centre may grant what one has refused.
func elsewhere(k errkind.Kind) bool {
	switch k {
	case errkind.NoBackend, errkind.NoGrantor, errkind.QueueFull, errkind.DataCentreOut,
		errkind.DeadlineUnmeetable, errkind.Unreachable, errkind.NotReady, errkind.ShuttingDown:
		return true
	default:
		return false
	}
}

// asRefusal keeps kinds that state "not run", which holds for every failed ask.
func asRefusal(err error) error {
	if errkind.Lookup(errkind.Of(err)).Outcome == errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.NoGrantor, "no permit could be had")
}

// endedBeforeSending says why the request ended while nothing had been sent.
func (x *exchange) endedBeforeSending() error {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineUnmeetable, "the deadline passed before the request was sent")
	}
	return errkind.New(errkind.ClientGone, "the caller is gone")
}
