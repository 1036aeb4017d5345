package replication

import (
	"github.com/cockroachdb/errors"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
)

// raftLog holds the entries after index base in memory. Those up to base were
// compacted; baseTerm is the term of the entry at base.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []*pb.Entry
	bytes    int
}

func newLog(base, baseTerm uint64, entries []*pb.Entry) raftLog {
	l := raftLog{base: base, baseTerm: baseTerm}
	l.append(entries)
	return l
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i; ok is false if i is neither base
// nor the index of an entry in memory.
func (l *raftLog) term(i uint64) (term uint64, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// append adds entries, which must follow the last one without a gap.
func (l *raftLog) append(es []*pb.Entry) {
	for _, e := range es {
		if e.Index != l.last()+1 {
			panic(errors.AssertionFailedf("entry %d appended to a log whose last index is %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		l.bytes += entrySize(e)
	}
}

// truncate removes all entries from index i on.
func (l *raftLog) truncate(i uint64) {
	for _, e := range l.entries[i-l.base-1:] {
		l.bytes -= entrySize(e)
	}
	l.entries = l.entries[: i-l.base-1 : i-l.base-1]
}

// slice returns entries from the range [from, to], up to maxBytes in total but at
// least one. It returns nil if the range is empty or starts at or below base.
func (l *raftLog) slice(from, to uint64, maxBytes int) []*pb.Entry {
	if from > to || from <= l.base {
		return nil
	}
	all := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i, e := range all {
		size += entrySize(e)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// compact removes the entries up to and including index i.
func (l *raftLog) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, ok := l.term(i)
	if !ok {
		panic(errors.AssertionFailedf("compaction to index %d, log holds %d to %d", i, l.base, l.last()))
	}
	rest := append([]*pb.Entry(nil), l.entries[i-l.base:]...)
	*l = newLog(i, t, rest)
}

// entrySize returns the bytes that an entry counts for: its data plus a fixed
// overhead for its representation in memory.
func entrySize(e *pb.Entry) int {
	const overhead = 64
	return len(e.Data) + overhead
}
