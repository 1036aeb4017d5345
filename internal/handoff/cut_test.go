package handoff

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// startCutPath forwards connections to address and ends them once limit bytes came back; reset
// selects how.
func startCutPath(t *testing.T, address string, limit int64, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		wg.Go(func() { _, _ = io.Copy(s, c) })
		_, _ = io.Copy(c, io.LimitReader(s, limit))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_, _ = c.Close(), s.Close()
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// Guards against a stream that was handed off and ends as whole, or with events lost, repeated or
// merged, where the connection to the other router ends after any byte.
func TestAHandoffThatIsCutAtAnyByteIsNotWhole(t *testing.T) {
	const events = 4
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }
	var ran atomic.Int64
	_, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		ran.Add(1)
		r.Server = func() (string, int64) { return "s", 7 }
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for i := 1; i <= events; i++ {
			if _, err := io.WriteString(w, event(i)); err != nil {
				return r.Sends + 1, true, errkind.Wrap(err, errkind.ClientGone, "write an event")
			}
		}
		return r.Sends + 1, true, nil
	})
	exchange := func(limit int64, reset bool) (Result, []string) {
		path := startCutPath(t, address, limit, reset)
		dialer := rpc.NewFleetDialer()
		defer func() { _ = dialer.Close() }()
		var parts []string
		res := (&Client{Router: "r", Dialer: dialer}).Do(t.Context(), path, newRequest(), func(p Part) error {
			parts = append(parts, string(p.Data))
			return nil
		})
		return res, parts
	}
	completeAt := int64(0)
	for limit := int64(0); completeAt == 0 && limit < 1000; limit++ {
		for _, reset := range []bool{false, true} {
			before := ran.Load()
			res, parts := exchange(limit, reset)
			for i, p := range parts {
				if p != event(i+1) {
					t.Fatalf("cut after %d bytes, reset %v: part %d is %q", limit, reset, i, p)
				}
			}
			switch {
			case res.Err == nil && len(parts) != events:
				t.Fatalf("cut after %d bytes, reset %v: whole after %d of %d events", limit, reset, len(parts), events)
			case res.Err == nil:
				completeAt = limit
			case !res.MayHaveRun && ran.Load() > before:
				t.Errorf("cut after %d bytes, reset %v: %v, said not to have run although it has", limit, reset, res.Err)
			}
		}
	}
	if completeAt < events*int64(len(event(1))) {
		t.Errorf("the exchange was complete after %d bytes", completeAt)
	}
}

// Guards against a plain answer that was handed off and counts as complete, or as not run, although the process of the
// other router was killed before it said so: the kernel ends its connection in order, after any byte.
func TestAPlainAnswerThatIsCutAtAnyByteIsNotComplete(t *testing.T) {
	const text = "the whole answer"
	var ran atomic.Int64
	_, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		ran.Add(1)
		r.Server = func() (string, int64) { return "s", 7 }
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		w.WriteHeader(http.StatusOK)
		_, err := io.WriteString(w, text)
		return r.Sends + 1, true, err
	})
	cut, whole := 0, false
	for limit := int64(0); !whole && limit < 1000; limit++ {
		path := startCutPath(t, address, limit, false)
		dialer := rpc.NewFleetDialer()
		before, body := ran.Load(), ""
		res := (&Client{Router: "r", Dialer: dialer}).Do(t.Context(), path, newRequest(), func(p Part) error {
			body += string(p.Data)
			return nil
		})
		_ = dialer.Close()
		switch {
		case res.Err == nil && body != text:
			t.Fatalf("cut after %d bytes: complete with %q", limit, body)
		case res.Err == nil:
			whole = true
		case !res.MayHaveRun && ran.Load() > before:
			t.Errorf("cut after %d bytes: %v, said not to have run although it has", limit, res.Err)
		default:
			cut++
		}
	}
	if cut < len(text) || !whole {
		t.Errorf("%d cuts were seen, whole after them: %t", cut, whole)
	}
}

// Guards against responses that are cut or fail because one part is long: an event of 1 MiB, a
// response of 8 MiB.
func TestLongPartsArriveWhole(t *testing.T) {
	for _, size := range []int{1 << 20, 8 << 20} {
		data := []byte(strings.Repeat("0123456789abcdef", size/16))
		client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
			r.Server = func() (string, int64) { return "s", 7 }
			w.WriteHeader(http.StatusOK)
			for range 3 {
				if _, err := w.Write(data); err != nil {
					return r.Sends + 1, true, err
				}
			}
			return r.Sends + 1, true, nil
		})
		parts := 0
		res := client.Do(t.Context(), address, newRequest(), func(p Part) error {
			parts++
			if !bytes.Equal(p.Data, data) {
				t.Errorf("%d bytes: part %d differs", size, parts)
			}
			return nil
		})
		if res.Err != nil || parts != 3 {
			t.Errorf("%d bytes: %d parts, %v", size, parts, res.Err)
		}
	}
}

// Guards against a part that is longer than a message may be and ends a response as whole: the sender
// is told that it broke off.
func TestAPartLongerThanAMessageIsNotWhole(t *testing.T) {
	client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		r.Server = func() (string, int64) { return "s", 7 }
		w.WriteHeader(http.StatusOK)
		if _, err := io.WriteString(w, "first"); err != nil {
			return r.Sends + 1, true, err
		}
		_, err := w.Write(make([]byte, 40<<20))
		return r.Sends + 1, true, err
	})
	var parts []string
	res := client.Do(t.Context(), address, newRequest(), func(p Part) error { parts = append(parts, string(p.Data[:5])); return nil })
	if res.Err == nil || !res.MayHaveRun || len(parts) != 1 {
		t.Errorf("%d parts, %+v, want the first part and an error", len(parts), res)
	}
}
