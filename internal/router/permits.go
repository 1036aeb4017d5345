package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/dispatch"
	"github.com/kumquathollow/kumquathollow/internal/grantor"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// permits gives the dispatcher the grantors' client.
type permits struct{ client *grantor.Client }

// Ask implements dispatch.Permits.
func (p permits) Ask(ctx context.Context, dataCentre string, ask *grantpb.Ask) (dispatch.Permit, error) {
	granted, err := p.client.Ask(ctx, dataCentre, ask)
	if err != nil {
		return nil, err
	}
	return permit{granted}, nil
}

type permit struct{ granted *grantor.Permit }

func (p permit) Server() string  { return p.granted.Server }
func (p permit) Address() string { return p.granted.Address }
func (p permit) Started() error  { return p.granted.Started() }

func (p permit) Done(r dispatch.RunResult) {
	p.granted.Done(grantor.Result{Outcome: r.Outcome, FirstByte: r.FirstByte, Duration: r.Duration, OutputTokens: r.OutputTokens})
}

// order chooses data centres for chats: the chat's own order, or while the
// router is isolated only its own data centre.
type order struct {
	dataCentre string
	isolated   func() bool
	returns    atomic.Pointer[routing.Returns]
	observed   routing.Returns // of the goroutine that calls observe
}

// observe notes each configuration that comes into force.
func (o *order) observe(set *config.Set) {
	o.observed.Observe(set, time.Now())
	o.returns.Store(o.observed.Clone())
}

// choose implements dispatch.Options.Order.
func (o *order) choose(set *config.Set, service string, chat uint64, now time.Time) []string {
	own := set.DataCentres[o.dataCentre]
	if own == nil {
		return nil
	}
	all := routing.DataCentres(set, own.Region, service, chat, now, o.returns.Load())
	if !o.isolated() {
		return all
	}
	for _, name := range all {
		if name == o.dataCentre {
			return []string{name}
		}
	}
	return nil
}
