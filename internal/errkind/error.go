package errkind

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"
)

// Error is an error that has a kind.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfter is the time to wait before the caller may try again, or zero if not
	// known.
	RetryAfter time.Duration
	cause      error
}

// Error returns the kind, the message and the cause, separated by colons.
func (e *Error) Error() string {
	s := string(e.Kind) + ": " + e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Code returns the kind's code, which drpc transmits with the error.
func (e *Error) Code() uint64 { return Lookup(e.Kind).Code }

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a formatted message and a cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: cause}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

var (
	byKind = map[Kind]Row{}
	byCode = map[uint64]Row{}
)

func init() {
	for _, r := range Table {
		byKind[r.Kind] = r
		byCode[r.Code] = r
	}
}

// ByCode returns the kind with the code, or Internal if there is none.
func ByCode(code uint64) Kind {
	if r, ok := byCode[code]; ok {
		return r.Kind
	}
	return Internal
}

// Lookup returns the row of the kind, or the row of Internal if the kind is not in the
// table.
func Lookup(k Kind) Row {
	if r, ok := byKind[k]; ok {
		return r
	}
	return byKind[Internal]
}

// Of returns the kind of err, which may be wrapped or come from a drpc call. It returns
// Internal for an error without a kind, and the empty string for nil.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ByCode(drpcerr.Code(err))
}

// Is reports whether err is of the kind.
func Is(err error, k Kind) bool { return Of(err) == k }
