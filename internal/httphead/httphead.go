// Package httphead tells the headers of one connection from those that go from
// end to end.
package httphead

import (
	"net/http"
	"net/textproto"
	"strings"
)

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

// IsHopByHop reports whether the header concerns one connection only; the name
// is in canonical form.
func IsHopByHop(name string) bool { return hopByHop[name] }

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

// CopyEndToEnd copies the headers that go from end to end, without those whose
// name begins with ownPrefix; an empty prefix leaves none out.
func CopyEndToEnd(dst, src http.Header, ownPrefix string) {
	drop := named(src)
	for k, v := range src {
		if hopByHop[k] || drop[k] || ownPrefix != "" && strings.HasPrefix(k, ownPrefix) {
			continue
		}
		dst[k] = v
	}
}

// Size returns the bytes of a request's line and headers as HTTP/1.1 writes them.
func Size(r *http.Request) int {
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
