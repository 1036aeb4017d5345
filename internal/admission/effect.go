package admission

import (
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// SessionID identifies a router's session with the grantor.
type SessionID uint64

// EffectKind is the kind of an Effect.
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

// Effect is a message that the caller has to deliver to a router.
type Effect struct {
	Kind    EffectKind
	Session SessionID
	AskID   uint64
	// Permit, Server, Address, Incarnation, StartWithin and Queued are set for
	// Granted.
	Permit      uint64
	Server      string
	Address     string
	Incarnation string
	StartWithin time.Duration
	Queued      time.Duration
	// ErrorKind, RetryAfter and Message are set for Refused.
	ErrorKind  errkind.Kind
	RetryAfter time.Duration
	Message    string
}

// Effects returns the effects since the previous call. The slice is reused: it is
// valid until the next event.
func (c *Core) Effects() []Effect {
	e := c.effects
	c.effects = c.effects[:0]
	return e
}

func (c *Core) refuse(session SessionID, ask uint64, kind errkind.Kind, retryAfter time.Duration, message string) {
	if retryAfter > 0 {
		retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	}
	c.refused++
	c.effects = append(c.effects, Effect{
		Kind: Refused, Session: session, AskID: ask, ErrorKind: kind, RetryAfter: retryAfter, Message: message,
	})
}
