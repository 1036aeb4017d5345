package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/backend"
	"github.com/kumquathollow/kumquathollow/internal/catalog"
	"github.com/kumquathollow/kumquathollow/internal/deadline"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/inventory"
	"github.com/kumquathollow/kumquathollow/internal/placement"
	"github.com/kumquathollow/kumquathollow/internal/telemetry"
)

// Guards against a server that counts as failed, or a request as one under which servers end, since the
// server says of a stream that has ended that nothing is left: it has answered whole.
func TestAServerWithNothingLeftOfAStreamHasNotFailed(t *testing.T) {
	x := &exchange{f: &Forwarder{opts: Options{Metrics: telemetry.NewRegistry()}}, ctx: context.Background(), route: &catalog.Route{}}
	picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
	res := x.wronglyContinued(picked, errNothingLeft)
	if res.outcome != placement.Neutral || !res.survived || !res.retryable {
		t.Errorf("nothing left: outcome %v, survived %t, retryable %t", res.outcome, res.survived, res.retryable)
	}
	res = x.wronglyContinued(picked, errkind.New(errkind.StreamBroken, "event 6 follows event 3"))
	if res.outcome != placement.Failure || !res.retryable {
		t.Errorf("missing events: outcome %v, retryable %t", res.outcome, res.retryable)
	}
}

// Guards against a stream that is cut, and a server that is checked for its end, since that server wrote the whole stream and then
// some of it again: the next one is asked for the last event again, and the connection has not broken.
func TestARunThatGoesBackMayHaveBeenWhole(t *testing.T) {
	x, _ := newResumption(t, &fakeRouter{}, "3", true)
	x.brokeInside = true // By an earlier server.
	picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
	res := x.wronglyContinued(picked, errkind.Wrap(errNotRising, errkind.StreamBroken, "s1"))
	if !res.survived || !res.retryable || res.outcome != placement.Failure {
		t.Errorf("survived %t, retryable %t, outcome %v, want a server that has failed and goes on", res.survived, res.retryable, res.outcome)
	}
	if id, ok := x.resumeAfter(picked); id != "2" || !ok {
		t.Errorf("the next server is asked for what follows %q, %t, want 2", id, ok)
	}
}

// Guards against another run of a request that has no time left: its server has ended the response at its deadline.
func TestAnEndAtTheDeadlineIsNotAskedForAgain(t *testing.T) {
	atDeadline := deadline.NewServer(time.Now(), time.Second).CheckEnd(time.Now().Add(time.Second))
	for _, end := range []error{atDeadline, io.ErrUnexpectedEOF} {
		x, _ := newResumption(t, &fakeRouter{}, "", false)
		picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
		body := func() *backend.Response {
			return &backend.Response{Response: &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(iotest.ErrReader(end))}}
		}
		for form, res := range map[string]attemptResult{
			"stream": x.streamBroken(picked, end), "answer": x.forwardResponse(picked, body(), ResponseInfo{}),
		} {
			isEnd := errors.Is(end, deadline.ErrEnd)
			if res.retryable == isEnd || !res.mayHaveRun || res.outcome != placement.Failure || errkind.Is(res.err, errkind.BackendTimeout) != isEnd {
				t.Errorf("%s, %v: %v, retryable %t, may have run %t, outcome %v", form, end, res.err, res.retryable, res.mayHaveRun, res.outcome)
			}
		}
	}
}

// Guards against a stream that is cut since its server ended with it, after the last event and so that the end is not confirmed: the
// next server is asked for that event again, also if others are left, but not once another event has come.
func TestAStreamWhoseEndIsNotConfirmedMayHaveEnded(t *testing.T) {
	for _, tc := range []struct {
		mayHaveEnded bool
		text         string
		end          error
		want         string
	}{
		{false, text("4"), backend.ErrEndUnconfirmed, "3"},
		{false, text("4") + "id: 5", backend.ErrEndUnconfirmed, "4"},
		{false, text("4"), io.ErrUnexpectedEOF, "4"},
		{true, text("4"), io.ErrUnexpectedEOF, "4"},
		{true, text("3"), io.ErrUnexpectedEOF, "2"},
	} {
		x, _ := newResumption(t, &fakeRouter{}, "3", true)
		table, now := inventory.New(), time.Now()
		for _, id := range []string{"s1", "s2", "s3"} {
			table.Merge(inventory.Server{ID: id, Born: 1, Sequence: 1, Service: "chat", Address: id + ":1", DataCentre: "a", Version: "v1", Slots: 4, State: inventory.Ready, LastSeen: now})
		}
		x.f.opts.Fleet.Update(table, now)
		x.mayHaveEnded = tc.mayHaveEnded
		picked := &placement.PickResult{Server: &placement.Server{ID: "s1"}}
		body := io.MultiReader(strings.NewReader(tc.text), iotest.ErrReader(tc.end))
		res := x.forwardStream(picked, &backend.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}})
		if id, _ := x.resumeAfter(picked); !res.retryable || id != tc.want {
			t.Errorf("may have ended %t, %q, %v: retryable %t, the next server is asked for what follows %q, want %q", tc.mayHaveEnded, tc.text, tc.end, res.retryable, id, tc.want)
		}
	}
}
