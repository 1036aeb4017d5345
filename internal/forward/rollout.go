package forward

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/rollout"
)

// paceEvents is the number of events after which the pace of a stream is known.
const paceEvents = 8

// choose chooses a server with a version that the service's rollout, if there is one, lets the
// request go to. A request that a server of the target has failed goes to another version.
func (x *exchange) choose(req placement.PickRequest) (*placement.PickResult, error) {
	r, current := x.f.opts.View.Rollout(x.service.Name)
	if req.Version != "" {
		if !r.Allows(req.Version, current) {
			return nil, errkind.New(errkind.StreamNotResumable, "the stream began at version %q of service %q, which gets no more requests", req.Version, x.service.Name).WithRetryAfter(refusedRetryAfter)
		}
		return x.f.opts.Fleet.Pick(req, time.Now())
	}
	versions := r.Versions(x.requestHash, current && x.sends == 0)
	if versions.Only != "" {
		req.Version = versions.Only
		if picked, err := x.f.opts.Fleet.Pick(req, time.Now()); err == nil {
			return picked, nil
		}
		req.Version = ""
	}
	req.ExcludedVersions = versions.Excluded
	return x.f.opts.Fleet.Pick(req, time.Now())
}

// recordAttempt counts what came of an attempt at a service with a running rollout.
func (x *exchange) recordAttempt(a *rollout.Attempt, res attemptResult, took time.Duration) {
	now := time.Now()
	switch {
	case errkind.Is(res.err, errkind.ClientGone) || !res.sent || !res.mayHaveRun:
		a.End(rollout.Neutral, now)
	case res.outcome == placement.Failure:
		a.End(rollout.Failed, now)
		if errors.Is(res.err, os.ErrDeadlineExceeded) || errors.Is(res.err, deadline.ErrEnd) {
			a.RecordFirst(now, x.route.Target)
		}
	default:
		if !isStreaming(x) {
			a.RecordFirst(now, x.route.Target)
			a.RecordPace(took)
		}
		a.End(rollout.Completed, now)
	}
}
