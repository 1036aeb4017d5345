package rollout

import (
	"slices"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Phase is the state of an order.
type Phase int

// Phases of a rollout, in their order.
const (
	Observing Phase = iota + 1
	Shifting
	Succeeded
	RolledBack
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	switch p {
	case Observing:
		return "observing"
	case Shifting:
		return "shifting"
	case Succeeded:
		return "succeeded"
	case RolledBack:
		return "rolled back"
	}
	return "unknown"
}

const (
	// WholeShare is the share of all requests, in millionths.
	WholeShare = 1_000_000
	// MaxStateAge is the age of a router's last confirmation beyond which it sends nothing to
	// the target of a running rollout.
	MaxStateAge = 1500 * time.Millisecond
)

// Rollout is an order to move a service to a version, and how far it has come. It is immutable.
type Rollout struct {
	Service string
	Target  string
	// Number tells the orders for a service apart; each one has a higher number.
	Number uint64
	Phase  Phase
	// Share is the part of the requests that goes to the target, in millionths.
	Share    uint32
	Duration time.Duration
	// Elapsed is the time from the order until the phase or the share changed last.
	Elapsed time.Duration
	// StartedAt is the time of the order in Unix milliseconds.
	StartedAt int64
	// Replaced are the versions that a rollout which succeeded has replaced.
	Replaced []string
	// Reason says why the phase began.
	Reason string
	// Settled is set once the versions that get no requests have had no server for a while.
	Settled bool
}

// Running reports whether the order has not ended.
func (r *Rollout) Running() bool { return r.Phase == Observing || r.Phase == Shifting }

// MayFollow reports whether r can replace the previous state of its service, which is nil if
// there was no order for it.
func (r *Rollout) MayFollow(previous *Rollout) bool {
	switch {
	case r.Service == "" || r.Target == "" || r.Phase < Observing || r.Phase > RolledBack:
		return false
	case previous == nil || r.Number > previous.Number:
		return r.Phase == Observing && (previous == nil || !previous.Running())
	case r.Number < previous.Number || r.Target != previous.Target:
		return false
	case previous.Running():
		return r.Phase > previous.Phase || r.Phase == previous.Phase && r.Share != previous.Share
	}
	return r.Phase == previous.Phase && r.Settled && !previous.Settled
}

// Versions says which software versions a request may go to.
type Versions struct {
	// Only is the version to try first; empty if there is none. If its servers cannot take the
	// request, others may, except for Excluded.
	Only string
	// Excluded are versions that the request may not go to, unless Only names them.
	Excluded []string
}

// shareSalt makes the choice independent of other uses of a request's hash.
const shareSalt = 0x5851F42D4C957F2D

// Versions returns the versions that a request may go to. current is false if the state is not
// known to be current. r may be nil.
func (r *Rollout) Versions(requestHash uint64, current bool) Versions {
	switch {
	case r == nil || r.Settled:
		return Versions{}
	case r.Phase == Succeeded:
		return Versions{Excluded: r.Replaced}
	}
	v := Versions{Excluded: []string{r.Target}}
	if r.Running() && current && routing.Fraction(routing.Mix(requestHash, r.Number^shareSalt))*WholeShare < float64(r.Share) {
		v.Only = r.Target
	}
	return v
}

// Allows reports whether a request that only one version can serve may go there.
func (r *Rollout) Allows(version string, current bool) bool {
	switch {
	case r == nil || r.Settled:
		return true
	case r.Running():
		return version != r.Target || current && r.Share > 0
	case r.Phase == Succeeded:
		return !slices.Contains(r.Replaced, version)
	}
	return version != r.Target
}

// Encode returns the rollout as it is sent and stored.
func (r *Rollout) Encode() *fleetpb.Rollout {
	return &fleetpb.Rollout{
		Service: r.Service, Target: r.Target, Number: r.Number, Phase: fleetpb.RolloutPhase(r.Phase), Share: r.Share,
		DurationMs: uint32(r.Duration.Milliseconds()), ElapsedMs: uint32(r.Elapsed.Milliseconds()), StartedMs: r.StartedAt,
		Replaced: r.Replaced, Reason: r.Reason, Settled: r.Settled,
	}
}

// Decode returns the rollout encoded by Encode.
func Decode(in *fleetpb.Rollout) *Rollout {
	return &Rollout{
		Service: in.Service, Target: in.Target, Number: in.Number, Phase: Phase(in.Phase), Share: in.Share,
		Duration: time.Duration(in.DurationMs) * time.Millisecond, Elapsed: time.Duration(in.ElapsedMs) * time.Millisecond,
		StartedAt: in.StartedMs, Replaced: in.Replaced, Reason: in.Reason, Settled: in.Settled,
	}
}

// Command returns the command that puts the rollout in force.
func (r *Rollout) Command() *fleetpb.Command {
	return &fleetpb.Command{Op: &fleetpb.Command_Rollout{Rollout: r.Encode()}}
}
