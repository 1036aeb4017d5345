package storage

import (
	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// logLoader rebuilds the log from its batches.
type logLoader struct {
	snapshotIndex, snapshotTerm uint64
	latest                      *pb.LogBatch
	entries                     []*pb.Entry
	// highestIndex is the highest entry index in the file being read.
	highestIndex uint64
}

func (l *logLoader) applyBatch(b *pb.LogBatch) error {
	if b.HardState != nil {
		l.latest.HardState = b.HardState
	}
	if len(b.Marks) > 0 {
		l.latest.Marks = b.Marks
	}
	if b.ResetIndex > 0 {
		l.entries, l.highestIndex = nil, max(l.highestIndex, b.ResetIndex)
	}
	for _, e := range b.Entries {
		if err := l.appendEntry(e); err != nil {
			return err
		}
		l.highestIndex = max(l.highestIndex, e.Index)
	}
	return nil
}

// appendEntry appends an entry and drops all earlier ones from its index on.
func (l *logLoader) appendEntry(e *pb.Entry) error {
	if len(l.entries) == 0 {
		l.entries = append(l.entries, e)
		return nil
	}
	first := l.entries[0].Index
	switch last := l.entries[len(l.entries)-1].Index; {
	case e.Index > last+1:
		return errkind.New(errkind.DamagedStorage, "gap in the log: entry %d follows entry %d; %s", e.Index, last, repairHint)
	case e.Index < first:
		l.entries = append(l.entries[:0:0], e)
	default:
		n := e.Index - first
		l.entries = append(l.entries[:n], e)
	}
	return nil
}

// entriesAfterSnapshot returns the log entries after the snapshot. A log that does not
// contain the last entry of the snapshot is older than the snapshot and is dropped.
func (l *logLoader) entriesAfterSnapshot() ([]*pb.Entry, error) {
	if len(l.entries) == 0 {
		return nil, nil
	}
	first, last := l.entries[0].Index, l.entries[len(l.entries)-1].Index
	switch {
	case first == l.snapshotIndex+1:
		return l.entries, nil
	case first > l.snapshotIndex+1:
		return nil, errkind.New(errkind.DamagedStorage, "the log begins with entry %d and the newest snapshot ends with %d: a snapshot is missing; %s", first, l.snapshotIndex, repairHint)
	case last < l.snapshotIndex || l.entries[l.snapshotIndex-first].Term != l.snapshotTerm:
		return nil, nil
	}
	return l.entries[l.snapshotIndex-first+1:], nil
}
