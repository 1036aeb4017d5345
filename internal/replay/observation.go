package replay

import (
	"bytes"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

// Verdict is the result of comparing a response body with the expected one.
type Verdict string

// The verdicts.
const (
	// VerdictNone: no part of a response was received.
	VerdictNone Verdict = "none"
	// VerdictComplete: all bytes are as expected and the transfer ended without an error.
	VerdictComplete Verdict = "whole"
	// VerdictTruncated: the bytes are a prefix of the expected ones and the caller saw an error.
	VerdictTruncated Verdict = "broken"
	// VerdictWrong: other bytes than expected, or a truncated response without an error.
	VerdictWrong Verdict = "wrong"
)

// Compare returns the verdict on the body got. clean is true if the transfer ended
// without an error.
func Compare(want, got []byte, clean bool) Verdict {
	switch {
	case bytes.Equal(want, got) && clean:
		return VerdictComplete
	case clean || !bytes.HasPrefix(want, got):
		return VerdictWrong
	case len(got) == 0:
		return VerdictNone
	default:
		return VerdictTruncated
	}
}

// Exchange is one HTTP request and its response, as seen by the caller.
type Exchange struct {
	// Record is the index of the trace record.
	Record int    `json:"record"`
	Router string `json:"router"`
	// RequestID is the request id that the fleet assigned.
	RequestID string    `json:"requestId,omitempty"`
	Sent      time.Time `json:"sent"`
	FirstByte time.Time `json:"firstByte,omitzero"`
	Ended     time.Time `json:"ended"`
	// Status is the HTTP status, 0 if no response was received.
	Status  int             `json:"status"`
	Outcome errkind.Outcome `json:"outcome,omitempty"`
	Kind    errkind.Kind    `json:"kind,omitempty"`
	// RetryAfter is the value of the response header Retry-After.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Verdict    Verdict       `json:"verdict"`
	// Offset is the byte offset at which the stream was resumed.
	Offset int `json:"offset,omitempty"`
	// Resumed is true if the request was to resume a stream.
	Resumed bool `json:"resumed,omitempty"`
	// NotSent is true if no connection could be established.
	NotSent bool   `json:"notSent,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Broken reports whether the exchange failed after a connection was established.
func (e Exchange) Broken() bool { return !e.NotSent && e.Error != "" }

// Final is the state of a record for its caller, after all exchanges.
type Final string

// The final states of a record.
const (
	FinalCompleted     Final = "completed"
	FinalAnswerNotKept Final = "completed-answer-not-kept"
	FinalNotRun        Final = "not-run"
	FinalFailed        Final = "failed"
	FinalUnknown       Final = "unknown"
)

// Result is the final result of one record.
type Result struct {
	Record int   `json:"record"`
	Final  Final `json:"final"`
	// Kind is the error kind of the last response, if it was an error.
	Kind      errkind.Kind  `json:"kind,omitempty"`
	FirstByte time.Duration `json:"firstByte"`
	Total     time.Duration `json:"total"`
	Exchanges int           `json:"exchanges"`
	Resumes   int           `json:"resumes,omitempty"`
}

// Sample is the state of a router at one time.
type Sample struct {
	At       time.Time       `json:"at"`
	Router   string          `json:"router"`
	Ready    bool            `json:"ready"`
	Revision config.Revision `json:"revision"`
	// ControlBytes is the control traffic in both directions since the router started.
	ControlBytes int64 `json:"controlBytes"`
	// Reached is false if the router's metrics could not be read.
	Reached bool `json:"reached"`
}

// Action is the kind of an operator action or an injected fault.
type Action string

// The actions that the checks use.
const (
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
	ActionKill    Action = "kill"
	ActionStart   Action = "start"
	ActionPause   Action = "pause"
	ActionResume  Action = "resume"
	ActionStop    Action = "stop"
	ActionStopped Action = "stopped"
)

// Event is an action on the fleet during the replay.
type Event struct {
	// AtMs is the Unix time in milliseconds.
	AtMs   int64  `json:"at"`
	Action Action `json:"action"`
	// Target is a data centre for drain and undrain, and otherwise a process.
	Target string `json:"target"`
}

// At returns the time of the event.
func (e Event) At() time.Time { return time.UnixMilli(e.AtMs) }

// Bounds are the limits that the checks apply.
type Bounds struct {
	// OutWithin is the time after which an evacuated data centre or a leaving server
	// must get no new work.
	OutWithin time.Duration
	// InForceWithin is the time after which a revision in force at one router must be
	// in force at all routers.
	InForceWithin time.Duration
	// ColdNotice is how long a server that becomes cold without warning may still get
	// more work than its cold capacity.
	ColdNotice time.Duration
	// A server's load must not exceed SkewFactor times the mean of its pool. The bound
	// applies once the mean is at least SkewFloor.
	SkewFactor, SkewFloor float64
	// ColdRamp is the time that a server takes to reach full capacity after it became
	// ready.
	ColdRamp time.Duration
	// SkewWindow is the length of the windows over which loads are averaged.
	SkewWindow time.Duration
}

// DefaultBounds returns the bounds that the fleet promises.
func DefaultBounds() Bounds {
	return Bounds{
		OutWithin:     5 * time.Second,
		InForceWithin: 6 * time.Second,
		ColdNotice:    2 * time.Second,
		SkewFactor:    1.25,
		SkewFloor:     2,
		ColdRamp:      30 * time.Second,
		SkewWindow:    2 * time.Second,
	}
}

// Observation is the input of the checks.
type Observation struct {
	Records   []trace.Record
	Exchanges []Exchange
	Results   []Result
	// Ledger holds the entries of each stand-in process in the order of writing.
	Ledger  []standin.Entry
	Samples []Sample
	Events  []Event
	Bounds  Bounds
}
