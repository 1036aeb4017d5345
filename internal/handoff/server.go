package handoff

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/handoffpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/streamorigin"
)

// maxInFlight limits the requests of other routers that this one handles at a time, so that
// they leave room for its own clients.
const maxInFlight = 256

// Request is a request that another router has handed off.
type Request struct {
	*http.Request
	// Router is the name of the other router.
	Router string
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Revision is the other router's revision of the configuration.
	Revision uint64
	// Sends and Excluded are the number and the ids of the backend servers that were tried
	// before.
	Sends    int
	Excluded []string
	// LastEventID is the id of the last stream event that the client has; empty if there is
	// none. Origin is what began the stream.
	LastEventID string
	Origin      streamorigin.Origin
	// Server returns the id and the incarnation of the backend server whose response is being
	// written. The Handler sets it.
	Server func() (id string, born int64)
	// ReportConfirming tells the other router that the response has ended and its end is being confirmed, or that it has
	// not ended after all.
	ReportConfirming func(confirming bool) error
}

// Handler handles a request and writes the response. If it returns an error, the response is
// not complete. sends is how many backend servers the request was sent to, and mayHaveRun is
// set unless none of them ran it.
type Handler func(w http.ResponseWriter, r *Request) (sends int, mayHaveRun bool, err error)

// Server implements the Handoff service.
type Server struct {
	Handle Handler
	// Accepts reports whether the router takes requests of others.
	Accepts func() bool
	Log     hclog.Logger

	inFlight atomic.Int64
}

var _ handoffpb.DRPCHandoffServer = (*Server)(nil)

// InFlight returns the number of requests of other routers that are in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Exchange implements the Handoff service.
func (s *Server) Exchange(req *handoffpb.ExchangeRequest, stream handoffpb.DRPCHandoff_ExchangeStream) error {
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > maxInFlight {
		return refuse(stream, req, errkind.New(errkind.QueueFull, "the router already handles %d requests of other routers", maxInFlight))
	}
	if !s.Accepts() {
		return refuse(stream, req, errkind.New(errkind.NotReady, "the router takes no requests of other routers: it is not ready, or reaches no server"))
	}
	r, err := decodeRequest(stream.Context(), req)
	if err != nil {
		return refuse(stream, req, err)
	}
	r.ReportConfirming = func(confirming bool) error {
		return stream.Send(&handoffpb.ExchangeResponse{Confirming: confirming})
	}
	w := &responseWriter{stream: stream, request: r, header: http.Header{}}
	sends, mayHaveRun, err := s.handle(w, r)
	if err != nil {
		return sendFailure(stream, err, sends, mayHaveRun)
	}
	if err := w.sendHeader(nil); err != nil {
		return err
	}
	return stream.Send(&handoffpb.ExchangeResponse{Complete: true})
}

// handle calls Handle. Like net/http, it confines a panic to its request.
func (s *Server) handle(w http.ResponseWriter, r *Request) (sends int, mayHaveRun bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			sends, mayHaveRun, err = r.Sends, true, errkind.New(errkind.Internal, "panic while handling the request: %v\n%s", p, debug.Stack())
			s.Log.Error("request of another router failed", "router", r.Router, "error", err)
		}
	}()
	return s.Handle(w, r)
}

// refuse fails a request before it was sent to any backend server here.
func refuse(stream handoffpb.DRPCHandoff_ExchangeStream, req *handoffpb.ExchangeRequest, err error) error {
	return sendFailure(stream, err, int(req.Sends), false)
}

func sendFailure(stream handoffpb.DRPCHandoff_ExchangeStream, err error, sends int, mayHaveRun bool) error {
	f := &handoffpb.Failure{Code: errkind.Lookup(errkind.Of(err)).Code, Message: strings.ToValidUTF8(err.Error(), "\ufffd"), Sends: uint32(sends), MayHaveRun: mayHaveRun}
	var e *errkind.Error
	if errors.As(err, &e) {
		f.RetryAfterMs = uint64(e.RetryAfter.Milliseconds())
	}
	return stream.Send(&handoffpb.ExchangeResponse{Failure: f})
}

func decodeRequest(ctx context.Context, req *handoffpb.ExchangeRequest) (*Request, error) {
	u, err := url.ParseRequestURI(req.Target)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "the request target %q", req.Target)
	}
	header := decodeHeaders(req.Headers)
	delete(header, "Content-Length")
	if req.HasBody {
		header.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	r := &http.Request{
		Method: req.Method, URL: u, RequestURI: req.Target, Host: req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: io.NopCloser(bytes.NewReader(req.Body)), ContentLength: int64(len(req.Body)),
	}
	return &Request{
		Request: r.WithContext(ctx), Router: req.Router, Timeout: time.Duration(req.TimeoutMs) * time.Millisecond,
		Revision: req.Revision, Sends: int(req.Sends), Excluded: req.Excluded,
		LastEventID: req.LastEventId, Origin: streamorigin.Origin{Service: req.OriginService, Version: req.OriginVersion},
	}, nil
}

// responseWriter sends each write as a part of the response.
type responseWriter struct {
	stream     handoffpb.DRPCHandoff_ExchangeStream
	request    *Request
	header     http.Header
	status     int
	headerSent bool
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. The header is sent with the first write.
func (w *responseWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	var err error
	if w.headerSent {
		err = w.stream.Send(&handoffpb.ExchangeResponse{Data: p})
	} else {
		err = w.sendHeader(p)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// sendHeader sends the status and the header with data, unless they were sent before.
func (w *responseWriter) sendHeader(data []byte) error {
	if w.headerSent {
		return nil
	}
	w.headerSent = true
	part := &handoffpb.ExchangeResponse{Status: uint32(w.status), Headers: encodeHeaders(w.header), Data: data}
	for _, h := range part.Headers {
		h.Value = strings.ToValidUTF8(h.Value, "\ufffd") // Other bytes would fail the whole response.
	}
	part.Server, part.Born = w.request.Server()
	return w.stream.Send(part)
}

// FlushError lets http.ResponseController flush: each write is sent at once.
func (w *responseWriter) FlushError() error { return nil }
