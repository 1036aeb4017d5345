package dispatch

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/httpheader"
)

// FuzzRequestMapping feeds raw requests through the parser of net/http and
// through mapRequest, and checks the invariants of every request that is mapped.
func FuzzRequestMapping(f *testing.F) {
	for _, raw := range []string{
		"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\nContent-Length: 30\r\n\r\n{\"chat\":\"c\",\"model\":\"large\"}  ",
		"GET /v1/entries/7?a=b HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\n\r\n",
		"POST /v1/entries/confirm HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: locked\r\nAuthorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"GET /v1/entries/%2e%2e/x HTTP/1.1\r\nHost: h\r\nX-Workspace: club\r\nConnection: X-Workspace\r\n\r\n",
		"GET //v1/entries/ HTTP/1.1\r\nHost: h\r\nX-Kq-Fence: 1\r\n\r\n",
	} {
		f.Add([]byte(raw))
	}
	set := testSet()
	table := newRouteTable(set)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(raw))))
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
		if err != nil || checkTarget(r) != nil {
			return
		}
		route := table.find(r.Method, r.URL.Path)
		if route == nil {
			return
		}
		q, err := mapRequest(set, route, r, body, newBaseID("x"))
		if err != nil {
			if errkind.Lookup(errkind.Of(err)).Outcome != errkind.NotRun || errkind.Of(err) == errkind.Internal {
				t.Fatalf("mapRequest failed with kind %s, which does not state that the request has not run: %v", errkind.Of(err), err)
			}
			return
		}
		checkMapped(t, q, r)
	})
}

func checkMapped(t *testing.T, q *request, r *http.Request) {
	if q.set.Workspaces[q.workspace] == nil {
		t.Fatalf("mapped to workspace %q", q.workspace)
	}
	if !q.route.repeatable && q.idempotencyKey == "" {
		t.Fatal("a request that may not be repeated was mapped without an idempotency key")
	}
	for _, segment := range strings.Split(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			t.Fatalf("mapped path %q", r.URL.Path)
		}
	}
	for name := range backendRequestHeader(r.Header, q.apiKeyRequired) {
		if httpheader.IsHopByHop(name) || strings.HasPrefix(name, internalHeaderPrefix) || (q.apiKeyRequired && name == "Authorization") {
			t.Fatalf("header %s would be forwarded", name)
		}
	}
}
