package fleetview

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/rollout"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Rollout returns the last rollout of a service, nil if there was none, and whether the router's
// state is recent enough to send requests to the target of a running one.
func (v *View) Rollout(service string) (r *rollout.Rollout, current bool) {
	r = v.lastRollout(service)
	if r == nil {
		return nil, true
	}
	age, confirmed := v.ConfirmationAge()
	return r, confirmed && age <= rollout.MaxStateAge
}

// BeginAttempt counts an attempt at a server with the given version of a service's software. It
// returns nil if the service has no running rollout.
func (v *View) BeginAttempt(service, route, version, server string, now time.Time) *rollout.Attempt {
	return v.attempts.Begin(v.lastRollout(service), routing.Hash(route), version, uint32(routing.Hash(server)), now)
}

func (v *View) lastRollout(service string) *rollout.Rollout { return v.Snapshot().Rollouts[service] }

func (v *View) logRollouts(before, after map[string]*rollout.Rollout) {
	for service, r := range after {
		if before[service] == nil || before[service].Encode().String() != r.Encode().String() {
			v.opts.Log.Info("rollout in force", "service", service, "target", r.Target, "number", r.Number, "phase", r.Phase.String(), "share", r.Share, "settled", r.Settled)
		}
	}
}
