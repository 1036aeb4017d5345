package replay

import (
	"bytes"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
	"github.com/kumquathollow/kumquathollow/internal/trace"
)

// Verdict compares the body of an answer with the right one.
type Verdict string

// The verdicts.
const (
	// AnswerNone: no part of an answer came.
	AnswerNone Verdict = "none"
	// AnswerWhole: every byte is right and the answer ended as it should.
	AnswerWhole Verdict = "whole"
	// AnswerBroken: the bytes are right as far as they go and the break is visible.
	AnswerBroken Verdict = "broken"
	// AnswerWrong: other bytes, or an answer that looks complete but is not.
	AnswerWrong Verdict = "wrong"
)

// Compare returns the verdict on got; clean is true if the transfer ended without an error.
func Compare(want, got []byte, clean bool) Verdict {
	switch {
	case bytes.Equal(want, got) && clean:
		return AnswerWhole
	case clean || !bytes.HasPrefix(want, got):
		return AnswerWrong
	case len(got) == 0:
		return AnswerNone
	default:
		return AnswerBroken
	}
}

// Exchange is one HTTP exchange as the caller saw it.
type Exchange struct {
	// Record is the index of the trace record.
	Record int    `json:"record"`
	Router string `json:"router"`
	// RequestID is what the fleet called the request.
	RequestID string    `json:"requestId,omitempty"`
	Sent      time.Time `json:"sent"`
	FirstByte time.Time `json:"firstByte,omitzero"`
	Ended     time.Time `json:"ended"`
	// Status is 0 if no answer came.
	Status  int             `json:"status"`
	Outcome errkind.Outcome `json:"outcome,omitempty"`
	Kind    errkind.Kind    `json:"kind,omitempty"`
	// RetryAfter is when to come back, as the answer said.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Verdict    Verdict       `json:"verdict"`
	// Offset is where a resumed stream started.
	Offset int `json:"offset,omitempty"`
	// Resumed is true for an exchange that asked for the rest of a stream.
	Resumed bool `json:"resumed,omitempty"`
	// NotSent is true if no connection could be made.
	NotSent bool   `json:"notSent,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Broken reports whether the exchange was cut off after the request went out.
func (e Exchange) Broken() bool { return !e.NotSent && e.Error != "" }

// Final is how a record ended for its caller, after all exchanges.
type Final string

// The final states of a record.
const (
	FinalWhole   Final = "completed"
	FinalNotKept Final = "completed-answer-not-kept"
	FinalNotRun  Final = "not-run"
	FinalFailed  Final = "failed"
	FinalUnknown Final = "unknown"
)

// Result is the end of one record.
type Result struct {
	Record int   `json:"record"`
	Final  Final `json:"final"`
	// Kind is that of the last answer, if it was an error.
	Kind      errkind.Kind  `json:"kind,omitempty"`
	FirstByte time.Duration `json:"firstByte"`
	Total     time.Duration `json:"total"`
	Exchanges int           `json:"exchanges"`
	Resumes   int           `json:"resumes,omitempty"`
}

// Sample is a router's state at one moment.
type Sample struct {
	At       time.Time       `json:"at"`
	Router   string          `json:"router"`
	Ready    bool            `json:"ready"`
	Revision config.Revision `json:"revision"`
	// ControlBytes counts the control traffic since the router's start, both ways.
	ControlBytes int64 `json:"controlBytes"`
	// Reached is false if the router could not be asked.
	Reached bool `json:"reached"`
}

// Action names what an operator, or a fault, did.
type Action string

// The actions that the checks know.
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

// Event is something done to the fleet while the trace played.
type Event struct {
	// AtMs is in milliseconds since 1970.
	AtMs   int64  `json:"at"`
	Action Action `json:"action"`
	// Target is a data centre for drain and undrain, else a process.
	Target string `json:"target"`
}

// At returns the time of the event.
func (e Event) At() time.Time { return time.UnixMilli(e.AtMs) }

// Bounds are the limits that the checks apply.
type Bounds struct {
	// OutWithin is how soon a data centre taken out, or a leaving server, gets no new work.
	OutWithin time.Duration
	// InForceWithin is how soon a revision seen at one router is in force at all.
	InForceWithin time.Duration
	// ColdNotice is how long a server that turns cold without warning may still get work.
	ColdNotice time.Duration
	// SkewFactor and SkewFloor bound a server's load: the factor times its pool's
	// mean, from that mean up.
	SkewFactor, SkewFloor float64
	// ColdRamp is how long a server that became ready takes to its full capacity.
	ColdRamp time.Duration
	// SkewWindow is the length of the windows that loads are averaged over.
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

// Observation is all that a check looks at.
type Observation struct {
	Records   []trace.Record
	Exchanges []Exchange
	Results   []Result
	// Ledger holds the entries of each stand-in process in the order written.
	Ledger  []standin.Entry
	Samples []Sample
	Events  []Event
	Bounds  Bounds
}
