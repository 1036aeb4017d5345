package streamorigin

import (
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
	"github.com/kumquathollow/kumquathollow/internal/routing"
)

// Stream identifies a stream by the request that brought its first event.
type Stream uint64

// StreamOf returns the stream that a request of a caller begins.
func StreamOf(caller, requestID string) Stream {
	return Stream(routing.NewFingerprint([]byte(caller), []byte(requestID)))
}

// Origin is what began a stream.
type Origin struct {
	Service string
	// Version is the version of the servers' software.
	Version string
	// Server and Born, its start in Unix milliseconds, name the incarnation that was taken for the one that began the stream,
	// if that is not certain: its process has not told its start. Server is empty otherwise.
	Server string
	Born   int64
}

// IsCertain reports whether a server of that version is known to have begun the stream.
func (o Origin) IsCertain() bool { return o.Server == "" }

// Certain returns the origin without the incarnation.
func (o Origin) Certain() Origin { return Origin{Service: o.Service, Version: o.Version} }

// Record is the origin of one stream.
type Record struct {
	Stream Stream
	Origin Origin
	at     time.Time
}

const (
	// generationTime is how long a generation of records is added to. Records are kept for
	// this time after that, which exceeds the time that clients wait for a stream.
	generationTime = time.Minute
	// maxGeneration limits the records of a generation.
	maxGeneration = 1 << 19
	// recentTime is how long a record counts as recent, and maxRecent limits the recent
	// ones. Most streams are over or resumed by then.
	recentTime = 10 * time.Second
	maxRecent  = 1 << 16
)

// Table holds the origins of streams. It is not safe for concurrent use.
type Table struct {
	current, previous map[Stream]*Origin
	// interned holds each origin of the current generation once.
	interned  map[Origin]*Origin
	startedAt time.Time
	// recent are the newest records, ordered by time.
	recent []Record
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	t.rotate(time.Time{})
	return t
}

func (t *Table) rotate(now time.Time) {
	t.previous, t.current, t.interned, t.startedAt = t.current, map[Stream]*Origin{}, map[Origin]*Origin{}, now
}

// Record records the origin of a stream in place of an earlier one, and reports whether
// anything changed.
func (t *Table) Record(s Stream, o Origin, now time.Time) bool {
	if known, ok := t.Lookup(s); ok && known == o {
		return false
	}
	if now.Sub(t.startedAt) >= generationTime || len(t.current) >= maxGeneration {
		t.rotate(now)
	}
	interned := t.interned[o]
	if interned == nil {
		interned = &o
		t.interned[o] = interned
	}
	t.current[s] = interned
	t.recent = append(t.trimmed(now), Record{s, *interned, now})
	return true
}

// trimmed returns the records that are still recent.
func (t *Table) trimmed(now time.Time) []Record {
	first := max(0, len(t.recent)-maxRecent)
	for first < len(t.recent) && now.Sub(t.recent[first].at) > recentTime {
		first++
	}
	return t.recent[first:]
}

// Lookup returns the origin of a stream, and false if it is unknown.
func (t *Table) Lookup(s Stream) (Origin, bool) {
	for _, generation := range []map[Stream]*Origin{t.current, t.previous} {
		if o := generation[s]; o != nil {
			return *o, true
		}
	}
	return Origin{}, false
}

// Recent returns the newest records, for a process that has started after they were
// reported. The caller must not modify them.
func (t *Table) Recent(now time.Time) []Record {
	t.recent = t.trimmed(now)
	return t.recent
}

// Encode returns records in the encoding in which they are sent. Of several records of a
// stream, the last one counts.
func Encode(records []Record) []*fleetpb.StreamOrigins {
	last := make(map[Stream]int, len(records))
	for i, r := range records {
		last[r.Stream] = i
	}
	groups := map[Origin]*fleetpb.StreamOrigins{}
	var out []*fleetpb.StreamOrigins
	for i, r := range records {
		if last[r.Stream] != i {
			continue
		}
		g := groups[r.Origin]
		if g == nil {
			g = &fleetpb.StreamOrigins{Service: r.Origin.Service, Version: r.Origin.Version, Server: r.Origin.Server, Born: r.Origin.Born}
			groups[r.Origin] = g
			out = append(out, g)
		}
		g.Streams = append(g.Streams, uint64(r.Stream))
	}
	return out
}

// Decode calls visit for each record encoded by Encode.
func Decode(in []*fleetpb.StreamOrigins, visit func(Stream, Origin)) {
	for _, g := range in {
		for _, s := range g.Streams {
			visit(Stream(s), Origin{g.Service, g.Version, g.Server, g.Born})
		}
	}
}
