package storage

import (
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// loader rebuilds the log from its batches.
type loader struct {
	base, baseTerm uint64
	head           *pb.LogBatch
	entries        []*pb.Entry
	// high is the highest index in the file being read.
	high uint64
}

func (l *loader) take(b *pb.LogBatch) error {
	if b.HardState != nil {
		l.head.HardState = b.HardState
	}
	if len(b.Marks) > 0 {
		l.head.Marks = b.Marks
	}
	if b.ResetIndex > 0 {
		l.entries, l.high = nil, max(l.high, b.ResetIndex)
	}
	for _, e := range b.Entries {
		if err := l.add(e); err != nil {
			return err
		}
		l.high = max(l.high, e.Index)
	}
	return nil
}

// add appends an entry, replacing all from its index on.
func (l *loader) add(e *pb.Entry) error {
	if len(l.entries) == 0 {
		l.entries = append(l.entries, e)
		return nil
	}
	first := l.entries[0].Index
	switch last := l.entries[len(l.entries)-1].Index; {
	case e.Index > last+1:
		return errkind.New(errkind.DamagedStorage, "log entry %d follows %d; %s", e.Index, last, wayOut)
	case e.Index < first:
		l.entries = append(l.entries[:0:0], e)
	default:
		n := e.Index - first
		l.entries = append(l.entries[:n], e)
	}
	return nil
}

// restored returns the entries after the snapshot. A log that does not hold the
// snapshot's last entry is older than the snapshot and is dropped.
func (l *loader) restored() ([]*pb.Entry, error) {
	if len(l.entries) == 0 {
		return nil, nil
	}
	first, last := l.entries[0].Index, l.entries[len(l.entries)-1].Index
	switch {
	case first == l.base+1:
		return l.entries, nil
	case first > l.base+1:
		return nil, errkind.New(errkind.DamagedStorage, "the log begins with entry %d and the newest snapshot ends with %d: a snapshot is missing; %s", first, l.base, wayOut)
	case last < l.base || l.entries[l.base-first].Term != l.baseTerm:
		return nil, nil
	}
	return l.entries[l.base-first+1:], nil
}
