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

// permitClient adapts the grantor client to dispatch.Permits.
type permitClient struct{ client *grantor.Client }

// Acquire implements dispatch.Permits.
func (p permitClient) Acquire(ctx context.Context, dataCentre string, ask *grantpb.Ask) (dispatch.Permit, error) {
	granted, err := p.client.Acquire(ctx, dataCentre, ask)
	if err != nil {
		return nil, err
	}
	return permit{granted}, nil
}

type permit struct{ granted *grantor.Permit }

func (p permit) Server() string  { return p.granted.Server }
func (p permit) Address() string { return p.granted.Address }
func (p permit) Start() error    { return p.granted.Start() }

func (p permit) Done(r dispatch.RunResult) {
	p.granted.Done(grantor.RunResult{Outcome: r.Outcome, FirstByte: r.FirstByte, Duration: r.Duration, OutputTokens: r.OutputTokens})
}

// dataCentreOrder determines the data centres that can serve a chat, in order of
// preference. While the router is isolated, that is only its own data centre.
type dataCentreOrder struct {
	dataCentre  string
	isolated    func() bool
	returnTimes atomic.Pointer[routing.ReturnTimes]
	observed    routing.ReturnTimes // used only by the goroutine that calls observe
}

// observe updates the return times from a configuration that has come into force.
func (o *dataCentreOrder) observe(set *config.Set) {
	o.observed.Observe(set, time.Now())
	o.returnTimes.Store(o.observed.Clone())
}

// dataCentres implements dispatch.Options.DataCentreOrder.
func (o *dataCentreOrder) dataCentres(set *config.Set, service string, chat uint64, now time.Time) []string {
	own := set.DataCentres[o.dataCentre]
	if own == nil {
		return nil
	}
	all := routing.DataCentres(set, own.Region, service, chat, now, o.returnTimes.Load())
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
