package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// SessionID names one router's session with the grantor.
type SessionID uint64

// EffectKind says what an Effect tells.
type EffectKind uint8

// The kinds of effects.
const (
	// Granted answers an ask with a permit.
	Granted EffectKind = iota
	// Refused answers an ask; nothing ran.
	Refused
	// Superseded ends a session because its router has opened a newer one.
	Superseded
)

// Effect is something that the caller has to tell a router.
type Effect struct {
	Kind    EffectKind
	Session SessionID
	AskID   uint64
	// Permit, Server, Address, Incarnation, StartWithin and Queued belong to Granted.
	Permit      uint64
	Server      string
	Address     string
	Incarnation string
	StartWithin time.Duration
	Queued      time.Duration
	// ErrorKind, RetryAfter and Message belong to Refused.
	ErrorKind  errkind.Kind
	RetryAfter time.Duration
	Message    string
}

// Effects returns the effects since the last call. The slice is reused.
func (c *Core) Effects() []Effect {
	e := c.effects
	c.effects = c.effects[:0]
	return e
}

func (c *Core) refuse(session SessionID, ask uint64, kind errkind.Kind, after time.Duration, message string) {
	if after > 0 {
		after = min(max(after, minRetryAfter), maxRetryAfter)
	}
	c.refused++
	c.effects = append(c.effects, Effect{
		Kind: Refused, Session: session, AskID: ask, ErrorKind: kind, RetryAfter: after, Message: message,
	})
}
