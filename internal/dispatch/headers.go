package dispatch

import (
	"net/http"

	"github.com/kumquathollow/kumquathollow/internal/httphead"
)

// Headers between callers, routers and backend servers.
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

const ownPrefix = "X-Kq-"

// requestHeader returns the headers to send to a server for a caller's headers.
// The caller's key to the fleet stays here.
func requestHeader(src http.Header, dropAuthorization bool) http.Header {
	out := make(http.Header, len(src)+4)
	httphead.CopyEndToEnd(out, src, ownPrefix)
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
