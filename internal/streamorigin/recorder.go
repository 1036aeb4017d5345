package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

// maxPending limits the records that wait for the next report. A router that reports to no
// directory process drops the oldest; once it reports again, it sends the recent ones.
const maxPending = 4096

// Recorder is a router's part in keeping the origins of streams. It is safe for concurrent
// use.
type Recorder struct {
	mu    sync.Mutex
	table *Table
	// pending are the records to report.
	pending []Record
	// lookups are the streams that requests wait to learn the origin of.
	lookups map[Stream]*lookup
}

// lookup is a stream whose origin was not known to the router.
type lookup struct {
	// done is closed once the directory has answered.
	done   chan struct{}
	origin Origin
	known  bool
	// serversKnown is set if the router knows all servers that the stream may have begun at;
	// confirmed is closed once it is.
	serversKnown bool
	confirmed    chan struct{}
	waiting      int
	// sent is set once the directory was asked.
	sent bool
}

// NewRecorder returns a Recorder without records.
func NewRecorder() *Recorder {
	return &Recorder{table: NewTable(), lookups: map[Stream]*lookup{}}
}

// Record records the origin of a stream of this router, and reports whether it is news.
func (r *Recorder) Record(s Stream, o Origin, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Record(s, o, now) {
		return false
	}
	r.pending = append(r.pending, Record{s, o, now})
	r.pending = r.pending[max(0, len(r.pending)-maxPending):]
	return true
}

// Lookup returns the origin of a stream. If this router does not know it, Lookup calls ask,
// which has the directory asked by the next report, and waits for the answer until ctx is
// done. If the origin is not known, serversKnown says whether the router knows all servers that
// the stream may have begun at. Once it does, Lookup waits no longer if they suffice.
func (r *Recorder) Lookup(ctx context.Context, s Stream, ask func(), suffice func() bool) (o Origin, known, serversKnown bool) {
	r.mu.Lock()
	if o, known = r.table.Lookup(s); known {
		r.mu.Unlock()
		return o, true, false
	}
	l := r.lookups[s]
	if l == nil {
		l = &lookup{done: make(chan struct{}), confirmed: make(chan struct{})}
		r.lookups[s] = l
	}
	l.waiting++
	r.mu.Unlock()
	ask()
	select {
	case <-l.done:
	case <-ctx.Done():
	case <-l.confirmed:
		if suffice() {
			break
		}
		select {
		case <-l.done:
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.waiting--; l.waiting == 0 && r.lookups[s] == l {
		delete(r.lookups, s)
	}
	return l.origin, l.known, l.serversKnown
}

// Report returns what to report, and the streams to ask for. If all is set, the process has
// not been reported to before: the result contains the recent records and all streams that
// requests wait for.
func (r *Recorder) Report(all bool, now time.Time) (origins []*fleetpb.StreamOrigins, lookups []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.pending
	if all {
		records = r.table.Recent(now)
	}
	r.pending = nil
	for s, l := range r.lookups {
		if all || !l.sent {
			l.sent = true
			lookups = append(lookups, uint64(s))
		}
	}
	return Encode(records), lookups
}

// Answer takes over the directory's answers to lookups. serversKnown is set if the router has
// received all servers that the unknown streams may have begun at.
func (r *Recorder) Answer(found []*fleetpb.StreamOrigins, unknown []uint64, serversKnown bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	Decode(found, func(s Stream, o Origin) {
		r.table.Record(s, o, now)
		if l := r.lookups[s]; l != nil {
			l.origin, l.known = o, true
			r.finish(s, l)
		}
	})
	for _, s := range unknown {
		if l := r.lookups[Stream(s)]; l != nil {
			l.serversKnown = l.serversKnown || serversKnown
			r.finish(Stream(s), l)
		}
	}
}

// ConfirmServers records that the router has received all servers that the streams may have begun
// at.
func (r *Recorder) ConfirmServers(streams []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		if l := r.lookups[Stream(s)]; l != nil && !l.serversKnown {
			l.serversKnown = true
			close(l.confirmed)
		}
	}
}

// finish wakes the requests that wait. The caller holds mu.
func (r *Recorder) finish(s Stream, l *lookup) {
	delete(r.lookups, s)
	close(l.done)
}
