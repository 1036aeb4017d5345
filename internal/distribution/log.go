package distribution

import (
	"github.com/kumquathollow/kumquathollow/api/controlpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
)

// maxPartBytes bounds the objects in one message; drpc refuses over 4 MiB.
const maxPartBytes = 1 << 20

// step is one change in a relay's log.
type step struct {
	base, revision config.Revision
	upserts        []*controlpb.Object
	deletes        []*controlpb.ObjectKey
}

func (s step) size() int { return len(s.upserts) + len(s.deletes) }

// record adds the change from the current set to s to the log and cuts its
// oldest steps so that it stays within its bounds.
func (r *Relay) record(s *config.Set) error {
	if r.current == nil {
		return nil
	}
	up, del, err := config.Diff(r.current, s)
	if err != nil {
		return err
	}
	st := step{base: r.current.Revision, revision: s.Revision, upserts: up, deletes: del}
	r.log = append(r.log, st)
	r.logged += st.size()
	for len(r.log) > maxLogSteps || (r.logged > maxLogObjects && len(r.log) > 0) {
		r.logged -= r.log[0].size()
		r.log[0] = step{}
		r.log = r.log[1:]
	}
	return nil
}

// deltaFrom returns the parts of one delta from the revision, merged from the
// log, or nil if the log does not reach back to it.
func (r *Relay) deltaFrom(have config.Revision) []*controlpb.ConfigUpdate {
	first := len(r.log)
	for i := len(r.log) - 1; i >= 0 && !r.log[i].base.Less(have); i-- {
		first = i
	}
	if first == len(r.log) || r.log[first].base != have {
		return nil
	}
	up, del := merge(r.log[first:])
	return split(&controlpb.ConfigUpdate{Revision: r.current.Revision.PB(), Base: have.PB(), Upserts: up, Deletes: del})
}

// merge joins consecutive changes; for each object the last one counts.
func merge(steps []step) ([]*controlpb.Object, []*controlpb.ObjectKey) {
	if len(steps) == 1 {
		return steps[0].upserts, steps[0].deletes
	}
	last := map[config.Key]*controlpb.Object{}
	var order []config.Key
	note := func(k config.Key, o *controlpb.Object) {
		if _, seen := last[k]; !seen {
			order = append(order, k)
		}
		last[k] = o
	}
	for _, s := range steps {
		for _, d := range s.deletes {
			note(config.Key{Kind: d.Kind, Name: d.Name}, nil)
		}
		for _, o := range s.upserts {
			note(config.Key{Kind: o.Kind, Name: o.Name}, o)
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

// split cuts an update into parts of bounded size.
func split(u *controlpb.ConfigUpdate) []*controlpb.ConfigUpdate {
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
