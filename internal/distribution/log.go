package distribution

import (
	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// maxPartBytes bounds the objects in one message; drpc rejects messages over 4 MiB.
const maxPartBytes = 1 << 20

// logEntry is one change in a relay's log.
type logEntry struct {
	base, revision config.Revision
	upserts        []*controlpb.Object
	deletes        []*controlpb.ObjectKey
}

func (e logEntry) objectCount() int { return len(e.upserts) + len(e.deletes) }

// appendToLog appends the change from the current set to s to the log and drops the
// oldest entries that exceed the log's bounds.
func (r *Relay) appendToLog(s *config.Set) error {
	if r.current == nil {
		return nil
	}
	up, del, err := config.Diff(r.current, s)
	if err != nil {
		return err
	}
	entry := logEntry{base: r.current.Revision, revision: s.Revision, upserts: up, deletes: del}
	r.log = append(r.log, entry)
	r.loggedObjects += entry.objectCount()
	for len(r.log) > maxLogEntries || (r.loggedObjects > maxLogObjects && len(r.log) > 0) {
		r.loggedObjects -= r.log[0].objectCount()
		r.log[0] = logEntry{}
		r.log = r.log[1:]
	}
	return nil
}

// deltaSince returns the parts of one delta from the revision, merged from the log,
// or nil if the log does not reach back to that revision.
func (r *Relay) deltaSince(have config.Revision) []*controlpb.ConfigUpdate {
	start := len(r.log)
	for i := len(r.log) - 1; i >= 0 && !r.log[i].base.Less(have); i-- {
		start = i
	}
	if start == len(r.log) || r.log[start].base != have {
		return nil
	}
	up, del := mergeEntries(r.log[start:])
	return splitUpdate(&controlpb.ConfigUpdate{Revision: r.current.Revision.ToProto(), Base: have.ToProto(), Upserts: up, Deletes: del})
}

// mergeEntries merges consecutive changes; the last change of an object wins.
func mergeEntries(entries []logEntry) ([]*controlpb.Object, []*controlpb.ObjectKey) {
	if len(entries) == 1 {
		return entries[0].upserts, entries[0].deletes
	}
	last := map[config.ObjectKey]*controlpb.Object{}
	var order []config.ObjectKey
	recordLast := func(k config.ObjectKey, o *controlpb.Object) {
		if _, seen := last[k]; !seen {
			order = append(order, k)
		}
		last[k] = o
	}
	for _, e := range entries {
		for _, d := range e.deletes {
			recordLast(config.ObjectKey{Kind: d.Kind, Name: d.Name}, nil)
		}
		for _, o := range e.upserts {
			recordLast(config.ObjectKey{Kind: o.Kind, Name: o.Name}, o)
		}
	}
	var up []*controlpb.Object
	var del []*controlpb.ObjectKey
	for _, k := range order {
		if o := last[k]; o != nil {
			up = append(up, o)
		} else {
			del = append(del, &controlpb.ObjectKey{Kind: k.Kind, Name: k.Name})
		}
	}
	return up, del
}

// splitUpdate splits an update into parts of bounded size.
func splitUpdate(u *controlpb.ConfigUpdate) []*controlpb.ConfigUpdate {
	var parts []*controlpb.ConfigUpdate
	part := &controlpb.ConfigUpdate{Revision: u.Revision, Full: u.Full, Base: u.Base, Deletes: u.Deletes}
	size := 0
	for _, o := range u.Upserts {
		n := len(o.Kind) + len(o.Name) + len(o.Body)
		if size > 0 && size+n > maxPartBytes {
			part.More = true
			parts = append(parts, part)
			part = &controlpb.ConfigUpdate{Revision: u.Revision, Full: u.Full, Base: u.Base}
			size = 0
		}
		part.Upserts = append(part.Upserts, o)
		size += n
	}
	return append(parts, part)
}
