package dispatch

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// defaultRetryAfter is sent if the error has no Retry-After of its own.
const defaultRetryAfter = time.Second

// Values of HeaderRan.
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// Refusal is the JSON body of a response that the router itself generates.
type Refusal struct {
	Error     errkind.Kind    `json:"error"`
	Message   string          `json:"message"`
	Outcome   errkind.Outcome `json:"outcome"`
	Ran       string          `json:"ran"`
	Retry     errkind.Retry   `json:"retry"`
	RequestID string          `json:"requestId"`
}

func ranValue(o errkind.Outcome) string {
	switch o {
	case errkind.NotRun:
		return ranNo
	case errkind.Completed, errkind.Failed:
		return ranYes
	default:
		return ranUnknown
	}
}

// writeRefusal responds with the row of the error table for the kind of err.
func writeRefusal(w http.ResponseWriter, id string, err error) {
	row := errkind.Lookup(errkind.Of(err))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, id)
	h.Set(HeaderErrorKind, string(row.Kind))
	h.Set(HeaderOutcome, string(row.Outcome))
	h.Set(HeaderRan, ranValue(row.Outcome))
	if row.Retry == errkind.RetryLater || row.Retry == errkind.RetrySameKey {
		h.Set("Retry-After", retryAfterSeconds(err))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(Refusal{
		Error: row.Kind, Message: clientMessage(err), Outcome: row.Outcome,
		Ran: ranValue(row.Outcome), Retry: row.Retry, RequestID: id,
	})
}

// retryAfterSeconds returns the value of the Retry-After header: whole seconds,
// at least 1.
func retryAfterSeconds(err error) string {
	d := defaultRetryAfter
	var e *errkind.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		d = e.RetryAfter
	}
	return strconv.Itoa(int(math.Max(1, math.Ceil(d.Seconds()))))
}

// clientMessage returns the message for the client. It leaves out the causes,
// which may contain addresses; they are only logged.
func clientMessage(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Message
	}
	return errkind.Lookup(errkind.Of(err)).Meaning
}

// setOutcomeHeaders sets the headers of a response that comes from a server.
func setOutcomeHeaders(h http.Header, id string, o errkind.Outcome) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderRan, ranValue(o))
}

// outcomeOf returns the outcome that the status of a complete response implies.
func outcomeOf(status int) errkind.Outcome {
	if status >= http.StatusBadRequest {
		return errkind.Failed
	}
	return errkind.Completed
}
