package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is the type of a ledger entry.
type Event string

// Types of ledger entries.
const (
	// EventBegin: the server started to execute a request.
	EventBegin Event = "begin"
	// EventEnd: the execution ended; the entry has its outcome.
	EventEnd Event = "end"
	// EventRefuse: the server refused a request without executing it.
	EventRefuse Event = "refuse"
	// EventState: the server's state changed.
	EventState Event = "state"
	// EventFault: the server injected a fault.
	EventFault Event = "fault"
)

// Outcome is the result of a run as recorded by the server.
type Outcome string

// Outcomes of runs.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Entry is one line of a ledger.
type Entry struct {
	Event Event `json:"event"`
	// At is the time of the entry in microseconds since the Unix epoch.
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

func (e Entry) Time() time.Time { return time.UnixMicro(e.At) }

// Ledger records executions in memory and, if it has a writer, also writes them
// as JSON lines. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
	encoder *json.Encoder
}

// NewLedger returns an empty ledger. If w is not nil, each entry is also written to w.
func NewLedger(w io.Writer) *Ledger {
	l := &Ledger{}
	if w != nil {
		l.encoder = json.NewEncoder(w)
	}
	return l
}

// Add appends an entry.
func (l *Ledger) Add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	if l.encoder != nil {
		_ = l.encoder.Encode(e)
	}
}

// Entries returns the entries of the named server, or of all servers if the name
// is empty.
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

// WriteTo writes the entries of the named server, or of all servers if the name
// is empty, as JSON lines.
func (l *Ledger) WriteTo(w io.Writer, server string) error {
	enc := json.NewEncoder(w)
	for _, e := range l.Entries(server) {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
