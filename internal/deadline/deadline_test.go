package deadline

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// Guards against the stop of a server whose clock or timers are slightly fast, and that passes for the end of its
// response, and against whole responses that count as stopped.
func TestAnEndAtTheDeadlineIsNoEnd(t *testing.T) {
	for _, tc := range []struct {
		timeout, endsAfter time.Duration
		whole              bool
	}{
		{3 * time.Second, 3 * time.Second, false},
		{3 * time.Second, 4 * time.Second, false},
		{3 * time.Second, 2992 * time.Millisecond, false},
		{3 * time.Second, 2991 * time.Millisecond, true},
		{time.Minute, time.Minute - 65*time.Millisecond, false},
		{time.Minute, time.Minute - 66*time.Millisecond, true},
		{time.Millisecond, 0, false},
		{0, time.Hour, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			server := NewServer(time.Now(), tc.timeout)
			for _, length := range []int64{-1, 4} {
				// The end comes with the last bytes, and a reader asks for it again later.
				resp := &http.Response{StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(iotest.DataErrReader(strings.NewReader("text")))}
				framed := length >= 0 && tc.timeout != time.Millisecond // All of that counts as the deadline.
				server.CheckBody(resp, time.Now())
				body := resp.Body
				if framed {
					time.Sleep(time.Until(server.sentAt.Add(time.Hour)))
				} else {
					time.Sleep(time.Until(server.sentAt.Add(tc.endsAfter)))
				}
				var text [8]byte
				n, err := body.Read(text[:])
				if !framed {
					time.Sleep(tc.timeout - tc.endsAfter + time.Second)
				}
				if err == nil {
					_, err = body.Read(text[:])
				}
				want := tc.whole || framed
				isEnd := errors.Is(err, ErrEnd) && errkind.Is(err, errkind.BackendTimeout)
				if n != 4 || err == io.EOF != want || isEnd == want {
					t.Errorf("time-out %s, end after %s, length %d: read %d bytes, %v, want whole %t", tc.timeout, tc.endsAfter, length, n, err, want)
				}
				server = NewServer(time.Now(), tc.timeout)
			}
		})
	}
}

// Guards against servers that are told more time than is left, or none, which would mean that there is no deadline.
func TestServersAreToldNoMoreTimeThanIsLeft(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{
		2*time.Second + 999*time.Microsecond: 2 * time.Second, time.Millisecond: time.Millisecond,
		999 * time.Microsecond: time.Millisecond, 0: time.Millisecond, -time.Hour: time.Millisecond,
	} {
		if got := TimeoutFor(left); got != want {
			t.Errorf("%s left: a time-out of %s, want %s", left, got, want)
		}
	}
}

// Guards against responses without a body, whose request or status allows none, that count as cut or as ended by their
// connection.
func TestAResponseThatMayHaveNoBodyIsNotChecked(t *testing.T) {
	for _, tc := range []struct{ method, head string }{
		{http.MethodPost, "204 No Content"},
		{http.MethodPost, "204 No Content\r\nConnection: close"},
		{http.MethodGet, "304 Not Modified"},
		{http.MethodGet, "304 Not Modified\r\nContent-Length: 4"},
		{http.MethodHead, "200 OK"},
		{http.MethodHead, "200 OK\r\nContent-Length: 0"},
		{http.MethodHead, "200 OK\r\nContent-Length: 4"},
		{http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked"},
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+tc.head+"\r\n\r\n")), &http.Request{Method: tc.method})
		if err != nil {
			t.Fatal(err)
		}
		if NewServer(time.Now().Add(-time.Hour), time.Second).CheckBody(resp, time.Now()); resp.Body != http.NoBody {
			t.Errorf("%s, %q: a response without a body got one", tc.method, tc.head)
		}
	}
}

// Guards against a server that stops before it has written anything, or all, and whose framework states the length of
// what there is: the length that comes at the deadline says nothing. An error response is passed on.
func TestALengthThatIsToldAtTheDeadlineIsNotBelieved(t *testing.T) {
	now := time.Now()
	server := NewServer(now, 3*time.Second)
	for _, tc := range []struct {
		status     int
		begunAfter time.Duration
		whole      bool
	}{
		{http.StatusOK, 2991 * time.Millisecond, true},
		{http.StatusOK, 2992 * time.Millisecond, false},
		{http.StatusGatewayTimeout, 3 * time.Second, true},
	} {
		for _, text := range []string{"", "part"} {
			resp := &http.Response{StatusCode: tc.status, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
			server.sentAt = now.Add(-tc.begunAfter)
			server.CheckBody(resp, now)
			if _, err := io.ReadAll(resp.Body); err == nil != tc.whole || err != nil && !errors.Is(err, ErrEnd) {
				t.Errorf("status %d after %s, %q: %v, want whole %t", tc.status, tc.begunAfter, text, err, tc.whole)
			}
		}
	}
}

// Guards against the end of a stream that another router has begun and that counts as whole although the server may have
// stopped it by that router's clock, and against a deadline that is believed although the clocks differ.
func TestAnEndAtTheDeadlineThatAnotherRouterToldIsNoEnd(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for _, tc := range []struct {
		// stopsIn is when the server may stop, seen from the resumption; unknown stands for none.
		stopsIn, endsAfter time.Duration
		unknown, whole     bool
	}{
		{stopsIn: 5 * time.Second, endsAfter: 5*time.Second - clockTolerance - time.Millisecond, whole: true},
		{stopsIn: 5 * time.Second, endsAfter: 5*time.Second - clockTolerance},
		{stopsIn: 5 * time.Second, endsAfter: time.Minute},
		{stopsIn: -5 * time.Second},
		{stopsIn: 20*time.Second + clockTolerance, whole: true},
		{stopsIn: 20*time.Second + clockTolerance + time.Millisecond},
		{unknown: true},
	} {
		stopsAt := now.Add(tc.stopsIn)
		if tc.unknown {
			stopsAt = time.Time{}
		}
		server := ServerOfOtherRouter(stopsAt, 20*time.Second, now)
		if err := server.CheckEnd(now.Add(tc.endsAfter)); err == nil != tc.whole || err != nil && !errors.Is(err, ErrEnd) {
			t.Errorf("%+v: %v", tc, err)
		}
		resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
		server.CheckBody(resp, now)
		if _, checked := resp.Body.(*CheckedBody); !checked {
			t.Errorf("%+v: the end is not checked", tc)
		}
	}
}
