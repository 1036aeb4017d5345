package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/deadline"
)

// Guards against whole responses without a length that are cut since their deadline passes while their end is
// confirmed, and against a confirmation that goes on without its client.
func TestAnEndShortlyBeforeTheDeadlineIsConfirmedAfterIt(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		s := newUnframedServer(t, func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, unframedHead+"part")
			time.Sleep(200 * time.Millisecond)
		})
		pool := newRunningPool(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		resp, err := pool.Do(ctx, s.target(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Close()
		body, ok := resp.Body.(*deadline.CheckedBody)
		if !ok {
			t.Fatalf("the end of a body of type %T is not confirmed", resp.Body)
		}
		confirm, confirmed := body.Check, false
		body.Check = func() error {
			if confirmed = ctx.Err() == nil; cancelled {
				cancel()
			} else {
				at, _ := ctx.Deadline()
				time.Sleep(time.Until(at) - answerEndTime/2) // The end is confirmed until after the deadline.
			}
			return confirm()
		}
		if got, err := io.ReadAll(body); string(got) != "part" || (err != nil) != cancelled || !confirmed {
			t.Errorf("client gone %t: read %q, %v, end before the deadline %t", cancelled, got, err, confirmed)
		}
	}
}

// Guards against a confirmation that goes on without its client, if the client leaves in the midst of it.
func TestAConfirmationEndsWithItsClient(t *testing.T) {
	s := newUnframedServer(t, func(_ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	w, err := newRunningPool(t).poolFor(s.target()).open(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	tick, outlasted := make(chan time.Time), make(chan error, 1)
	go func() {
		_, err := outlast(ctx, []*conn{w}, tick, nil)
		outlasted <- err
	}()
	tick <- time.Now()
	cancel()
	if err := <-outlasted; !errors.Is(err, context.Canceled) {
		t.Errorf("the confirmation ended with %v, want %v", err, context.Canceled)
	}
}

// Guards against responses that their server stops at its deadline and that pass for whole, and against whole ones that
// end before it, or whose length is known, and do not.
func TestAResponseThatEndsAtItsServersDeadlineIsNotWhole(t *testing.T) {
	const timeout, early = 700 * time.Millisecond, 330 * time.Millisecond
	s := newUnframedServer(t, func(path string, c net.Conn) {
		lasts := timeout
		if strings.HasSuffix(path, "/early") {
			lasts -= early
		}
		switch stop := time.Now().Add(lasts); {
		case strings.HasPrefix(path, "/chunked"):
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
			time.Sleep(time.Until(stop))
			_, _ = io.WriteString(c, "0\r\n\r\n")
		case strings.HasPrefix(path, "/length"):
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\npar")
			time.Sleep(time.Until(stop))
			_, _ = io.WriteString(c, "t")
		default:
			_, _ = io.WriteString(c, unframedHead+"part")
			time.Sleep(time.Until(stop))
		}
	})
	pool := newRunningPool(t)
	var wg sync.WaitGroup
	for path, whole := range map[string]bool{
		"/chunked": false, "/unframed": false, "/length": true,
		"/chunked/early": true, "/unframed/early": true, "/length/early": true,
	} {
		for range 10 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				resp, err := pool.Do(ctx, s.target(), &Request{Method: http.MethodGet, Target: path, Host: "h", Timeout: timeout})
				if err != nil {
					t.Errorf("%s: %v", path, err)
					return
				}
				defer resp.Close()
				body, err := resp.ReadAll(100, func(int64) error { return nil })
				if whole && (err != nil || string(body) != "part") || !whole && !errors.Is(err, deadline.ErrEnd) {
					t.Errorf("%s: read %q, %v, want whole %t", path, body, err, whole)
				}
			})
		}
	}
	wg.Wait()
}
