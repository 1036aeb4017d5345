package forward

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// bufferedResponse is the complete response of a backend server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// fail ends the request without a successful attempt. It relays a backend server's
// own error response if there is one. Otherwise it returns the error whose kind is
// true of all attempts together.
func (x *exchange) fail(err error) error {
	if x.headerSent {
		return err
	}
	if x.r.Context().Err() != nil {
		return errkind.New(errkind.ClientGone, "the client closed its connection before it received a response")
	}
	if x.errorResponse != nil {
		return x.writeResponse(x.errorResponse)
	}
	deadlineExceeded := errors.Is(x.ctx.Err(), context.DeadlineExceeded)
	notRun := errkind.Lookup(errkind.Of(err)).Outcome == errkind.NotRun
	switch {
	case x.anyMayHaveRun && deadlineExceeded:
		return errkind.Wrap(err, errkind.BackendTimeout, "the deadline passed after an attempt may have run")
	case x.anyMayHaveRun && notRun:
		return errkind.Wrap(err, errkind.BackendLost, "an earlier attempt may have run and no later one succeeded")
	case !x.anyMayHaveRun && deadlineExceeded:
		return errkind.Wrap(err, errkind.DeadlineUnmeetable, "the deadline passed before the request ran")
	}
	return err
}

// writeResponse sends a complete response to the client.
func (x *exchange) writeResponse(resp *bufferedResponse) error {
	httpheader.CopyEndToEnd(x.w.Header(), resp.header, "")
	x.w.Header().Set("Content-Length", itoa(len(resp.body)))
	x.headerSent, x.status = true, resp.status
	x.w.WriteHeader(resp.status)
	if _, err := x.w.Write(resp.body); err != nil {
		return errkind.Wrap(err, errkind.ClientGone, "write the response to the client")
	}
	return nil
}
