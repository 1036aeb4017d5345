package dispatch

import (
	"net/http"
	"net/textproto"
	"strings"
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

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// named returns the headers that the Connection header names, or nil.
func named(h http.Header) map[string]bool {
	var out map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name == "" {
				continue
			}
			if out == nil {
				out = map[string]bool{}
			}
			out[textproto.CanonicalMIMEHeaderKey(name)] = true
		}
	}
	return out
}

// copyEndToEnd copies headers that are not of one connection, nor the fleet's own.
func copyEndToEnd(dst, src http.Header) {
	drop := named(src)
	for k, v := range src {
		if hopByHop[k] || drop[k] || strings.HasPrefix(k, ownPrefix) {
			continue
		}
		dst[k] = v
	}
}

// requestHeader returns the headers to send to a server for a caller's headers.
// The caller's key to the fleet stays here.
func requestHeader(src http.Header, dropAuthorization bool) http.Header {
	out := make(http.Header, len(src)+4)
	copyEndToEnd(out, src)
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
