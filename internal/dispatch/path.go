package dispatch

import (
	"net/http"
	"strings"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const maxPathBytes = 4096

// checkTarget refuses request targets that a router and a server could interpret
// differently: absolute and asterisk forms, dot segments, empty segments,
// backslashes, and encoded separators.
func checkTarget(r *http.Request) error {
	if r.Method == http.MethodConnect || r.URL.Host != "" || r.URL.Scheme != "" {
		return errkind.New(errkind.BadRequest, "the request target must be a path")
	}
	escaped := r.URL.EscapedPath()
	if len(escaped) > maxPathBytes {
		return errkind.New(errkind.BadRequest, "the path exceeds the limit of %d bytes", maxPathBytes)
	}
	if !strings.HasPrefix(escaped, "/") {
		return errkind.New(errkind.BadRequest, "the path must begin with a slash")
	}
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") {
		return errkind.New(errkind.BadRequest, "the path contains an encoded separator")
	}
	return checkSegments(r.URL.Path)
}

func checkSegments(path string) error {
	for i := range len(path) {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return errkind.New(errkind.BadRequest, "the path contains byte %#x", path[i])
		}
	}
	rest := path[1:]
	for rest != "" {
		segment, tail, found := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && found) {
			return errkind.New(errkind.BadRequest, "the path contains an empty or dot segment")
		}
		rest = tail
	}
	return nil
}
