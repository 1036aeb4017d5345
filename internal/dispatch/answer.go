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

// defaultRetryAfter is told when a refusal gives no time of its own.
const defaultRetryAfter = time.Second

// Values of HeaderRan.
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// Refusal is the JSON body of an answer that comes from the router itself.
type Refusal struct {
	Error     errkind.Kind    `json:"error"`
	Message   string          `json:"message"`
	Outcome   errkind.Outcome `json:"outcome"`
	Ran       string          `json:"ran"`
	Retry     errkind.Retry   `json:"retry"`
	RequestID string          `json:"requestId"`
}

func ranOf(o errkind.Outcome) string {
	switch o {
	case errkind.NotRun:
		return ranNo
	case errkind.Completed, errkind.Failed:
		return ranYes
	default:
		return ranUnknown
	}
}

// writeRefusal answers with the error's row of the table.
func writeRefusal(w http.ResponseWriter, id string, err error) {
	row := errkind.Lookup(errkind.Of(err))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, id)
	h.Set(HeaderErrorKind, string(row.Kind))
	h.Set(HeaderOutcome, string(row.Outcome))
	h.Set(HeaderRan, ranOf(row.Outcome))
	if row.Retry == errkind.RetryLater || row.Retry == errkind.RetrySameKey {
		h.Set("Retry-After", retryAfter(err))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(Refusal{
		Error: row.Kind, Message: messageOf(err), Outcome: row.Outcome,
		Ran: ranOf(row.Outcome), Retry: row.Retry, RequestID: id,
	})
}

// retryAfter returns whole seconds, at least 1, as the header wants them.
func retryAfter(err error) string {
	d := defaultRetryAfter
	var e *errkind.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		d = e.RetryAfter
	}
	return strconv.Itoa(int(math.Max(1, math.Ceil(d.Seconds()))))
}

// messageOf leaves causes, which may hold addresses, to the log.
func messageOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Message
	}
	return errkind.Lookup(errkind.Of(err)).Meaning
}

// setOutcome sets the headers of an answer that comes from a server.
func setOutcome(h http.Header, id string, o errkind.Outcome) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderRan, ranOf(o))
}

// outcomeOf returns what a whole answer's status says of the run.
func outcomeOf(status int) errkind.Outcome {
	if status >= http.StatusBadRequest {
		return errkind.Failed
	}
	return errkind.Completed
}
