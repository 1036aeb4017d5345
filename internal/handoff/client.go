package handoff

import (
	"context"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

// Client hands requests off to other routers. It is safe for concurrent use.
type Client struct {
	// Router is the name of this router.
	Router string
	Dialer *rpc.Dialer
}

// Part is a whole response body or one whole stream event.
type Part struct {
	// Status and Header are those of the response; Header is nil after the first part.
	Status int
	Header http.Header
	Data   []byte
	// Server and Born identify the incarnation of the backend server that responded. They are
	// set together with Header.
	Server string
	Born   int64
	// Confirming is set in a part of its own once the response has ended in time and the other router confirms the end,
	// which may last until shortly after the deadline. A part without anything says that it has not ended after all.
	Confirming bool
}

// IsEmpty reports whether the part holds nothing.
func (p Part) IsEmpty() bool { return p.Header == nil && len(p.Data) == 0 && !p.Confirming }

// Result is how an exchange with another router ended.
type Result struct {
	// Err is nil if the response is complete. Its kind is that of the other router's error,
	// unreachable if nothing was sent, since the other router could not be reached or the request
	// cannot be handed off, or backend-lost if the connection to it broke.
	Err error
	// Sends is how many backend servers the request was sent to, those before included.
	// After a lost connection it is not known, and is that of the request.
	Sends int
	// MayHaveRun is set unless it is known that no backend server ran the request.
	MayHaveRun bool
	// EndedAt is when the other router told that the response is complete; zero if it did not.
	EndedAt time.Time
	// PeerFailed is set if the router itself, and not a backend server, is the cause.
	PeerFailed bool
	// TimedOut is set if no connection to the router could be opened in time.
	TimedOut bool
}

// endTimeout limits waiting for the end of a call whose response is complete.
const endTimeout = 50 * time.Millisecond

// Do hands a request off to the router at address and calls receive for each part of the
// response. An error of receive ends the exchange and is returned.
func (c *Client) Do(ctx context.Context, address string, req *handoffpb.ExchangeRequest, receive func(Part) error) Result {
	req.Router = c.Router
	if !isText(req) {
		return Result{Err: errkind.New(errkind.Unreachable, "the request cannot be handed off: its target or headers are not UTF-8"), Sends: int(req.Sends)}
	}
	if n := proto.Size(req); n > rpc.MaxMessageBytes {
		return Result{Err: errkind.New(errkind.Unreachable, "the request cannot be handed off: its message of %d bytes exceeds the limit of %d bytes", n, rpc.MaxMessageBytes), Sends: int(req.Sends)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Tells the other router that the response is no longer needed.
	conn := c.Dialer.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	stream, err := handoffpb.NewDRPCHandoffClient(conn).Exchange(ctx, req)
	if errkind.Is(err, errkind.Unreachable) {
		var timeout net.Error
		return Result{Err: err, Sends: int(req.Sends), PeerFailed: true, TimedOut: errors.As(err, &timeout) && timeout.Timeout()}
	}
	if err != nil {
		return lost(ctx, err, address, req)
	}
	defer func() { _ = stream.Close() }()
	for {
		resp, err := stream.Recv()
		switch {
		case err != nil:
			return lost(ctx, err, address, req)
		case resp.Failure != nil:
			return failureResult(resp.Failure, address)
		case resp.Complete:
			endedAt := time.Now()
			// The end of the call lets the connection be used again.
			timer := time.AfterFunc(endTimeout, cancel)
			defer timer.Stop()
			_, _ = stream.Recv() // It has no more messages; an error only costs the connection.
			return Result{Sends: int(req.Sends) + 1, MayHaveRun: true, EndedAt: endedAt}
		}
		part := Part{Status: int(resp.Status), Data: resp.Data, Confirming: resp.Confirming}
		if resp.Status != 0 {
			part.Header, part.Server, part.Born = decodeHeaders(resp.Headers), resp.Server, resp.Born
		}
		if err := receive(part); err != nil {
			return Result{Err: err, Sends: int(req.Sends) + 1, MayHaveRun: true}
		}
	}
}

// isText reports whether the texts of a request are UTF-8, as those of messages must be.
func isText(req *handoffpb.ExchangeRequest) bool {
	for _, h := range req.Headers {
		if !utf8.ValidString(h.Value) {
			return false
		}
	}
	return utf8.ValidString(req.Target) && utf8.ValidString(req.Host) && utf8.ValidString(req.LastEventId)
}

func lost(ctx context.Context, err error, address string, req *handoffpb.ExchangeRequest) Result {
	return Result{
		Err:   errkind.Wrap(err, errkind.BackendLost, "the connection to router %s broke before the response was complete", address),
		Sends: int(req.Sends), MayHaveRun: true, PeerFailed: ctx.Err() == nil,
	}
}

func failureResult(f *handoffpb.Failure, address string) Result {
	kind := errkind.ByCode(f.Code)
	err := errkind.New(kind, "router %s: %s", address, f.Message).WithRetryAfter(time.Duration(f.RetryAfterMs) * time.Millisecond)
	return Result{Err: err, Sends: int(f.Sends), MayHaveRun: f.MayHaveRun, PeerFailed: isOwnFailure(kind)}
}

// isOwnFailure reports whether a router fails with this kind because of its own state.
func isOwnFailure(k errkind.Kind) bool {
	switch k {
	case errkind.NotReady, errkind.ShuttingDown, errkind.QueueFull, errkind.Internal:
		return true
	}
	return false
}

func encodeHeaders(h http.Header) []*handoffpb.Header {
	out := make([]*handoffpb.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &handoffpb.Header{Name: name, Value: v})
		}
	}
	return out
}

func decodeHeaders(headers []*handoffpb.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[h.Name] = append(out[h.Name], h.Value)
	}
	return out
}

// EncodeRequest returns the message for a client's request. headers are its end-to-end headers.
func EncodeRequest(r *http.Request, headers http.Header, body []byte) *handoffpb.ExchangeRequest {
	return &handoffpb.ExchangeRequest{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Headers: encodeHeaders(headers), Body: body,
		HasBody: r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
	}
}
