package rollout

import (
	"fmt"
	"time"
)

// Bounds limit what the target of a rollout may get, if it turns out to be bad.
type Bounds struct {
	// Share is the part of all requests of the service from the order to the end of its
	// duration, and Slack a number of requests beyond it.
	Share float64
	Slack int
}

// DefaultBounds apply where the settings name none.
var DefaultBounds = Bounds{Share: 0.1, Slack: 50}

const (
	// observingPart is the part of the bound that is spent while the target is observed.
	observingPart = 0.2
	// observingSlackPart is the part of the slack that is spent besides.
	observingSlackPart = 0.25
	maxObservingShare  = 0.3
	// slackPart is the part of the slack that is used; the rest covers requests that are not
	// counted yet.
	slackPart = 0.7
	// endMargin, at least minEndMargin, is the part of the duration before whose end a rollout
	// succeeds: operators have to learn of it in time.
	endMargin    = 0.1
	minEndMargin = time.Second
	// countLag is how long an attempt takes to be counted here, and a step to be in force at
	// all routers.
	countLag = 500 * time.Millisecond
	// minShiftTime is how long the target gets all requests at least.
	minShiftTime = 3 * countLag
	// maxRateWait is how long the observation waits until the rate of requests is known.
	maxRateWait = 3 * time.Second
	// wantedJudged is the number of attempts that should have ended while the target has all
	// requests, before it succeeds.
	wantedJudged = 100
	// coldPatience is how long the observation waits until half of the target's servers have
	// completed their cold start.
	coldPatience = 4 * time.Second
	// minJudged is the number of attempts that must have ended at the target before all
	// requests go there, unless fewer are to be expected.
	minJudged = 20
	// spareSlots is how many slots the target's servers must have for each request in flight.
	spareSlots = 1.2
	// markEvery is the part of the duration after which attempts are judged by themselves.
	markEvery = 1.0 / maxMarks
)

// Pool is what is known of the servers of the target or of other versions.
type Pool struct {
	// Ready servers take requests; Warm ones of them are not in cold start. Slots are those of
	// the ready servers.
	Ready, Warm, Slots int
	// InFlight counts the requests of all routers.
	InFlight int
	// Versions are those of the servers that have not left.
	Versions []string
}

// Input is what the controller decides on.
type Input struct {
	// Elapsed is the time since the order.
	Elapsed        time.Duration
	Target, Others Pool
	Totals         *Totals
}

// Controller decides on the steps of one rollout. It is a deterministic state machine.
type Controller struct {
	Bounds Bounds
	judge  Judge
	// markedAt is the elapsed time of the judge's last mark, and phase the phase judged.
	markedAt time.Duration
	phase    Phase
	// rate is the number of attempts per second at all versions, as of the last mark.
	rate       float64
	sentAtMark int
	// endedBefore is the number of attempts that had ended at the target when the phase began.
	endedBefore int
	// sentBefore is the number of attempts that were sent to the target by then.
	sentBefore int
	// lag is how long after the beginning of the phase attempts were first counted in number; 0
	// before.
	lag time.Duration
}

// Next returns the next state of a running rollout, or nil if it stays as it is.
func (c *Controller) Next(r *Rollout, in Input) *Rollout {
	if !r.Running() {
		return nil
	}
	if c.phase != r.Phase {
		c.phase = r.Phase
		c.judge.Reset()
		c.judge.Mark(in.Totals)
		c.endedBefore = in.Totals.endedAtTarget()
		c.sentBefore, _ = in.Totals.Sent()
		c.lag = 0
	}
	step := func(phase Phase, share uint32, format string, args ...any) *Rollout {
		next := *r
		next.Phase, next.Share, next.Elapsed, next.Reason = phase, share, in.Elapsed, fmt.Sprintf(format, args...)
		if phase == Succeeded {
			next.Replaced = in.Others.Versions
		}
		return &next
	}
	if c.lag == 0 && in.Totals.endedAtTarget()-c.endedBefore >= minMomentAttempts {
		c.lag = in.Elapsed - r.Elapsed
	}
	worst, lasting := c.judge.Worst(in.Totals, r.Phase, in.Elapsed)
	if worst.Condemns() {
		return step(RolledBack, 0, "%s", worst)
	}
	c.mark(r, in)
	target, all := in.Totals.Sent()
	allowed := c.allowed(all)
	left := r.Duration - max(minEndMargin, time.Duration(endMargin*float64(r.Duration))) - in.Elapsed
	switch {
	case r.Phase == Shifting && lasting.Doubtful():
		// Attempts are counted late, and a step takes a while to be in force everywhere: no longer than the
		// last one and the first attempts after it took.
		sent := max(float64(target), float64(c.sentBefore)+c.rate*(in.Elapsed-r.Elapsed).Seconds())
		if left > 0 && sent < allowed-c.rate*c.stepLag().Seconds() {
			return nil // Further attempts may dispel the doubt.
		}
		return step(RolledBack, 0, "%s, which is in doubt at the end of what the target may get", lasting)
	case r.Phase == Observing && len(in.Others.Versions) == 0 && in.Target.Ready > 0 && left < r.Duration/2:
		return step(Succeeded, WholeShare, "no other version serves")
	case r.Phase == Observing && r.Share == 0:
		if in.Target.Ready > 0 && (2*in.Target.Warm >= in.Target.Ready || in.Elapsed >= coldPatience) && (c.rate > 0 || in.Elapsed >= maxRateWait) {
			return step(Observing, c.observingShare(r.Duration), "%d servers of the target are ready, %d of them warm", in.Target.Ready, in.Target.Warm)
		}
	case r.Phase == Observing:
		if problem := c.shiftProblem(r, in, all); problem == "" && left <= c.shiftTime(in, allowed-float64(target)) && in.Elapsed+minShiftTime <= r.Duration {
			return step(Shifting, WholeShare, "%d attempts at the target were judged, %d requests are in flight at other versions", in.Totals.endedAtTarget(), in.Others.InFlight)
		} else if problem != "" && left <= 0 {
			return step(RolledBack, 0, "%s", problem)
		}
	case in.Elapsed-r.Elapsed >= minShiftTime && in.Others.InFlight == 0 && in.Totals.endedAtTarget()-c.endedBefore >= wantedJudged:
		return step(Succeeded, WholeShare, "no requests are in flight at other versions")
	case in.Elapsed-r.Elapsed >= minShiftTime && (left <= 0 || float64(target) >= allowed):
		return step(Succeeded, WholeShare, "the time is over, %d requests are in flight at other versions", in.Others.InFlight)
	}
	if r.Phase == Observing && left <= 0 {
		return step(RolledBack, 0, "the target has not had requests long enough: %d of its servers are ready", in.Target.Ready)
	}
	return nil
}

// stepLag returns how long a step takes to be in force, at most.
func (c *Controller) stepLag() time.Duration {
	if c.lag > 0 {
		return min(countLag, c.lag)
	}
	return countLag
}

// mark has the judge count from here on as well, from time to time.
func (c *Controller) mark(r *Rollout, in Input) {
	since := in.Elapsed - c.markedAt
	if since < max(250*time.Millisecond, time.Duration(markEvery*float64(r.Duration))) {
		return
	}
	_, all := in.Totals.Sent()
	if c.sentAtMark > 0 && in.Elapsed-since >= 2*countLag { // All routers have reported before.
		c.rate = float64(max(0, all-c.sentAtMark)) / since.Seconds()
	}
	c.markedAt, c.sentAtMark = in.Elapsed, all
	c.judge.Mark(in.Totals)
}

// observingShare returns the share with which the observation of a rollout spends its part of the
// bound.
func (c *Controller) observingShare(duration time.Duration) uint32 {
	share := observingPart * c.Bounds.Share
	if expected := c.rate * duration.Seconds(); expected > 0 {
		share += observingSlackPart * float64(c.Bounds.Slack) / expected
	}
	return uint32(min(maxObservingShare, share) * WholeShare)
}

// allowed returns how many attempts the target may have had, if there were all at all versions.
func (c *Controller) allowed(all int) float64 {
	return c.Bounds.Share*float64(all) + slackPart*float64(c.Bounds.Slack)
}

// shiftTime returns how long before its end a rollout has to send all requests to the target:
// as long as attempts take, so that none is cut off, but not more than the target may get.
func (c *Controller) shiftTime(in Input, allowed float64) time.Duration {
	want := max(minShiftTime, in.Totals.Longest+countLag)
	if c.rate <= 0 {
		return want
	}
	want = max(want, 2*countLag+time.Duration(wantedJudged/c.rate*float64(time.Second)))
	// The step takes countLag to be in force, and to be taken back.
	return min(want, max(minShiftTime, time.Duration(max(0, allowed)/c.rate*float64(time.Second))+countLag))
}

// shiftProblem returns why the target cannot get all requests, or "".
func (c *Controller) shiftProblem(r *Rollout, in Input, all int) string {
	inFlight := in.Target.InFlight + in.Others.InFlight
	// Attempts are counted only after a while, and requests may have become fewer.
	counted := max(0, in.Elapsed-r.Elapsed-2*countLag)
	expected := c.rate * float64(r.Share) / WholeShare * counted.Seconds() / 2
	switch ended := in.Totals.endedAtTarget(); {
	case in.Target.Ready == 0:
		return "no server of the target is ready"
	case float64(in.Target.Slots) < spareSlots*float64(inFlight):
		return fmt.Sprintf("the servers of the target have %d slots, %d requests are in flight", in.Target.Slots, inFlight)
	case ended < minJudged && float64(ended) < expected, ended == 0 && all > 0:
		return fmt.Sprintf("%d attempts at the target were judged", ended)
	}
	return ""
}
