// Package httpheader separates hop-by-hop headers from end-to-end headers (RFC
// 9110, section 7.6.1) and computes the size of a request's header.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

var hopByHopHeaders = map[string]bool{
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

// IsHopByHop reports whether the header applies to a single connection. The
// name must be in canonical form.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }

// connectionHeaders returns the hop-by-hop headers that the Connection header
// lists, in canonical form, or nil.
func connectionHeaders(h http.Header) map[string]bool {
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

// CopyEndToEnd copies the end-to-end headers from src to dst, except those whose
// name begins with ownPrefix. An empty prefix excludes none.
func CopyEndToEnd(dst, src http.Header, ownPrefix string) {
	drop := connectionHeaders(src)
	for k, v := range src {
		if hopByHopHeaders[k] || drop[k] || ownPrefix != "" && strings.HasPrefix(k, ownPrefix) {
			continue
		}
		dst[k] = v
	}
}

// RequestHeaderSize returns the size in bytes of a request line and its headers in HTTP/1.1
// encoding.
func RequestHeaderSize(r *http.Request) int {
	n := len(r.Method) + 1 + len(r.RequestURI) + 1 + len(r.Proto) + 2
	if r.Host != "" {
		n += len("Host: ") + len(r.Host) + 2
	}
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + 2 + len(v) + 2
		}
	}
	return n + 2
}

// EventStream is the media type of a stream of server-sent events.
const EventStream = "text/event-stream"

// IsEventStream reports whether a response with the header is a stream of server-sent events.
func IsEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), EventStream)
}
