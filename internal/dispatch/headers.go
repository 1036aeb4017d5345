package dispatch

import (
	"net/http"

	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// Headers between clients, routers and backend servers.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttempt    = "X-Kq-Attempt"
	HeaderDeadline   = "X-Kq-Deadline-Ms"
	HeaderFence      = "X-Kq-Fence"
	HeaderStaleFence = "X-Kq-Stale-Fence"
	HeaderStream     = "X-Kq-Stream"
	HeaderRan        = "X-Kq-Ran"
	HeaderOutcome    = "X-Kq-Outcome"
	HeaderErrorKind  = "X-Kq-Error-Kind"
	HeaderReplayed   = "X-Kq-Replayed"
	HeaderServer     = "X-Kq-Server"
	HeaderPriority   = "X-Kq-Priority"
	HeaderKey        = "Idempotency-Key"
	HeaderWorkspace  = "X-Workspace"
)

const internalHeaderPrefix = "X-Kq-"

// backendRequestHeader returns the headers to send to a server, given the
// client's headers. An API key that authenticates the client to the router is not
// forwarded.
func backendRequestHeader(src http.Header, dropAuthorization bool) http.Header {
	out := make(http.Header, len(src)+4)
	httpheader.CopyEndToEnd(out, src, internalHeaderPrefix)
	delete(out, HeaderRequestID)
	delete(out, "Content-Length")
	if dropAuthorization {
		delete(out, "Authorization")
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}
