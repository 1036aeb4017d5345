package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/handoff"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
)

// remotePart is what another router sends at an instant, seen from the deadline.
type remotePart struct {
	at time.Duration
	handoff.Part
}

// confirmingRouter sends parts, and completes the response with the last one if that is not empty.
type confirmingRouter struct {
	fakeRouter
	deadline time.Time
	parts    []remotePart
	// endedAt is when the call ended before the response was complete.
	endedAt time.Time
}

func (r *confirmingRouter) Do(ctx context.Context, _ string, _ *handoffpb.ExchangeRequest, receive func(handoff.Part) error) handoff.Result {
	for _, p := range r.parts {
		if !r.waits(ctx, p.at) {
			return r.lost()
		}
		if err := receive(p.Part); err != nil {
			return handoff.Result{Err: err, MayHaveRun: true}
		}
	}
	if len(r.parts) == 0 || r.parts[len(r.parts)-1].Header == nil {
		r.waits(ctx, time.Hour)
		return r.lost()
	}
	return handoff.Result{MayHaveRun: true, EndedAt: time.Now()}
}

// waits reports whether the call lasts until an instant.
func (r *confirmingRouter) waits(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.deadline.Add(at))):
		return true
	}
}

func (r *confirmingRouter) lost() handoff.Result {
	r.endedAt = time.Now()
	return handoff.Result{Err: errkind.New(errkind.BackendLost, "the call ended"), MayHaveRun: true}
}

// Guards against whole responses without a length that are cut, or answered 504, since the call to the other router ends
// with the deadline while the end is confirmed there, and against a call that goes on for anything else: with a router of
// the release before, which does not tell, after an end that was not confirmed, or without the client.
func TestACallToAnotherRouterOutlivesTheDeadlineOnlyWhileAnEndIsConfirmed(t *testing.T) {
	const ms = time.Millisecond
	confirming := func(at time.Duration) remotePart { return remotePart{at, handoff.Part{Confirming: true}} }
	unconfirmed := func(at time.Duration) remotePart { return remotePart{at: at} }
	answer := func(at time.Duration) remotePart {
		return remotePart{at, handoff.Part{Status: http.StatusOK, Header: http.Header{"Content-Length": {"6"}}, Data: []byte("answer")}}
	}
	event := func(at time.Duration) remotePart {
		return remotePart{at, handoff.Part{Status: http.StatusOK, Header: http.Header{}, Data: []byte(text("4"))}}
	}
	emptyStream := func(at time.Duration) remotePart {
		return remotePart{at, handoff.Part{Status: http.StatusOK, Header: http.Header{}}}
	}
	for name, tc := range map[string]struct {
		parts []remotePart
		// leaves is when the client leaves; 0 if it does not.
		leaves time.Duration
		// whole is set if the response is, and otherwise the call ends at the given instant, unless stopped is set, since
		// the response ended at its server's deadline.
		whole, stopped bool
		ends           time.Duration
	}{
		"answer":                        {parts: []remotePart{confirming(-60 * ms), answer(100 * ms)}, whole: true},
		"stream without an event":       {parts: []remotePart{confirming(-60 * ms), emptyStream(190 * ms)}, whole: true},
		"answer before the deadline":    {parts: []remotePart{confirming(-160 * ms), answer(-60 * ms)}, whole: true},
		"answer of the release before":  {parts: []remotePart{answer(-60 * ms)}, whole: true},
		"late, release before":          {parts: []remotePart{answer(40 * ms)}},
		"nothing, release before":       {},
		"events, release before":        {parts: []remotePart{event(-40 * ms), unconfirmed(40 * ms)}},
		"at the deadline":               {parts: []remotePart{confirming(-3 * ms), answer(100 * ms)}, stopped: true},
		"not confirmed":                 {parts: []remotePart{confirming(-60 * ms), unconfirmed(-30 * ms), answer(40 * ms)}},
		"not confirmed, then stopped":   {parts: []remotePart{confirming(-60 * ms), unconfirmed(-30 * ms), answer(-3 * ms)}, stopped: true},
		"not confirmed, later":          {parts: []remotePart{confirming(-60 * ms), unconfirmed(70 * ms), answer(100 * ms)}, ends: 70 * ms},
		"never confirmed":               {parts: []remotePart{confirming(-60 * ms)}, ends: confirmTime},
		"client leaves":                 {parts: []remotePart{confirming(-60 * ms)}, leaves: -30 * ms, ends: -30 * ms},
		"client leaves after":           {parts: []remotePart{confirming(-60 * ms)}, leaves: 30 * ms, ends: 30 * ms},
		"client leaves, release before": {leaves: -30 * ms, ends: -30 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := &confirmingRouter{parts: tc.parts}
				x, w := newResumption(t, &peer.fakeRouter, "", false)
				x.f.opts.Handoff, x.requestInfo.HasLastEventID = peer, false
				client, leave := context.WithCancel(t.Context())
				defer leave()
				var cancel context.CancelFunc
				x.r = x.r.WithContext(client)
				x.ctx, cancel = context.WithDeadline(client, x.deadline)
				defer cancel()
				if peer.deadline = x.deadline; tc.leaves != 0 {
					time.AfterFunc(time.Until(x.deadline.Add(tc.leaves)), leave)
				}
				res, ok := x.handOff()
				switch {
				case !ok || (res.err == nil) != tc.whole:
					t.Fatalf("handed off %t, %v, want whole %t", ok, res.err, tc.whole)
				case tc.whole && w.Code != http.StatusOK:
					t.Errorf("status %d", w.Code)
				case tc.stopped && !errors.Is(res.err, deadline.ErrEnd):
					t.Errorf("%v, want an end at the deadline", res.err)
				case !tc.whole && !tc.stopped && !peer.endedAt.Equal(x.deadline.Add(tc.ends)):
					t.Errorf("the call ended %s after the deadline, want %s", peer.endedAt.Sub(x.deadline), tc.ends)
				}
			})
		})
	}
}

// unframedProtocol takes every response for one of the request.
type unframedProtocol struct{ Protocol }

func (unframedProtocol) IDHeader() string                              { return "X-Id" }
func (unframedProtocol) SetBackendHeaders(http.Header, BackendHeaders) {}
func (unframedProtocol) ParseResponse(*http.Response) ResponseInfo {
	return ResponseInfo{ID: "2", Signed: true}
}

// Guards against a router that keeps its call beyond the deadline for a response that has not ended, or ends it while one is
// confirmed: the router that takes the request over tells it of both.
func TestARouterTellsOfEndsThatItConfirms(t *testing.T) {
	for _, dies := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			var conns []net.Conn
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if conns = append(conns, c); len(conns) > 1 {
					continue // A witness.
				}
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
					if dies {
						_ = l.Close()
					}
					_ = c.Close()
				}()
			}
		}()
		x, _ := newResumption(t, &fakeRouter{}, "", false)
		fleet, table := x.f.opts.Fleet, inventory.New()
		opts := x.f.opts
		opts.Protocol, opts.Pool, opts.Handoff = unframedProtocol{}, backend.NewPool(backend.Options{}), nil
		x.f = New(opts)
		table.Merge(inventory.Server{ID: "s", Born: 1, Sequence: 1, Service: "chat", Address: l.Addr().String(), DataCentre: "a", Slots: 8, State: inventory.Ready, LastSeen: time.Now()})
		fleet.Update(table, time.Now())
		var told []bool
		x.received = &handoff.Request{ReportConfirming: func(confirming bool) error { told = append(told, confirming); return nil }}
		picked, err := x.pick()
		if err != nil {
			t.Fatal(err)
		}
		if res := x.attempt(picked); (res.err != nil) != dies {
			t.Errorf("server dies %t: %v", dies, res.err)
		}
		want := []bool{true}
		if dies {
			want = append(want, false)
		}
		if !slices.Equal(told, want) {
			t.Errorf("server dies %t: told %v, want %v", dies, told, want)
		}
	}
}
