package forward

import (
	"net/http"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/placement"
)

// RequestInfo holds what a Protocol read from the headers of a client's request.
type RequestInfo struct {
	// ID identifies this attempt by the client.
	ID string
	// APIKey is the client's API key; empty if the request has none.
	APIKey string
	// Timeout is how long the client waits for the response; 0 if not stated.
	Timeout time.Duration
	// Prompt lists the parts of the prompt in order. All but the last are shared
	// with other requests.
	Prompt []PromptPart
	// LastEventID is the id of the last stream event that the client received. It is
	// valid only if HasLastEventID is set.
	LastEventID    string
	HasLastEventID bool
	// Resumes is the id of the request that brought the first event of the stream that this
	// request resumes; empty if the client names none.
	Resumes string
}

// PromptPart is one part of a prompt, with its length in tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// BackendHeaders holds the values that the router sends to a backend server in
// addition to the client's own headers.
type BackendHeaders struct {
	// Instance is the id of the only backend server incarnation that may run the
	// request.
	Instance string
	// Timeout is how long the backend server may work on the request, in whole milliseconds.
	Timeout time.Duration
	// Workspace is the workspace that owns the client's API key, or empty.
	Workspace string
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the stream event after which the server is to go on. It is
	// valid only if HasLastEventID is set.
	LastEventID    string
	HasLastEventID bool
	// CacheSource is the address of a backend server from which the prompt's cache
	// may be fetched, or empty.
	CacheSource string
}

// ResponseInfo holds what a Protocol read from the headers of a backend server's
// response.
type ResponseInfo struct {
	// ID is the id of the request that the response names; empty if none.
	ID string
	// Signed is set if the response carries the backend server's signature.
	Signed bool
	// NotExecuted is set if the backend server states that it did not run the
	// request.
	NotExecuted bool
	// OtherInstance is set if another incarnation responded. It did not run the
	// request.
	OtherInstance bool
	// Load is the load that the backend server reported, or nil.
	Load *placement.Load
	// Notice is what the backend server says of itself.
	Notice placement.Notice
	// InvalidRetryAfter is the text of a Retry-After that names no usable time, or empty.
	InvalidRetryAfter string
	// InvalidRefusals is the text of a limit of refusals that names no usable rate, or empty.
	InvalidRefusals string
	// InvalidLimit is the text of a limit that names no usable rate, or empty.
	InvalidLimit string
}

// Protocol translates between HTTP headers and the values that this package uses.
type Protocol interface {
	// ParseRequest reads the headers of a client's request. Its errors have an
	// errkind.Kind.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// IDHeader returns the name of the header that carries the request id, in
	// requests and in responses.
	IDHeader() string
	// SetBackendHeaders replaces those headers in h that only the router may set. h
	// holds the client's end-to-end headers.
	SetBackendHeaders(h http.Header, o BackendHeaders)
	// ParseResponse reads the headers of a backend server's response.
	ParseResponse(resp *http.Response) ResponseInfo
}
