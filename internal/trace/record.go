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

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/standin"
)

// Kind says how a request is treated.
type Kind string

// The kinds of requests.
const (
	// Model is a call to a model, which may be repeated.
	Model Kind = "model"
	// Lookup is a plain call which may be repeated.
	Lookup Kind = "lookup"
	// Once is a plain call which may not be repeated.
	Once Kind = "once"
)

// Record is one request of a trace.
type Record struct {
	// AtMs is the time of the request in milliseconds after the start.
	AtMs      int64  `json:"at"`
	Kind      Kind   `json:"kind"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat,omitempty"`
	Path      string `json:"path"`
	// Messages holds the sizes in tokens of the chat's messages so far. The
	// first is the workspace's system prompt.
	Messages  []int `json:"messages,omitempty"`
	MaxTokens int   `json:"maxTokens,omitempty"`
	Stream    bool  `json:"stream,omitempty"`
	// Key is the idempotency key.
	Key string `json:"key,omitempty"`
	// Resend marks a second sending of the same key.
	Resend bool `json:"resend,omitempty"`
}

// At returns the time of the request after the start.
func (r Record) At() time.Duration { return time.Duration(r.AtMs) * time.Millisecond }

// Method returns the HTTP method.
func (r Record) Method() string {
	if r.Kind == Lookup {
		return http.MethodGet
	}
	return http.MethodPost
}

type onceBody struct {
	Chat  string `json:"chat"`
	Order string `json:"order"`
}

// Body returns the request's body, which is nil for a lookup.
func (r Record) Body() ([]byte, error) {
	switch r.Kind {
	case Lookup:
		return nil, nil
	case Once:
		return json.Marshal(onceBody{Chat: r.Chat, Order: r.Key})
	default:
		return json.Marshal(standin.ModelBody{
			Stream: r.Stream, Chat: r.Chat, Messages: r.texts(), MaxTokens: r.MaxTokens,
		})
	}
}

// Request returns what the answer depends on.
func (r Record) Request() (standin.Request, error) {
	body, err := r.Body()
	return standin.Request{Workspace: r.Workspace, Method: r.Method(), Target: r.Path, Body: body}, err
}

func (r Record) texts() []standin.Message {
	out := make([]standin.Message, len(r.Messages))
	for i, tokens := range r.Messages {
		owner, role := r.Workspace+"/"+r.Chat, "user"
		switch {
		case i == 0:
			owner, role = r.Workspace, "system"
		case i%2 == 0:
			role = "assistant"
		}
		out[i] = standin.Message{Role: role, Content: text(owner+"/"+strconv.Itoa(i), tokens)}
	}
	return out
}

// text returns text of the given length that is a function of its name.
func text(name string, tokens int) string {
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

// Read reads records. An error of kind bad-request names the line.
func Read(r io.Reader) ([]Record, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	var out []Record
	for dec.More() {
		var rec Record
		if err := dec.Decode(&rec); err != nil {
			return nil, errkind.Wrap(err, errkind.BadRequest, "trace record %d", len(out)+1)
		}
		if n := len(out); n > 0 && rec.AtMs < out[n-1].AtMs {
			return nil, errkind.New(errkind.BadRequest, "trace record %d is earlier than the one before", n+1)
		}
		out = append(out, rec)
	}
	return out, nil
}

// ReadFile reads the records of a file.
func ReadFile(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "trace")
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// Rename gives the record names of its own for one more round of the trace, so
// that a key or a chat of an earlier round does not come again.
func (r *Record) Rename(round int) {
	suffix := "-r" + strconv.Itoa(round)
	if r.Chat != "" {
		r.Chat += suffix
	}
	if r.Key != "" {
		r.Key += suffix
	}
}
