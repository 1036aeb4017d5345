package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
)

// believingRouter is a router of the release before: its server stops work at its deadline, or early, and what it has
// written counts as whole.
type believingRouter struct {
	fakeRouter
	early time.Duration
}

func (r *believingRouter) Do(ctx context.Context, address string, req *handoffpb.ExchangeRequest, receive func(handoff.Part) error) handoff.Result {
	lasts := time.Duration(req.TimeoutMs)*time.Millisecond - r.early
	if r.plain != "" {
		time.Sleep(lasts)
		return r.fakeRouter.Do(ctx, address, req, receive)
	}
	res := r.fakeRouter.Do(ctx, address, req, receive)
	time.Sleep(lasts)
	res.EndedAt = time.Now()
	time.Sleep(50 * time.Millisecond) // The end of the call may come later.
	return res
}

// Guards against a response that another router passes on as whole although its server has stopped it at its deadline.
func TestAHandedOffResponseThatEndsAtItsDeadlineIsNotWhole(t *testing.T) {
	for _, events := range [][]string{{text("4"), text("5")}, nil} {
		for _, plain := range []string{"", "answer"} {
			for early, whole := range map[time.Duration]bool{0: false, 20 * time.Millisecond: true} {
				if plain != "" && events != nil {
					continue
				}
				t.Run(fmt.Sprint(len(events), plain, early), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						peer := &believingRouter{fakeRouter: fakeRouter{events: events, plain: plain}, early: early}
						x, w := newResumption(t, &peer.fakeRouter, "", false)
						x.f.opts.Handoff, x.requestInfo.HasLastEventID = peer, false
						res, ok := x.handOff()
						if !ok || res.err == nil != whole {
							t.Fatalf("handed off %t, %v, want whole %t", ok, res.err, whole)
						}
						if !whole && (res.retryable || !errors.Is(res.err, deadline.ErrEnd) || !errkind.Is(res.err, errkind.BackendTimeout)) {
							t.Errorf("%v, retryable %t, want an end at the deadline", res.err, res.retryable)
						}
						if isSent := whole || events != nil; x.headerSent != isSent || isSent && w.Code != http.StatusOK {
							t.Errorf("a header was sent: %t, status %d", x.headerSent, w.Code)
						}
					})
				})
			}
		}
	}
}

// Guards against a response that counts as one without a deadline, since less than a millisecond was left when its request
// was handed off.
func TestAResponseThatIsHandedOffAtItsDeadlineIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &believingRouter{fakeRouter: fakeRouter{events: []string{text("4")}}}
		x, _ := newResumption(t, &peer.fakeRouter, "", false)
		x.f.opts.Handoff, x.requestInfo.HasLastEventID, x.deadline = peer, false, time.Now()
		if res, ok := x.handOff(); !ok || !errors.Is(res.err, deadline.ErrEnd) {
			t.Errorf("handed off %t, %v, want an end at the deadline", ok, res.err)
		}
	})
}
