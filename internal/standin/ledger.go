package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event names what a ledger entry records.
type Event string

// The events of a ledger.
const (
	// EventBegin: the server began to run a request.
	EventBegin Event = "begin"
	// EventEnd: the run ended, with an outcome.
	EventEnd Event = "end"
	// EventRefuse: the server refused a request and ran nothing.
	EventRefuse Event = "refuse"
	// EventState: the server's state changed.
	EventState Event = "state"
	// EventFault: the server brought about a fault on purpose.
	EventFault Event = "fault"
)

// Outcome of a run as the server knows it.
type Outcome string

// The outcomes of runs.
const (
	RunCompleted Outcome = "completed"
	RunFailed    Outcome = "failed"
	RunCancelled Outcome = "cancelled"
)

// Entry is one line of a ledger.
type Entry struct {
	Event Event `json:"event"`
	// At is in microseconds since 1970.
	At           int64   `json:"at"`
	Server       string  `json:"server"`
	Service      string  `json:"service,omitempty"`
	DataCentre   string  `json:"dataCentre,omitempty"`
	Incarnation  string  `json:"incarnation,omitempty"`
	Capacity     int     `json:"capacity,omitempty"`
	ColdCapacity int     `json:"coldCapacity,omitempty"`
	State        State   `json:"state,omitempty"`
	Run          uint64  `json:"run,omitempty"`
	Attempt      string  `json:"attempt,omitempty"`
	Request      string  `json:"request,omitempty"`
	Key          string  `json:"key,omitempty"`
	Workspace    string  `json:"workspace,omitempty"`
	Method       string  `json:"method,omitempty"`
	Target       string  `json:"target,omitempty"`
	Hash         string  `json:"hash,omitempty"`
	CachedTokens int     `json:"cachedTokens,omitempty"`
	PromptTokens int     `json:"promptTokens,omitempty"`
	Outcome      Outcome `json:"outcome,omitempty"`
	Fault        string  `json:"fault,omitempty"`
}

// Time returns the time of the entry.
func (e Entry) Time() time.Time { return time.UnixMicro(e.At) }

// Ledger records executions in memory and, if it has a writer, as JSON lines.
// It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
	out     *json.Encoder
}

// NewLedger returns a ledger; w may be nil.
func NewLedger(w io.Writer) *Ledger {
	l := &Ledger{}
	if w != nil {
		l.out = json.NewEncoder(w)
	}
	return l
}

// Add appends an entry.
func (l *Ledger) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	if l.out != nil {
		_ = l.out.Encode(e)
	}
}

// Entries returns the entries of one server, or of all if the name is empty.
func (l *Ledger) Entries(server string) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		if server == "" || e.Server == server {
			out = append(out, e)
		}
	}
	return out
}

// WriteTo writes the entries of one server, or of all, as JSON lines.
func (l *Ledger) WriteTo(w io.Writer, server string) error {
	enc := json.NewEncoder(w)
	for _, e := range l.Entries(server) {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
