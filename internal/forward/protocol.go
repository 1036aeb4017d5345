package forward

import (
	"net/http"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/placement"
)

// Call is a client's request as the adapter understood its headers.
type Call struct {
	// ID names this attempt of the client.
	ID string
	// Key is the client's key; empty if it showed none.
	Key string
	// Patience is how long the client waits; 0 if it did not say.
	Patience time.Duration
	// Prompt lists the parts of the prompt in order; all but the last are shared.
	Prompt []PromptPart
	// LastEvent is the last event of a stream that the client has, if HasLastEvent.
	LastEvent    string
	HasLastEvent bool
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Outgoing is what the router tells a server beside the client's own headers.
type Outgoing struct {
	// Instance is the only incarnation that may run the request.
	Instance string
	// Patience is how long the server may work on the request.
	Patience time.Duration
	// Workspace is the holder of the client's key, or empty.
	Workspace string
	// Priority is the request's rank, 0 being the most urgent.
	Priority int
	// LastEvent is the last event that the client has, if HasLastEvent.
	LastEvent    string
	HasLastEvent bool
	// Source is the address of a server from which the prompt's cache may be
	// fetched, or empty.
	Source string
}

// Answer is what the headers of a server's answer say.
type Answer struct {
	// ID is the request that the answer names; empty if none.
	ID string
	// Signed is set if the answer bears the server's signature.
	Signed bool
	// NotExecuted is set if the server states that it did not run the request.
	NotExecuted bool
	// OtherInstance is set if another incarnation answered, which ran nothing.
	OtherInstance bool
	// Load is the server's load, or nil.
	Load *placement.Load
}

// Protocol translates between headers and what the package decides on.
type Protocol interface {
	// Call reads a client's request. The error has a kind.
	Call(r *http.Request) (Call, error)
	// IDHeader is the header that names a request in both directions.
	IDHeader() string
	// Outgoing replaces in h, the client's end-to-end headers, what the router
	// decides itself.
	Outgoing(h http.Header, o Outgoing)
	// Answer reads a server's answer.
	Answer(resp *http.Response) Answer
}
