package deadline

import (
	"io"
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
			for length, framed := range map[int64]bool{-1: false, 4: true} {
				// The end comes with the last bytes, and a reader asks for it again later.
				body := server.Body(io.NopCloser(iotest.DataErrReader(strings.NewReader("text"))), length)
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
