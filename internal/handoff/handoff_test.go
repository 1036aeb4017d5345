package handoff

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// startServer serves handoffs on loopback until the test or stop ends them.
func startServer(t *testing.T, handle Handler) (client *Client, address string, stop func()) {
	t.Helper()
	l, err := rpc.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Handle: handle, Accepts: func() bool { return true }, Log: hclog.NewNullLogger()}
	mux := drpcmux.New()
	if err := handoffpb.DRPCRegisterHandoff(mux, s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = rpc.Serve(ctx, l, mux) })
	stop = sync.OnceFunc(func() {
		cancel()
		_ = l.Close()
		served.Wait()
	})
	dialer := rpc.NewFleetDialer()
	t.Cleanup(func() {
		stop()
		_ = dialer.Close()
	})
	return &Client{Router: "r", Dialer: dialer}, l.Addr().String(), stop
}

func newRequest() *handoffpb.ExchangeRequest {
	return &handoffpb.ExchangeRequest{Method: http.MethodPost, Target: "/x?y=1", Host: "h", Body: []byte("q"), HasBody: true, TimeoutMs: 5000, Sends: 1}
}

func ignoreParts(Part) error { return nil }

func ok(w http.ResponseWriter, r *Request) (int, bool, error) {
	r.Server = func() (string, int64) { return "s", 7 }
	w.WriteHeader(http.StatusOK)
	_, err := w.Write([]byte("body"))
	return r.Sends + 1, true, err
}

// What a handoff that fails says of the request decides whether it is sent again: only if the
// other router could not be reached, or says so, has it certainly not run.
func TestAFailedHandoffTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	var stop func()
	for name, tc := range map[string]struct {
		handle                 Handler
		kind                   errkind.Kind
		mayHaveRun, peerFailed bool
		sends                  int
	}{
		"no such router": {nil, errkind.Unreachable, false, true, 1},
		"refused": {func(_ http.ResponseWriter, r *Request) (int, bool, error) {
			return r.Sends, false, errkind.New(errkind.NoBackend, "no server")
		}, errkind.NoBackend, false, false, 1},
		"not ready": {func(_ http.ResponseWriter, r *Request) (int, bool, error) {
			return r.Sends, false, errkind.New(errkind.NotReady, "no configuration")
		}, errkind.NotReady, false, true, 1},
		"lost at the server": {func(_ http.ResponseWriter, r *Request) (int, bool, error) {
			return r.Sends + 1, true, errkind.New(errkind.BackendLost, "broke")
		}, errkind.BackendLost, true, false, 2},
		"panic": {func(http.ResponseWriter, *Request) (int, bool, error) { panic("fault") }, errkind.Internal, true, true, 1},
		"router ends": {func(_ http.ResponseWriter, r *Request) (int, bool, error) {
			go stop()
			<-r.Context().Done()
			return r.Sends + 1, true, r.Context().Err()
		}, errkind.BackendLost, true, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client, address, end := startServer(t, tc.handle)
			stop = end
			if tc.handle == nil {
				address = closed.Addr().String()
			}
			res := client.Do(t.Context(), address, newRequest(), ignoreParts)
			if errkind.Of(res.Err) != tc.kind || res.MayHaveRun != tc.mayHaveRun || res.PeerFailed != tc.peerFailed || res.Sends != tc.sends {
				t.Errorf("result %+v, want kind %s, may have run %v, router failed %v, %d sends", res, tc.kind, tc.mayHaveRun, tc.peerFailed, tc.sends)
			}
		})
	}
}

func TestARequestAndItsResponseArriveWhole(t *testing.T) {
	var handled time.Time
	client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		defer func() { handled = time.Now() }()
		if r.Method != http.MethodPost || r.URL.Path != "/x" || r.URL.RawQuery != "y=1" || r.RequestURI != "/x?y=1" || r.Host != "h" || r.ContentLength != 1 || r.Header.Get("Content-Length") != "1" || r.Timeout != 5*time.Second {
			t.Errorf("the request arrived as %+v", r.Request)
		}
		return ok(w, r)
	})
	var parts []Part
	res := client.Do(t.Context(), address, newRequest(), func(p Part) error { parts = append(parts, p); return nil })
	if res.Err != nil || res.EndedAt.Before(handled) || len(parts) != 1 || parts[0].Status != http.StatusOK || string(parts[0].Data) != "body" || parts[0].Server != "s" || parts[0].Born != 7 {
		t.Errorf("result %+v, parts %+v", res, parts)
	}
}

// The pattern: many routers reach no server and hand all their requests off to the same one.
func TestARouterTakesABoundedNumberOfRequests(t *testing.T) {
	release := make(chan struct{})
	var inFlight atomic.Int32
	client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		inFlight.Add(1)
		<-release
		return ok(w, r)
	})
	var held sync.WaitGroup
	for range maxInFlight {
		held.Go(func() {
			res := client.Do(t.Context(), address, newRequest(), ignoreParts)
			for errkind.Is(res.Err, errkind.Unreachable) { // A busy machine may open the connection too late.
				res = client.Do(t.Context(), address, newRequest(), ignoreParts)
			}
			if res.Err != nil {
				t.Errorf("a request within the limit: %v", res.Err)
			}
		})
	}
	for end := time.Now().Add(20 * time.Second); int(inFlight.Load()) < maxInFlight && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if n := inFlight.Load(); n < maxInFlight {
		close(release)
		held.Wait()
		t.Fatalf("%d requests are held, want %d", n, maxInFlight)
	}
	res := client.Do(t.Context(), address, newRequest(), ignoreParts)
	if !errkind.Is(res.Err, errkind.QueueFull) || res.MayHaveRun || !res.PeerFailed {
		t.Errorf("a request over the limit: %+v, want queue-full, not run", res)
	}
	close(release)
	held.Wait()
}

// Guards against a request that is longer than a message may be: the other router ended the connection,
// looked failed, and the request looked as if it had run.
func TestARequestLongerThanAMessageHasNotRun(t *testing.T) {
	var ran atomic.Int64
	client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		ran.Add(1)
		return ok(w, r)
	})
	req := newRequest()
	req.Router, req.Body = client.Router, make([]byte, rpc.MaxMessageBytes)
	req.Body = req.Body[:2*rpc.MaxMessageBytes-proto.Size(req)] // The message has rpc.MaxMessageBytes.
	if res := client.Do(t.Context(), address, req, ignoreParts); res.Err != nil || proto.Size(req) != rpc.MaxMessageBytes || ran.Load() != 1 {
		t.Errorf("a request of %d bytes, the longest allowed: %+v, %d ran", proto.Size(req), res, ran.Load())
	}
	req.Body = req.Body[:len(req.Body)+1]
	if res := client.Do(t.Context(), address, req, ignoreParts); !errkind.Is(res.Err, errkind.Unreachable) || res.MayHaveRun || res.PeerFailed || res.Sends != 1 {
		t.Errorf("a request of %d bytes: %+v, want unreachable, not run, and no failed router", proto.Size(req), res)
	}
	if res := client.Do(t.Context(), address, newRequest(), ignoreParts); res.Err != nil || ran.Load() != 2 {
		t.Errorf("the next request: %+v, %d ran", res, ran.Load())
	}
}

// Guards against headers that are not UTF-8, which no message can hold: they made a sound router
// look failed, and the request look as if it had run.
func TestHeadersThatAreNotUTF8FailNoRouter(t *testing.T) {
	client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		w.Header().Set("X-Odd", "caf\xe9")
		return ok(w, r)
	})
	var got Part
	res := client.Do(t.Context(), address, newRequest(), func(p Part) error { got = p; return nil })
	if res.Err != nil || string(got.Data) != "body" || got.Header.Get("X-Odd") != "caf\ufffd" {
		t.Errorf("a response with an odd header: %+v, %+v", res, got)
	}
	req := newRequest()
	req.Headers = encodeHeaders(http.Header{"X-Odd": {"caf\xe9"}})
	if res := client.Do(t.Context(), address, req, ignoreParts); !errkind.Is(res.Err, errkind.Unreachable) || res.MayHaveRun || res.PeerFailed || res.Sends != 1 {
		t.Errorf("a request with an odd header: %+v, want unreachable, not run, and no failed router", res)
	}
	if res := client.Do(t.Context(), address, newRequest(), ignoreParts); res.Err != nil {
		t.Errorf("the next request: %+v", res)
	}
}

// Guards against a router that does not hear that the end of a response is confirmed, or that it has not ended after all:
// it would end the call at the deadline, or keep it.
func TestTheOtherRouterTellsThatAnEndIsConfirmed(t *testing.T) {
	client, address, _ := startServer(t, func(w http.ResponseWriter, r *Request) (int, bool, error) {
		for _, confirming := range []bool{true, false, true} {
			if err := r.ReportConfirming(confirming); err != nil {
				return 0, true, err
			}
		}
		return ok(w, r)
	})
	var got []string
	res := client.Do(t.Context(), address, newRequest(), func(p Part) error {
		switch {
		case p.Confirming:
			got = append(got, "confirming")
		case p.IsEmpty():
			got = append(got, "not ended")
		default:
			got = append(got, string(p.Data))
		}
		return nil
	})
	if want := []string{"confirming", "not ended", "confirming", "body"}; res.Err != nil || !slices.Equal(got, want) {
		t.Errorf("%+v, parts %q, want %q", res, got, want)
	}
}

// Guards against a router that is slow to accept and counts as one that has ended, or the reverse.
func TestOnlyAConnectionThatIsNotAcceptedInTimeTimesOut(t *testing.T) {
	for name, tc := range map[string]struct {
		err      error
		timedOut bool
	}{"in time": {os.ErrDeadlineExceeded, true}, "refused": {syscall.ECONNREFUSED, false}} {
		dialer := rpc.NewFleetDialer()
		dialer.Dial = func(context.Context, string) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: tc.err} }
		res := (&Client{Router: "r", Dialer: dialer}).Do(t.Context(), "h:1", newRequest(), func(Part) error { return nil })
		if !res.PeerFailed || res.MayHaveRun || res.TimedOut != tc.timedOut {
			t.Errorf("%s: %+v, want timed out %t", name, res, tc.timedOut)
		}
	}
}
