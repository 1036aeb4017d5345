package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// Kind is the kind of a request. It determines whether the request may be repeated.
type Kind string

// Kinds of requests.
const (
	// KindModel is a call to a model, which may be repeated.
	KindModel Kind = "model"
	// KindLookup is a plain call that may be repeated.
	KindLookup Kind = "lookup"
	// KindOnce is a plain call that must not be repeated.
	KindOnce Kind = "once"
)

// Record is one request of a trace.
type Record struct {
	// AtMs is the time of the request in milliseconds after the start of the trace.
	AtMs      int64  `json:"at"`
	Kind      Kind   `json:"kind"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat,omitempty"`
	Path      string `json:"path"`
	// Messages holds the sizes in tokens of the chat's messages so far. The first one
	// is the system prompt of the workspace.
	Messages  []int `json:"messages,omitempty"`
	MaxTokens int   `json:"maxTokens,omitempty"`
	Stream    bool  `json:"stream,omitempty"`
	// Key is the idempotency key.
	Key string `json:"key,omitempty"`
	// Resend is set if an earlier record has the same key.
	Resend bool `json:"resend,omitempty"`
}

// At returns the time of the request after the start of the trace.
func (r Record) At() time.Duration { return time.Duration(r.AtMs) * time.Millisecond }

func (r Record) Method() string {
	if r.Kind == KindLookup {
		return http.MethodGet
	}
	return http.MethodPost
}

type onceRequestBody struct {
	Chat  string `json:"chat"`
	Order string `json:"order"`
}

// Body returns the body of the request, which is nil for a lookup.
func (r Record) Body() ([]byte, error) {
	switch r.Kind {
	case KindLookup:
		return nil, nil
	case KindOnce:
		return json.Marshal(onceRequestBody{Chat: r.Chat, Order: r.Key})
	default:
		return json.Marshal(standin.ModelBody{
			Stream: r.Stream, Chat: r.Chat, Messages: r.chatMessages(), MaxTokens: r.MaxTokens,
		})
	}
}

// Request returns the parts of the request that determine its response.
func (r Record) Request() (standin.Request, error) {
	body, err := r.Body()
	return standin.Request{Workspace: r.Workspace, Method: r.Method(), Target: r.Path, Body: body}, err
}

func (r Record) chatMessages() []standin.Message {
	out := make([]standin.Message, len(r.Messages))
	for i, tokens := range r.Messages {
		owner, role := r.Workspace+"/"+r.Chat, "user"
		switch {
		case i == 0:
			owner, role = r.Workspace, "system"
		case i%2 == 0:
			role = "assistant"
		}
		out[i] = standin.Message{Role: role, Content: textFor(owner+"/"+strconv.Itoa(i), tokens)}
	}
	return out
}

// textFor returns a text of the given length in tokens that is a function of name.
func textFor(name string, tokens int) string {
	want := tokens * standin.BytesPerToken
	b := make([]byte, 0, want+16)
	for h := xxhash.Sum64String(name); len(b) < want; h = h*6364136223846793005 + 1442695040888963407 {
		b = strconv.AppendUint(b, h, 36)
		b = append(b, ' ')
	}
	return string(b[:want])
}

// Write writes the records as JSON lines.
func Write(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Read reads records from JSON lines. Unknown fields and records that are not
// ordered by time are errors of kind bad-request, with the number of the record.
func Read(r io.Reader) ([]Record, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	out, err := DecodeLines[Record](dec)
	for n := 1; n < len(out); n++ {
		if out[n].AtMs < out[n-1].AtMs {
			return nil, errkind.New(errkind.BadRequest, "trace record %d is out of order: it is earlier than the previous record", n+1)
		}
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "trace record %d", len(out)+1)
	}
	return out, nil
}

// DecodeLines decodes JSON values until the end of the decoder's input. An end inside of a value, and a
// failure to read, are errors, with which the values before are returned.
func DecodeLines[T any](dec *json.Decoder) (out []T, err error) {
	for {
		var v T
		if err := dec.Decode(&v); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return out, err
		}
		out = append(out, v)
	}
}

// ReadFile reads the records from a file.
func ReadFile(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "trace")
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// RenameForRound appends the number of a round to the chat and the key. A replay
// that repeats the trace uses it so that each round has its own chats and keys.
func (r *Record) RenameForRound(round int) {
	suffix := "-r" + strconv.Itoa(round)
	if r.Chat != "" {
		r.Chat += suffix
	}
	if r.Key != "" {
		r.Key += suffix
	}
}
